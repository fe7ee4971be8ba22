"""What callers get when a planned stop reaches the end of the process."""

import asyncio
import contextlib
import socket

from flamingolift_front import callers, run
from test_unanswered_requests import connect, send
from troubledserver import head, run_site

GRACE_S = 2.0
BODY = bytes(600_000)


def long_answer(request_id):
    yield head(request_id, b"content-length: %d" % len(BODY)) + BODY


def no_answer(_request_id):
    return ()


async def stop(front):
    """Runs the planned stop; the process would end when it returns."""
    front.cfg.grace_s = GRACE_S
    registration = asyncio.create_task(asyncio.sleep(0))
    await run.shut_down(front, [], registration)


def set_route_timeout(site, seconds):
    for route in site.front.view.table.routes.values():
        route.timeout_ms = seconds * 1000.0


# Guards against a request in progress whose connection closes with the process.
async def test_request_in_progress_at_the_exit_is_answered():
    async with run_site(no_answer, with_sound=False) as site, connect(site) as caller:
        set_route_timeout(site, 20.0)
        send(caller, 1, deadline_ms=9000)
        while not site.failed.requests:
            await asyncio.sleep(0.01)
        await stop(site.front)
        async with asyncio.timeout(0.2):
            raw = await caller.reader.read()
        assert raw.split()[1] == b"502"
        assert b"request-outcome: unknown" in raw.lower()


@contextlib.asynccontextmanager
async def request_long_answer(site, buffer_bytes, queue_bytes=None):
    """Requests an answer over a connection with small buffers, and reads none of it.

    Args:
        site: Site.
        buffer_bytes: Size of the sockets' buffers (bytes).
        queue_bytes: Size up to which the front's transport takes bytes without a wait
            for room (bytes); None for the default.

    Yields:
        Tuple of the caller's socket and the front's CallerConnection.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", site.port))
        while not site.front.connections:
            await asyncio.sleep(0.01)
        (conn,) = site.front.connections
        accepted = conn.stream.transport.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        conn.stream.transport.set_write_buffer_limits(high=queue_bytes)
        fields = "Host: h\r\nRequest-Id: q1\r\nRequest-Deadline-Ms: 9000\r\n"
        await loop.sock_sendall(sock, f"GET /a HTTP/1.1\r\n{fields}\r\n".encode())
        while not conn.stream.transport.get_write_buffer_size():
            await asyncio.sleep(0.01)
        yield sock, conn


async def read_size(sock):
    """Returns the number of bytes up to the end of the connection."""
    received = 0
    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
        received += len(data)
    return received


# Guards against the end of an answer that waits in the process's own buffer when the
# process ends, behind a connection that takes it slowly.
async def test_answer_in_the_send_buffer_leaves_before_the_exit():
    async with (
        run_site(long_answer, with_sound=False) as site,
        # The whole answer counts as sent for the connection's task.
        request_long_answer(site, 4096, 2 * len(BODY)) as (sock, conn),
    ):
        stopping = asyncio.create_task(stop(site.front))
        while not conn.stream.transport.is_closing():
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert not stopping.done()
        assert await read_size(sock) > len(BODY)
        await stopping


# Guards against a whole answer that waits for its caller to read, and is cut by a
# reset shortly before the process ends.
async def test_answer_that_is_read_at_the_exit_is_not_cut(monkeypatch):
    async with (
        run_site(long_answer, with_sound=False) as site,
        request_long_answer(site, 65536) as (sock, _conn),
    ):
        ended = asyncio.Event()
        end_requests = callers.end_requests
        monkeypatch.setattr(
            callers,
            "end_requests",
            lambda front: (end_requests(front), ended.set()),
        )
        stopping = asyncio.create_task(stop(site.front))
        await ended.wait()
        assert await read_size(sock) > len(BODY)
        await stopping
