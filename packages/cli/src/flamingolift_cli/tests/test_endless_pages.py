"""Instances whose pages are without end."""

import asyncio
import contextlib

import aiohttp
import pytest
from flamingolift_cli import explainpath, operatorclient
from flamingolift_model import ResultCode
from flamingolift_model.plan import InstanceEntry

CHUNK = b"10000\r\n" + b" " * 65_536 + b"\r\n"
QUERY_TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def start_instance(status):
    """Starts an instance; yields its port and a list with the bytes that were sent."""
    sent = [0]

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %d OK\r\nTransfer-Encoding: chunked\r\n" % status)
            writer.write(b"Content-Type: application/json\r\n\r\n")
            while True:
                writer.write(CHUNK)
                sent[0] += len(CHUNK)
                await writer.drain()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], sent
    finally:
        server.close()
        await asyncio.sleep(0.05)


# Guards against a command that keeps an instance's page without end.
async def test_endless_page_of_the_operator_api_is_given_up(monkeypatch):
    monkeypatch.setattr(operatorclient, "QUERY_TIMEOUT_S", QUERY_TIMEOUT_S)
    async with start_instance(200) as (port, sent), aiohttp.ClientSession() as session:
        entry = InstanceEntry(
            instance_id="accra-1",
            region="accra",
            failure_domain="accra-central",
            host="127.0.0.1",
            caller_port=port,
            peer_port=port,
            operator_port=port,
        )
        answer = await operatorclient.query_instance(session, entry, "/v1/x", "00")
    assert answer.error.code is ResultCode.PEER_UNREACHABLE
    assert sent[0] < 2 * operatorclient.MAX_PAGE_BYTES


@pytest.mark.parametrize("status", [200, 400, 500])
async def test_endless_explanation_is_given_up(monkeypatch, status):
    monkeypatch.setattr(explainpath, "QUERY_TIMEOUT_S", QUERY_TIMEOUT_S)
    async with start_instance(status) as (port, sent):
        with pytest.raises(aiohttp.ClientPayloadError, match="more than"):
            await explainpath._query_front(f"127.0.0.1:{port}", {})
    assert sent[0] < 2 * explainpath.MAX_PAGE_BYTES
