"""An instance that accepts connections and says nothing."""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from flamingolift_cli import explainpath, operatorclient
from flamingolift_model import ResultCode
from flamingolift_model.plan import InstanceEntry

TIMEOUT_S = 0.3
MARGIN_S = 2.0
"""Time beyond the timeout for a busy machine (s)."""


@contextlib.asynccontextmanager
async def run_silent_instance():
    """Yields the port of a listener that reads and never answers."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


# Guards against commands that a silent instance holds without a bound.
async def test_query_of_a_silent_instance_ends_with_its_timeout(monkeypatch):
    monkeypatch.setattr(operatorclient, "QUERY_TIMEOUT_S", TIMEOUT_S)
    async with run_silent_instance() as port, aiohttp.ClientSession() as session:
        entry = InstanceEntry(
            instance_id="accra-1",
            region="accra",
            failure_domain="accra-central",
            host="127.0.0.1",
            caller_port=port,
            peer_port=port,
            operator_port=port,
        )
        started = time.monotonic()
        answer = await operatorclient.query_instance(session, entry, "/v1/x", "00")
        assert answer.error.code is ResultCode.PEER_UNREACHABLE
        assert time.monotonic() - started < TIMEOUT_S + MARGIN_S


async def test_explanation_by_a_silent_instance_ends_with_its_timeout(monkeypatch):
    monkeypatch.setattr(explainpath, "QUERY_TIMEOUT_S", TIMEOUT_S)
    async with run_silent_instance() as port:
        started = time.monotonic()
        with pytest.raises(TimeoutError):
            await explainpath._query_front(f"127.0.0.1:{port}", {})
        assert time.monotonic() - started < TIMEOUT_S + MARGIN_S
