"""Backend servers that send without end, behind a front in a process of its own."""

import asyncio
import itertools

import psutil
import pytest
from platformfleet import (
    ANSWER_PREFIX,
    HOST,
    events,
    received_requests,
    send,
    wait_until,
)

DEADLINE_MS = 2500
"""Deadline of the callers, beyond the timeout of their route (ms)."""
DEADLINE_MARGIN_S = 1.0
"""Time after the deadline for the response to end on a busy machine (s)."""
CALLERS = 3
MEMORY_GROWTH_BYTES = 24_000_000
CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"


def response_head(request, *fields):
    request_id = request.headers["request-id"]
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def forever(start, piece):
    return itertools.chain([start], itertools.repeat(piece))


def header_lines(_request):
    return forever(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 512)


def informational(_request):
    return forever(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 512)


def chunked(request):
    return forever(response_head(request, "Transfer-Encoding: chunked"), CHUNK)


def without_length(request):
    return forever(response_head(request), bytes(0x10000))


async def read_to_end(front):
    """Returns the start of the response, its last bytes and its size."""
    reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    writer.write(
        f"GET /map/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: endless\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\n".encode()
    )
    start, last, size = b"", b"", 0
    try:
        while piece := await reader.read(1 << 16):
            start, last, size = start or piece, piece, size + len(piece)
    except ConnectionError:
        pass
    finally:
        writer.close()
    return start, last, size


# Guards against endless bytes that hold a caller, its server or the whole instance.
@pytest.mark.parametrize(
    "script", [header_lines, informational, chunked, without_length]
)
async def test_endless_bytes_end_at_the_deadline_in_bounded_memory(
    platform, front, script
):
    server = platform.servers["i-read-1"]
    server.script = dict.fromkeys(range(1, 100), script)
    memory = psutil.Process(front.process.pid).memory_info
    before = memory().rss
    async with asyncio.timeout(DEADLINE_MS / 1000.0 + DEADLINE_MARGIN_S):
        endless = asyncio.gather(*(read_to_end(front) for _ in range(CALLERS)))
        reply = await send(front, "POST", "/book/a", body=b"seat")
        assert reply.body.startswith(ANSWER_PREFIX)
        peak = memory().rss
        while not endless.done():
            peak = max(peak, memory().rss)
            await asyncio.sleep(0.02)
    for start, last, size in await endless:
        if script in (chunked, without_length):
            assert start.startswith(b"HTTP/1.1 200") and size > len(CHUNK)
            assert not last.endswith(b"0\r\n\r\n")
        else:
            assert start.startswith(b"HTTP/1.1 50")
    assert peak - before < MEMORY_GROWTH_BYTES
    requests = received_requests(platform, "i-read-1")
    await wait_until(lambda: all(r.ended == "cancelled" for r in requests))
    name = "answer_cut" if script in (chunked, without_length) else "answer_lost"
    assert events(front, name)[0]["id"] == "endless"
