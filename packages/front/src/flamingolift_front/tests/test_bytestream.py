import asyncio

import pytest
from flamingolift_front import bytestream


def ended_stream(exc):
    stream = bytestream.ByteStream()
    stream.connection_lost(exc)
    return stream


async def test_unacknowledged_bytes_are_told_from_a_reset():
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


async def test_end_is_told_once():
    told = []
    stream = bytestream.ByteStream()
    stream.on_end = lambda: told.append(True)
    stream.eof_received()
    stream.connection_lost(None)
    assert told == [True]


async def test_refused_connection_is_an_error():
    server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    with pytest.raises(OSError):
        await bytestream.connect("127.0.0.1", port, 1.0)
