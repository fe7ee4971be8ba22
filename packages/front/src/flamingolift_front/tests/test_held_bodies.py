"""Bodies of callers' requests within the byte budget of the instance."""

import asyncio
import contextlib
import socket
import time

import pytest
from flamingolift_decisions.bytebudget import ByteBudget
from flamingolift_front import bytestream, callers, httpcall
from flamingolift_model.routing import RequestLimits
from troubledserver import FAILED, head, make_site_front, sound, stop_server

LIMIT_BYTES = 400_000
UPLOAD_BYTES = 200_000
"""Size of a body of which the share for bodies takes one, not two (bytes)."""
WAIT_S = 5.0


class UploadSite:
    """A front with a byte budget and a server that reads whole requests.

    Attributes:
        front: Front.
        port: TCP port for callers.
        pause_s: Time after which the server answers (s).
        answer: Function of a request id that yields the pieces of its answer.
        bodies: List of the sizes of the bodies that the server read (bytes).
        server: asyncio server.
        tasks: Set of the server's tasks.
    """

    __slots__ = ("answer", "bodies", "front", "pause_s", "port", "server", "tasks")

    def __init__(self):
        self.bodies = []
        self.tasks = set()
        self.pause_s = 0.3
        self.answer = sound


async def serve(site, reader, writer):
    """Reads requests with a body, and answers each after a pause."""
    site.tasks.add(asyncio.current_task())
    try:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                lines = await reader.readuntil(b"\r\n\r\n")
                pairs = [line.partition(b": ") for line in lines.split(b"\r\n")]
                fields = {name.lower(): value for name, _, value in pairs}
                size = int(fields.get(b"content-length", 0))
                site.bodies.append(len(await reader.readexactly(size)))
                await asyncio.sleep(site.pause_s)
                for piece in site.answer(fields[b"request-id"]):
                    writer.write(piece)
    finally:
        site.tasks.discard(asyncio.current_task())
        writer.transport.abort()


@contextlib.asynccontextmanager
async def run_site():
    site = UploadSite()
    site.server = await asyncio.start_server(
        lambda reader, writer: serve(site, reader, writer), "127.0.0.1", 0
    )
    port = site.server.sockets[0].getsockname()[1]
    site.front = make_site_front({FAILED: port})
    site.front.byte_budget = ByteBudget(LIMIT_BYTES)
    site.front.view.table.limits = RequestLimits(max_body_bytes=1_000_000)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: bytestream.ByteStream(
            lambda stream: callers.accept_caller(site.front, stream)
        ),
        "127.0.0.1",
        0,
    )
    site.port = listener.sockets[0].getsockname()[1]
    try:
        yield site
    finally:
        listener.close()
        tasks = [conn.task for conn in site.front.connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await stop_server(site)


def make_head(number, framing, deadline_ms=2000):
    return (
        f"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
        f"Request-Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    ).encode()


async def upload(site, number, size=UPLOAD_BYTES, deadline_ms=2000, chunk=0):
    """Uploads a body; returns the head of the answer as text, and the time taken."""
    started = time.monotonic()
    framing, body = f"Content-Length: {size}", bytes(size)
    if chunk:
        framing, piece = "Transfer-Encoding: chunked", b"%x\r\n" % chunk + bytes(chunk)
        body = (piece + b"\r\n") * (size // chunk) + b"0\r\n\r\n"
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    try:
        writer.write(make_head(number, framing, deadline_ms) + body)
        async with asyncio.timeout(WAIT_S):
            text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    finally:
        writer.transport.abort()
    return text, time.monotonic() - started


async def wait_released(site):
    """Waits until nothing is held."""
    budget = site.front.byte_budget
    async with asyncio.timeout(WAIT_S):
        while budget.body_bytes or budget.other_bytes:
            await asyncio.sleep(0.01)


# Guards against an instance that holds all bodies that arrive at the same time.
@pytest.mark.parametrize("chunk", [0, 50_000], ids=["length", "chunked"])
async def test_bodies_wait_for_memory_and_are_all_served(chunk):
    async with run_site() as site:
        done = await asyncio.gather(*(upload(site, n, chunk=chunk) for n in range(3)))
        assert [text.split()[1] for text, _ in done] == ["200"] * 3
        assert site.bodies == [UPLOAD_BYTES] * 3
        assert site.front.byte_budget.peak_bytes <= LIMIT_BYTES
        # One after the other: there is memory for a single body.
        assert max(time_s for _, time_s in done) > 2 * site.pause_s
        await wait_released(site)


async def test_small_bodies_do_not_wait_for_large_ones():
    async with run_site() as site:
        large = [asyncio.create_task(upload(site, n)) for n in range(3)]
        await asyncio.sleep(0.1)
        text, time_s = await upload(site, 9, size=1000)
        assert text.split()[1] == "200"
        assert time_s < 2 * site.pause_s
        await asyncio.gather(*large)


async def test_body_that_can_never_fit_is_refused_from_its_length():
    async with run_site() as site:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_head(1, "Content-Length: 350000"))
        async with asyncio.timeout(WAIT_S / 5):
            text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        writer.transport.abort()
        assert text.split()[1] == "503"
        assert "\r\nretry-after" in text and "\r\nresult-code: 2012\r\n" in text
        assert site.bodies == []


async def test_body_that_finds_no_memory_in_time_is_refused_as_not_run():
    async with run_site() as site:
        site.pause_s = 0.9
        first = asyncio.create_task(upload(site, 1))
        await asyncio.sleep(0.1)
        text, time_s = await upload(site, 2, deadline_ms=600)
        assert text.split()[1] == "503" and "\r\nresult-code: 2012\r\n" in text
        assert 0.2 < time_s < 0.6
        assert (await first)[0].split()[1] == "200"
        await wait_released(site)
        assert site.bodies == [UPLOAD_BYTES]


async def test_caller_is_asked_for_the_body_when_there_is_memory():
    async with run_site() as site:
        first = asyncio.create_task(upload(site, 1))
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        fields = f"Expect: 100-continue\r\nContent-Length: {UPLOAD_BYTES}"
        writer.write(make_head(2, fields))
        asked = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
        done, _ = await asyncio.wait({asked}, timeout=site.pause_s / 3)
        assert not done
        await first
        async with asyncio.timeout(WAIT_S):
            assert b" 100 " in await asked
            writer.write(bytes(UPLOAD_BYTES))
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()


@pytest.mark.parametrize("sent", [0, 1000, UPLOAD_BYTES])
async def test_memory_is_released_when_the_caller_leaves(sent):
    async with run_site() as site:
        _reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_head(1, f"Content-Length: {UPLOAD_BYTES}") + bytes(sent))
        await asyncio.sleep(0.1)
        assert site.front.byte_budget.body_bytes == UPLOAD_BYTES
        writer.transport.abort()
        await wait_released(site)


# Guards against a caller that has left and before whose claim for memory others wait.
async def test_caller_that_left_keeps_no_place_before_others():
    async with run_site() as site:
        site.pause_s = 0.8
        first = asyncio.create_task(upload(site, 1, size=150_000))
        await asyncio.sleep(0.1)
        _reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_head(2, "Content-Length: 290000", deadline_ms=9000))
        await asyncio.sleep(0.1)
        assert site.front.byte_budget.claims
        writer.transport.abort()
        text, time_s = await upload(site, 3, size=100_000, deadline_ms=4000)
        assert text.split()[1] == "200"
        assert time_s < 2 * site.pause_s
        await first


