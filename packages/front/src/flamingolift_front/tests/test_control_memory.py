"""Many connections to the control ports that send more than requests."""

import asyncio
import types

import pytest
from flamingolift_decisions import bytebudget
from flamingolift_front import bytestream, controlbytes, crashsync, lookups
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.responses import text_response
from frontviews import make_front

MAX_HELD_BYTES = 11_000_000
"""Bytes that the requests of all connections may hold: each is received, parsed and
handed on, so this is a fifth of the smallest machines."""
BODY = crashsync.MAX_REPORT_BYTES
REQUEST = b"GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
UNFINISHED = {
    "head": (800, b"GET / HTTP/1.1\r\na: " + b"b" * 15_000),
    "body": (150, BODY_HEAD % BODY + b"c" * (BODY - 1)),
}


async def answer(_front, _target, body):
    return text_response(200, b"%d" % len(body))


@pytest.fixture
async def control():
    """Starts a control port; yields its Front and its address."""
    front = make_front()

    def serve(stream):
        start_task(front, lookups.serve_control(front, stream, answer, BODY))

    listener = await asyncio.get_running_loop().create_server(
        lambda: bytestream.ByteStream(serve), "127.0.0.1", 0, backlog=1024
    )
    yield front, listener.sockets[0].getsockname()
    listener.close()
    for task in list(front.tasks):
        task.cancel()
    await asyncio.gather(*front.tasks, return_exceptions=True)


# Guards against requests without end that together take the instance's memory, and
# against look-ups that are refused for them.
@pytest.mark.parametrize("name", UNFINISHED)
async def test_unfinished_requests_hold_a_bounded_number_of_bytes(control, name):
    front, address = control
    count, data = UNFINISHED[name]
    writers = []
    for _connection in range(count):
        _reader, writer = await asyncio.open_connection(*address)
        writers.append(writer)
        writer.write(data)
    await asyncio.sleep(0.5)
    assert 0 < len(front.tasks) * len(data) < MAX_HELD_BYTES
    reader, writer = await asyncio.open_connection(*address)
    writers.append(writer)
    writer.write(REQUEST)
    async with asyncio.timeout(5.0):
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    for writer in writers:
        writer.transport.abort()
    await asyncio.gather(*front.tasks, return_exceptions=True)
    assert (front.control_budget.other_bytes, front.byte_budget.other_bytes) == (0, 0)


# Guards against a bound of all requests that refuses the largest ones of a few peers.
async def test_largest_requests_of_some_peers_are_answered_again_and_again(control):
    front, address = control

    async def send():
        reader, writer = await asyncio.open_connection(*address)
        for _request in range(3):
            writer.write(BODY_HEAD % BODY + b"c" * BODY)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            await reader.readuntil(str(BODY).encode())
        writer.transport.abort()

    async with asyncio.timeout(20.0):
        await asyncio.gather(*(send() for _peer in range(24)))
        await asyncio.gather(*front.tasks, return_exceptions=True)
    assert front.control_budget.other_bytes == 0


# Guards against a body that waits on for memory which a control request has released.
def test_released_bytes_go_to_the_body_that_waits_for_them():
    front = make_front()
    front.byte_budget = bytebudget.ByteBudget(10_000)
    transport = types.SimpleNamespace(is_closing=lambda: False)
    stream = types.SimpleNamespace(transport=transport)
    request, granted = controlbytes.RequestBytes(), []
    controlbytes.count_bytes(front, stream, request, 9000)
    bytebudget.claim(front.byte_budget, 5000, False, lambda: granted.append(5000))
    assert not granted
    controlbytes.restart_count(front, request, 0)
    assert granted == [5000]
    assert front.control_budget.other_bytes == 0
