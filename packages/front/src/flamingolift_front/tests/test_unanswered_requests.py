"""Requests that were read whole and end without an answer or a refusal."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_decisions import affinity
from flamingolift_front import httpcall, requestreading, sending
from flamingolift_model.routing import RequestLimits
from troubledserver import (
    CHUNK,
    CHUNKED,
    PIECE_BYTES,
    SOUND_BODY,
    head,
    run_site,
    sound,
)

IDLE_TIMEOUT_S = 0.5
WAIT_S = 5.0
"""Longest wait for what has no bound of its own (s)."""


class Caller:
    """A caller's open connection to a front.

    Attributes:
        reader: StreamReader.
        writer: StreamWriter.
    """

    __slots__ = ("reader", "writer")

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer


@contextlib.asynccontextmanager
async def connect(site):
    caller = Caller(*await asyncio.open_connection("127.0.0.1", site.port))
    try:
        yield caller
    finally:
        caller.writer.transport.abort()


def send(caller, number, fields="", deadline_ms=2000):
    caller.writer.write(
        f"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
        f"Request-Deadline-Ms: {deadline_ms}\r\n{fields}\r\n".encode()
    )


async def read_answer(caller):
    """Returns the status and the body of the next response."""
    async with asyncio.timeout(WAIT_S):
        head = await caller.reader.readuntil(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")[1:-2]
        fields = dict(line.split(b": ", 1) for line in lines)
        body = await caller.reader.readexactly(int(fields[b"content-length"]))
    return int(head.split()[1]), body


async def exchange(caller, number, fields=""):
    """Sends a request on a kept connection; returns the answer's status and body."""
    send(caller, number, fields)
    return await read_answer(caller)


def run_sound_site():
    return run_site(sound, with_sound=False, keep_open=True)


def set_limits(site, **limits):
    """Puts limits in force as a new policy does; the others have their defaults."""
    site.front.view.table.limits = RequestLimits(**limits)


# Guards against a request that arrives while the instance is busy and the connection's
# idle timeout ends: it was read whole, and the connection closed without an answer.
async def test_request_that_arrives_before_the_idle_timeout_ends_is_answered():
    async with run_sound_site() as site, connect(site) as caller:
        set_limits(site, idle_timeout_ms=IDLE_TIMEOUT_S * 1000.0)
        assert await exchange(caller, 1) == (200, SOUND_BODY)
        await asyncio.sleep(IDLE_TIMEOUT_S)
        send(caller, 2)
        # Blocks the event loop of the front beyond the end of the timeout.
        time.sleep(requestreading.IDLE_MARGIN_S + 0.2)
        assert await read_answer(caller) == (200, SOUND_BODY)


# Guards against a head that arrived in time, but is refused since the instance was busy
# when its time ended.
async def test_head_that_arrives_while_the_instance_is_busy_is_served():
    async with run_sound_site() as site, connect(site) as caller:
        set_limits(site, header_timeout_ms=300.0)
        caller.writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n")
        await asyncio.sleep(0.1)
        caller.writer.write(b"Request-Id: q1\r\nRequest-Deadline-Ms: 2000\r\n\r\n")
        time.sleep(0.4)
        assert await read_answer(caller) == (200, SOUND_BODY)


# Guards against connections that are closed by an idle timeout that is no longer in
# force, while callers still use them by the new one.
async def test_longer_idle_timeout_applies_to_connections_that_are_idle():
    async with run_sound_site() as site, connect(site) as caller:
        set_limits(site, idle_timeout_ms=IDLE_TIMEOUT_S * 1000.0)
        assert await exchange(caller, 1) == (200, SOUND_BODY)
        set_limits(site, idle_timeout_ms=20000.0)
        await asyncio.sleep(IDLE_TIMEOUT_S + requestreading.IDLE_MARGIN_S + 0.3)
        assert await exchange(caller, 2) == (200, SOUND_BODY)


# Guards against requests on kept connections that are refused by a size limit that is
# no longer in force.
async def test_raised_size_limits_apply_to_connections_that_are_idle():
    async with run_sound_site() as site:
        set_limits(site, max_header_bytes=500, max_body_bytes=3)
        async with connect(site) as caller:
            assert await exchange(caller, 1) == (200, SOUND_BODY)
            await asyncio.sleep(0.05)
            set_limits(site, max_header_bytes=4096, max_body_bytes=4096)
            padding = f"X-Padding: {'a' * 2000}\r\n"
            assert await exchange(caller, 2, padding) == (200, SOUND_BODY)
            await asyncio.sleep(0.05)
            set_limits(site, max_body_bytes=4097)
            body = "Content-Length: 3000\r\n\r\n" + "b" * 2998
            assert await exchange(caller, 3, body) == (200, SOUND_BODY)


def raise_error(*_args, **_kwargs):
    raise ZeroDivisionError


# Guards against a connection that just closes when the instance's own code fails; the
# answer also tells truly whether the request may have run.
@pytest.mark.parametrize(
    ("module", "function", "status", "outcome"),
    [
        (affinity, "pick_backend", 503, b"not-run"),
        (sending.serverpool, "return_connection", 500, b"unknown"),
    ],
)
async def test_error_in_the_instance_is_answered(
    monkeypatch, module, function, status, outcome
):
    async with run_sound_site() as site, connect(site) as caller:
        monkeypatch.setattr(module, function, raise_error)
        send(caller, 1)
        raw = await caller.reader.read()
        assert raw.split()[1] == b"%d" % status
        assert b"request-outcome: " + outcome in raw.lower()
        assert b"connection: close" in raw.lower()


# Guards against an error of another connection that is taken for the end of the
# caller's own.
async def test_connection_error_in_the_instance_is_answered(monkeypatch):
    def fail(*_args, **_kwargs):
        raise ConnectionResetError

    async with run_sound_site() as site, connect(site) as caller:
        monkeypatch.setattr(affinity, "pick_backend", fail)
        send(caller, 1)
        status, body = await read_answer(caller)
        assert status == 503 and b"not-run" in body


def answer_with_two_framings(request_id):
    """Yields an answer above the size that is buffered, with both fields of framing."""
    yield head(request_id, CHUNKED, b"content-length: 7")
    for _number in range(2 * httpcall.SPOOL_BYTES // PIECE_BYTES):
        yield CHUNK
    yield b"0\r\n\r\n"


# Guards against a streamed answer that is cut because its Content-Length, which the
# chunked encoding overrides, contradicts its body.
async def test_streamed_answer_with_two_framings_is_delivered_whole():
    site_of_one = run_site(answer_with_two_framings, with_sound=False)
    async with site_of_one as site, connect(site) as caller:
        send(caller, 1, "Connection: close\r\n")
        raw = await caller.reader.read()
    first, _, body = raw.partition(b"\r\n\r\n")
    assert first.split()[1] == b"200"
    assert b"content-length" not in first.lower()
    assert len(body) > 2 * httpcall.SPOOL_BYTES
    assert body.endswith(b"0\r\n\r\n")
