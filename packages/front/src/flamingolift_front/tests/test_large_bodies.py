"""Large bodies that are sent to servers."""

import asyncio
import contextlib

from flamingolift_front import bytestream, httpcall

BODY = bytes(range(256)) * 40_000
WAIT_S = 5.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.asynccontextmanager
async def open_upload(serve):
    """Sends BODY to a server; yields the HttpCall."""
    writers = []

    async def accept(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    stream = await bytestream.connect("127.0.0.1", port, WAIT_S)
    fields = [(b"Host", b"h"), (b"Content-Length", str(len(BODY)).encode())]
    try:
        yield httpcall.open_call(stream, b"POST", b"/a", fields, BODY)
    finally:
        bytestream.abort(stream)
        for writer in writers:
            writer.transport.abort()
        server.close()
        await asyncio.sleep(0.01)


async def read_response(call):
    async with asyncio.timeout(WAIT_S):
        return await httpcall.read_response(call, httpcall.accept_any)


# Guards against a body that is copied as a whole into the send buffer.
async def test_send_buffer_holds_a_piece_of_the_body():
    release = asyncio.Event()

    async def stand_still(_reader, writer):
        await release.wait()
        writer.transport.abort()

    async with open_upload(stand_still) as call:
        await asyncio.sleep(0.3)
        size = call.stream.transport.get_write_buffer_size()
        assert 0 < size <= 2 * httpcall.SEND_PIECE_BYTES
        release.set()


async def test_body_arrives_whole_and_the_connection_is_reusable():
    received = []

    async def read_slowly(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        received.append(await reader.readexactly(len(BODY)))
        writer.write(ANSWER)

    async with open_upload(read_slowly) as call:
        response = await read_response(call)
        assert response.body == b"ok"
        assert received == [BODY]
        assert httpcall.is_reusable(call)


async def test_answer_before_the_body_was_read_ends_the_sending():
    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)

    async with open_upload(answer_early) as call:
        assert (await read_response(call)).status == 200
        await asyncio.wait([call.sender], timeout=WAIT_S)
        assert call.sender.cancelled()
        assert not httpcall.is_reusable(call)


async def test_sending_ends_with_the_connection():
    async def break_off(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.transport.abort()

    async with open_upload(break_off) as call:
        async with asyncio.timeout(WAIT_S):
            await call.sender
        assert call.stream.ended
