"""Bytes without end where a response's head is expected."""

import asyncio
import time

import pytest
from flamingolift_front import bytestream, httpcall
from troubledserver import (
    CHUNK,
    CHUNKED,
    DEADLINE_S,
    FAILED,
    SOUND_BODY,
    TRICKLE_S,
    fetch,
    forever,
    head,
    run_site,
    wait_closed,
)

HEADS = {
    "no response": lambda rid: forever(b"", b"\x7fELF" * 1024),
    "header lines": lambda rid: forever(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 512),
    "one header line": lambda rid: forever(b"HTTP/1.1 200 OK\r\na: ", b"b" * 4096),
    "informational": lambda rid: forever(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "another id": lambda rid: forever(head(b"other", CHUNKED), CHUNK),
}
TRICKLED_HEADS = {
    "no response": lambda rid: forever(b"", b"\x7f"),
    "informational": lambda rid: forever(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}


# Guards against waiting for the route's timeout on bytes that cannot become a response.
@pytest.mark.parametrize("name", HEADS)
async def test_endless_head_is_given_up_and_retried_on_another_server(name):
    async with run_site(HEADS[name]) as site:
        data, _reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(SOUND_BODY)
        assert site.failed.requests == 1
        await wait_closed(site.failed)
        assert site.front.view.backends.backends[FAILED].lost == 1
        assert FAILED not in site.front.pool.idle


# Guards against bytes that are no response holding a request when they come slowly.
@pytest.mark.parametrize("name", TRICKLED_HEADS)
async def test_trickled_bytes_that_are_no_response_are_retried(name):
    async with run_site(TRICKLED_HEADS[name], TRICKLE_S) as site:
        data, _reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(SOUND_BODY)
        await wait_closed(site.failed)


# Guards against an endless head that comes slowly and outlives the route's timeout.
@pytest.mark.parametrize("piece", [b"a: b\r\n", b"b"])
async def test_trickled_head_ends_with_a_failure_at_the_routes_timeout(piece):
    def script(_request_id):
        return forever(b"HTTP/1.1 200 OK\r\na: ", piece)

    async with run_site(script, TRICKLE_S, with_sound=False) as site:
        started = time.monotonic()
        data, _reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 504")
        assert time.monotonic() - started < DEADLINE_S
        await wait_closed(site.failed)
        assert site.front.view.backends.backends[FAILED].late == 1


class FakeTransport:
    def resume_reading(self):
        pass

    def is_closing(self):
        return True


def make_call(received):
    """Returns a call whose server has already sent the given bytes."""
    stream = bytestream.ByteStream()
    stream.transport = FakeTransport()
    call = httpcall.open_call(stream, b"GET", b"/", [(b"Host", b"h")], b"")
    stream.buffer += received
    return call


# Guards against giving up a request for the informational responses that are usual.
async def test_some_informational_responses_precede_the_response():
    early = b"HTTP/1.1 103 Early Hints\r\n\r\n" * httpcall.MAX_INFORMATIONAL_RESPONSES
    data = early + head(b"q", b"content-length: 2") + b"ok"
    response = await httpcall.read_response(make_call(data), httpcall.accept_any)
    assert response.body == b"ok"


# Guards against refusing a response whose first bytes arrive one by one.
async def test_status_line_may_arrive_in_single_bytes():
    call = make_call(b"H")
    reading = asyncio.create_task(httpcall.read_response(call, httpcall.accept_any))
    for byte in (head(b"q", b"content-length: 2") + b"ok")[1:]:
        await asyncio.sleep(0)
        call.stream.data_received(bytes([byte]))
    assert (await reading).body == b"ok"


# Guards against one connection that occupies the event loop with tiny chunks.
async def test_event_loop_runs_other_tasks_while_tiny_chunks_are_parsed():
    chunks = 4096
    data = head(b"q", CHUNKED) + b"1\r\na\r\n" * chunks + b"0\r\n\r\n"
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counter = asyncio.create_task(count_turns())
    response = await httpcall.read_response(make_call(data), httpcall.accept_any)
    counter.cancel()
    assert response.body == b"a" * chunks
    assert turns >= chunks // httpcall.EVENTS_PER_TURN
