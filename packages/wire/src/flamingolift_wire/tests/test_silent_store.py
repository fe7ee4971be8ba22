"""A store that accepts connections and says nothing."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_model import ResultCode
from flamingolift_wire import storeclient

TIMEOUT_S = 0.3
MARGIN_S = 2.0
"""Time beyond the timeout for a busy machine (s)."""


@contextlib.asynccontextmanager
async def run_silent_store():
    """Yields a StoreClient of a listener that reads and never answers."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = storeclient.StoreClient(f"http://127.0.0.1:{port}", TIMEOUT_S)
    try:
        yield store
    finally:
        await store.session.close()
        server.close()


# Guards against calls that a silent connection holds without a bound.
@pytest.mark.parametrize(
    "call",
    [
        lambda store: storeclient.get_value(store, "k"),
        lambda store: storeclient.put_value(store, "k", b"v", 0),
        lambda store: storeclient.list_values(store, "k"),
        lambda store: storeclient.create_lease(store, 1.0),
        lambda store: storeclient.renew_lease(store, "l"),
        lambda store: storeclient.watch_live_list(store, 0, 0.1),
    ],
)
async def test_call_to_a_silent_store_ends_with_its_timeout(call):
    async with run_silent_store() as store:
        started = time.monotonic()
        result = await call(store)
        assert result.error.code is ResultCode.STORE_UNAVAILABLE
        assert time.monotonic() - started < TIMEOUT_S + MARGIN_S
