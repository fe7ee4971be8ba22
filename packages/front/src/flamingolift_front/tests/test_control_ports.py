"""Requests on the control ports that end without an answer."""

import asyncio
import contextlib
import time

from flamingolift_front import bytestream, lookups
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.responses import text_response
from frontviews import make_front

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
WAIT_S = 5.0


@contextlib.asynccontextmanager
async def connect(handler):
    """Connects to a control port that is served by a handler."""
    front = make_front()

    def serve(stream):
        start_task(front, lookups.serve_control(front, stream, handler))

    listener = await asyncio.get_running_loop().create_server(
        lambda: bytestream.ByteStream(serve), "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()
        listener.close()
        await asyncio.gather(*front.tasks, return_exceptions=True)


async def read_status(reader):
    async with asyncio.timeout(WAIT_S):
        head = await reader.readuntil(b"\r\n\r\n")
    return int(head.split()[1])


async def empty(_front, _target):
    return text_response(200, b"")


# Guards against look-ups on kept connections that arrive while the event loop is
# blocked beyond the idle timeout, and find their connection closed.
async def test_look_up_that_arrives_before_the_idle_timeout_ends_is_answered(
    monkeypatch,
):
    monkeypatch.setattr(lookups, "IDLE_TIMEOUT_S", 0.3)
    async with connect(empty) as (reader, writer):
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        writer.write(REQUEST)
        time.sleep(0.4)
        assert await read_status(reader) == 200


async def test_idle_connection_to_a_control_port_is_closed(monkeypatch):
    monkeypatch.setattr(lookups, "IDLE_TIMEOUT_S", 0.1)
    async with connect(empty) as (reader, writer):
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        async with asyncio.timeout(WAIT_S):
            assert await reader.read() == b""


# Guards against a failed handler that closes the connection without an answer.
async def test_failed_handler_is_answered():
    async def fail(_front, _target):
        raise ZeroDivisionError

    async with connect(fail) as (reader, writer):
        for _request in range(2):
            writer.write(REQUEST)
            assert await read_status(reader) == 500
            await reader.readuntil(b"}")
