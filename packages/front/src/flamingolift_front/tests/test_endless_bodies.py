"""Bodies without end, and bodies that only look so."""

import asyncio
import itertools
import time

import pytest
from flamingolift_decisions import backends
from flamingolift_front import bytestream, httpcall, serverpool
from flamingolift_front.forwarding import DEADLINE_GRACE_S
from troubledserver import (
    CHUNK,
    CHUNKED,
    FAILED,
    PIECE_BYTES,
    RESET,
    ROUTE_TIMEOUT_S,
    SOUND_BODY,
    TRICKLE_S,
    WAIT_S,
    fetch,
    forever,
    head,
    open_request,
    run_site,
    sound,
    wait_closed,
)

BODIES = {
    "chunked": lambda rid: forever(head(rid, CHUNKED), CHUNK),
    "without a length": lambda rid: forever(head(rid), bytes(PIECE_BYTES)),
}
BROKEN_BODIES = {
    "chunk extension": lambda rid: forever(
        head(rid, CHUNKED) + CHUNK * 32 + b"1;", b"a" * 4096
    ),
    "chunk size": lambda rid: forever(
        head(rid, CHUNKED) + CHUNK * 32 + b"1", b"0" * 4096
    ),
    "trailers": lambda rid: forever(
        head(rid, CHUNKED) + CHUNK * 32 + b"0\r\n", b"a: b\r\n" * 512
    ),
}


# Guards against a streamed body that is relayed without end.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_S])
@pytest.mark.parametrize("name", BODIES)
async def test_endless_body_is_cut_at_the_callers_deadline(name, pause_s, version):
    async with run_site(BODIES[name], pause_s) as site:
        data, reset = await fetch(site, version=version)
        assert data.startswith(b"HTTP/1.1 200")
        assert reset
        await wait_closed(site.failed)
        assert not site.front.connections
        assert site.front.view.backends.backends[FAILED].in_flight == 0


# Guards against a protocol error in a streamed body that looks like its end.
@pytest.mark.parametrize("name", BROKEN_BODIES)
async def test_endless_framing_cuts_the_answer(name):
    async with run_site(BROKEN_BODIES[name]) as site:
        data, reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 200")
        assert reset and not data.endswith(b"0\r\n\r\n")
        await wait_closed(site.failed)


# Guards against a body that its server resets and an HTTP/1.0 caller takes for whole.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_reset_of_a_streamed_body_reaches_the_caller_as_a_reset(version):
    def script(request_id):
        yield head(request_id)
        yield bytes(4 << 20)
        yield RESET

    async with run_site(script) as site:
        data, reset = await fetch(site, version=version)
        assert data.startswith(b"HTTP/1.1 200")
        assert reset


# Guards against reading on from a server, or waiting for it, after the caller has left.
@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_S, 2 * WAIT_S])
@pytest.mark.parametrize("name", BODIES)
async def test_streamed_body_ends_when_the_caller_leaves(name, pause_s):
    size = 2 * httpcall.SPOOL_BYTES

    def script(request_id):
        pieces = BODIES[name](request_id)
        yield b"".join(itertools.islice(pieces, size // PIECE_BYTES + 1))
        yield from pieces

    async with run_site(script, pause_s) as site:
        reader, writer = await open_request(site, deadline_s=60.0)
        async with asyncio.timeout(WAIT_S):
            await reader.readexactly(size)
        writer.write_eof()
        await wait_closed(site.failed)
        writer.close()
        async with asyncio.timeout(WAIT_S):
            while site.front.connections:
                await asyncio.sleep(TRICKLE_S)
        assert site.front.view.backends.backends[FAILED].in_flight == 0


# Guards against cutting a large body at the route's timeout, though it is on its way.
async def test_large_body_beyond_the_routes_timeout_arrives_whole():
    count, pause_s = 40, ROUTE_TIMEOUT_S / 30.0

    def script(request_id):
        yield head(request_id, b"content-length: %d" % (count * PIECE_BYTES))
        for _ in range(20):
            yield bytes(PIECE_BYTES)
        for _ in range(count - 21):
            yield bytes(PIECE_BYTES)
        yield bytes(PIECE_BYTES - 3) + b"end"

    async with run_site(script, pause_s) as site:
        started = time.monotonic()
        data, reset = await fetch(site, deadline_s=20.0)
        assert data.endswith(b"end") and not reset
        assert time.monotonic() - started > ROUTE_TIMEOUT_S + DEADLINE_GRACE_S


# Guards against cutting a body that comes slowly but within the deadline.
async def test_slow_body_within_the_deadline_arrives_whole():
    def script(request_id):
        yield head(request_id, CHUNKED)
        for _ in range(20):
            yield b"2\r\nab\r\n"
        yield b"0\r\n\r\n"

    async with run_site(script, TRICKLE_S) as site:
        data, reset = await fetch(site)
        assert data.endswith(b"ab" * 20) and not reset


# Guards against unbounded buffers of pooled connections and their reuse.
async def test_bytes_after_a_response_are_bounded_and_never_reused():
    def script(request_id):
        yield next(sound(request_id))
        yield from forever(b"", bytes(PIECE_BYTES))

    async with run_site(script, TRICKLE_S) as site:
        data, _reset = await fetch(site)
        assert data.endswith(SOUND_BODY)
        (conn,) = site.front.pool.idle[FAILED]
        async with asyncio.timeout(WAIT_S):
            while len(conn.stream.buffer) <= bytestream.READ_HIGH_WATER_BYTES:
                await asyncio.sleep(TRICKLE_S)
        await asyncio.sleep(10 * TRICKLE_S)
        assert len(conn.stream.buffer) <= 2 * bytestream.READ_HIGH_WATER_BYTES
        now = time.monotonic()
        pool, address = site.front.pool, ("127.0.0.1", site.failed.port)
        assert serverpool.acquire_connection(pool, FAILED, address, now) is None
        await wait_closed(site.failed)


# Guards against a server that stays in use though it breaks off each streamed body.
async def test_server_that_breaks_off_streamed_bodies_is_suspended():
    async with run_site(BROKEN_BODIES["trailers"]) as site:
        for _ in range(backends.LOST_ANSWERS_BEFORE_SUSPENSION):
            await fetch(site)
        failed = site.front.view.backends.backends[FAILED]
        assert failed.suspended_until > time.monotonic()
        data, _reset = await fetch(site)
        assert data.endswith(SOUND_BODY)
