import asyncio

import pytest
from flamingolift_front import bytestream


def ended_stream(exc):
    stream = bytestream.ByteStream()
    stream.connection_lost(exc)
    return stream


async def test_unacknowledged_bytes_raise_a_different_error_than_a_reset():
    with pytest.raises(bytestream.PeerTimeoutError):
        await bytestream.read(ended_stream(TimeoutError(110, "timed out")))
    with pytest.raises(ConnectionResetError):
        await bytestream.read(ended_stream(ConnectionResetError(104, "reset")))


async def test_bytes_before_the_end_are_read_first():
    stream = bytestream.ByteStream()
    stream.buffer += b"last"
    stream.connection_lost(None)
    assert await bytestream.read(stream) == b"last"
    assert await bytestream.read(stream) == b""


async def test_on_end_is_called_once():
    calls = []
    stream = bytestream.ByteStream()
    stream.on_end = lambda: calls.append(True)
    stream.eof_received()
    stream.connection_lost(None)
    assert calls == [True]


async def test_refused_connection_raises_oserror():
    server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    with pytest.raises(OSError):
        await bytestream.connect("127.0.0.1", port, 1.0)
