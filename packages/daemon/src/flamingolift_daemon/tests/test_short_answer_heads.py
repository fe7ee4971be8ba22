"""Backend servers that close in the middle of an answer's head."""

import asyncio
import contextlib

import pytest
from flamingolift_daemon.backendclient import (
    BackendClients,
    close_clients,
    send_request,
)
from flamingolift_daemon.metrics import Metrics
from test_endless_answers import HEAD_TIMEOUT_S, HOLD_S, FakeInstance, FakeSlot

ANSWER = b"HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 4\r\n\r\nbody"
HEAD_BYTES = ANSWER.index(b"body")
CUTS = [1, 8, 12, 15, 17, 20, 28, HEAD_BYTES - 4, HEAD_BYTES - 2, HEAD_BYTES - 1]


@contextlib.asynccontextmanager
async def run_server(sizes):
    """Runs a server that sends so many bytes of each answer in turn, then closes."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                size = sizes.pop(0)
                writer.write(ANSWER[:size])
                if size < len(ANSWER):
                    break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def ask(clients, port, instance):
    slot = FakeSlot(port, instance.clock.now() + HOLD_S)
    return await send_request(
        clients, slot, "GET", "/x", [], None, timeout_s=HEAD_TIMEOUT_S
    )


# Guards against an answer whose head was cut and that is taken for a whole one.
@pytest.mark.parametrize("whole_before", [0, 1])
@pytest.mark.parametrize("size", CUTS)
async def test_short_head_is_no_answer(size, whole_before):
    instance = FakeInstance()
    clients = BackendClients("127.0.0.1", 1.0, 60.0, Metrics("", 0))
    async with run_server([len(ANSWER)] * whole_before + [size]) as port:
        for _answer in range(whole_before):
            result = await ask(clients, port, instance)
            assert await result.ok.resp.read() == b"body"
        result = await ask(clients, port, instance)
        assert result.is_error() and result.error.sent
    await close_clients(clients)