async def test_memory_is_released_when_the_instance_stops():
    async with run_site() as site:
        task = asyncio.create_task(upload(site, 1))
        await asyncio.sleep(0.1)
        assert site.front.byte_budget.body_bytes == UPLOAD_BYTES
        callers.end_requests(site.front)
        assert (await task)[0].split()[1] in ("502", "503")
        await wait_released(site)


async def test_memory_is_released_when_the_body_stops_arriving():
    async with run_site() as site:
        site.front.view.table.limits.idle_timeout_ms = 1.0
        _reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_head(1, f"Content-Length: {UPLOAD_BYTES}"))
        await asyncio.sleep(0.1)
        assert site.front.byte_budget.body_bytes == UPLOAD_BYTES
        await wait_released(site)
        writer.transport.abort()


ANSWER_BYTES = 150_000


def large_answer(request_id):
    """Yields an answer of ANSWER_BYTES."""
    length = b"content-length: %d" % ANSWER_BYTES
    yield head(request_id, length) + bytes(ANSWER_BYTES)


async def open_slowly(site, number):
    """Asks for an answer with a small window; returns the connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", site.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(make_head(number, "Content-Length: 0"))
    return reader, writer


SPOOLED_BYTES = 1_000_000


def spooled_answer(request_id):
    """Yields an answer that is buffered as a whole."""
    length = b"content-length: %d" % SPOOLED_BYTES
    yield head(request_id, length) + bytes(SPOOLED_BYTES)


# Guards against whole answers whose sum nothing bounds.
async def test_answers_without_memory_are_streamed():
    async with run_site() as site:
        site.answer, site.pause_s = large_answer, 0.0
        connections = [await open_slowly(site, number) for number in range(8)]
        await asyncio.sleep(0.3)
        assert 0 < site.front.byte_budget.peak_bytes <= LIMIT_BYTES
        async with asyncio.timeout(WAIT_S):
            for reader, _ in connections:
                answer_head = await reader.readuntil(b"\r\n\r\n")
                assert answer_head.split()[1] == b"200"
                await reader.readexactly(ANSWER_BYTES)
        for _, writer in connections:
            writer.transport.abort()
        await wait_released(site)


# Guards against whole answers in send buffers, where nothing counts them.
async def test_send_buffer_to_a_slow_caller_holds_a_piece_of_the_answer():
    async with run_site() as site:
        site.answer, site.pause_s = spooled_answer, 0.2
        site.front.byte_budget = ByteBudget(10 * SPOOLED_BYTES)
        _reader, writer = await open_slowly(site, 1)
        await asyncio.sleep(0.1)
        (conn,) = site.front.connections
        sock = conn.stream.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await asyncio.sleep(0.4)
        size = conn.stream.transport.get_write_buffer_size()
        assert 0 < size <= 2 * httpcall.SEND_PIECE_BYTES
        assert site.front.byte_budget.other_bytes == SPOOLED_BYTES
        writer.transport.abort()
        await wait_released(site)
