"""A store whose answers are without end."""

import asyncio
import contextlib
import zlib

import pytest
from flamingolift_model import ResultCode
from flamingolift_wire import storeclient

CHUNK = b"10000\r\n" + b"\x7f" * 65_536 + b"\r\n"
CALLS = {
    "get": lambda store: storeclient.get_value(store, "k"),
    "list": lambda store: storeclient.list_values(store, "k"),
    "watch": lambda store: storeclient.watch_prefix(store, "k", 1),
    "live list": lambda store: storeclient.watch_live_list(store, 1),
    "lease": lambda store: storeclient.create_lease(store, 5.0),
}
TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def start_store(fields, piece):
    """Starts a store; yields its client and a list with the bytes that were sent."""
    sent = [0]

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nRevision: 1\r\n" + fields + b"\r\n")
            while True:
                writer.write(piece)
                sent[0] += len(piece)
                await writer.drain()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = storeclient.StoreClient(f"http://127.0.0.1:{port}", TIMEOUT_S)
    try:
        yield store, sent
    finally:
        await store.session.close()
        server.close()
        await asyncio.sleep(0.05)


# Guards against an instance or a command that keeps an answer without end.
@pytest.mark.parametrize("call", CALLS)
async def test_endless_answer_is_a_failed_call(call):
    chunked = b"Transfer-Encoding: chunked\r\n"
    async with start_store(chunked, CHUNK) as (store, sent), asyncio.timeout(15.0):
        done = await CALLS[call](store)
    assert done.error.code == ResultCode.STORE_UNAVAILABLE
    assert str(storeclient.MAX_RESPONSE_BYTES) in done.error.detail
    assert sent[0] < 2 * storeclient.MAX_RESPONSE_BYTES


# Guards against an answer that is without end only after it is decompressed.
async def test_compressed_answer_is_bounded_by_its_whole_size():
    packer = zlib.compressobj(9)
    data = packer.compress(bytes(64 << 20)) + packer.flush()
    fields = b"Content-Encoding: deflate\r\nContent-Length: %d\r\n" % len(data)
    async with start_store(fields, data) as (store, _sent), asyncio.timeout(15.0):
        done = await storeclient.get_value(store, "k")
    assert done.error.code == ResultCode.STORE_UNAVAILABLE
