"""Peers whose updates are without end, or unpack to far more than was sent."""

import asyncio
import contextlib
import tracemalloc
import zlib

import msgpack
import pytest
from flamingolift_front import peerlink, peersync
from frontviews import make_front

SMALLEST_MEMORY_BYTES = 152_000_000
"""Memory of the smallest instances (bytes)."""
AT_REST_BYTES = 40_000_000
"""Part of it that a process without requests takes (bytes)."""
SOURCES = 4
"""Peers that are asked at the same time: three relays, and one without the store."""
LIMIT_BYTES = (SMALLEST_MEMORY_BYTES - AT_REST_BYTES) // 2
"""Bytes that updates may take at their peak; the rest is for requests."""
MAPS = 4 << 20
WAIT_S = 30.0


def make_update(changes, compressed=True):
    body = msgpack.packb(
        {
            "revision": 11,
            "is_snapshot": True,
            "announced_bytes": 0,
            "compressed": compressed,
            "changes": zlib.compress(changes, 1) if compressed else changes,
        }
    )
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def make_documents():
    """Returns an update whose documents are small only when they are compressed."""
    plain = msgpack.packb({"failure_domain": "d", "other": ["x" * (3 << 20)]})
    change = {
        "kind": "Evacuation",
        "revision": 11,
        "compressed": True,
        "body": zlib.compress(plain, 1),
    }
    changes = [{**change, "key": f"evacuations/{n}"} for n in range(16)]
    return make_update(msgpack.packb(changes), compressed=False)


MESSAGES = {
    "body": lambda: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "zeros": lambda: make_update(bytes(40 << 20)),
    "maps": lambda: make_update(b"\xdd" + MAPS.to_bytes(4, "big") + b"\x80" * MAPS),
    "nested": lambda: make_update(
        b"\xdc\x00\x80" + (b"\xdc\x80\x00" + b"\x80" * 32_768) * 128
    ),
    "documents": make_documents,
}


@contextlib.asynccontextmanager
async def start_peer(message):
    """Starts a peer that answers with a message, and chunks for ever behind it."""
    chunk = b"10000\r\n" + b"\x7f" * 65_536 + b"\r\n"

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(message)
            while b"chunked" in message[:80]:
                writer.write(chunk)
                await writer.drain()
            await reader.read()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[:2]
    finally:
        server.close()
        await asyncio.sleep(0.05)


# Guards against instances that run out of memory for what their peers send.
@pytest.mark.parametrize("name", MESSAGES)
async def test_updates_of_several_peers_stay_within_the_memory(name):
    front = make_front()
    async with start_peer(MESSAGES[name]()) as address, asyncio.timeout(WAIT_S):
        links = [peerlink.PeerLink(address) for _source in range(SOURCES)]
        tracemalloc.start()
        results = await asyncio.gather(
            *(peersync.fetch_update(front, link, 0.0) for link in links),
            return_exceptions=True,
        )
        _size, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert all(isinstance(result, peerlink.PeerError) for result in results), results
    assert all(link.stream is None for link in links)
    assert peak < LIMIT_BYTES


# Guards against a refusal that does not tell the operator what was refused.
async def test_refusal_of_a_large_update_names_the_limit():
    async with start_peer(MESSAGES["body"]()) as address:
        with pytest.raises(peerlink.PeerError, match=str(peersync.MAX_UPDATE_BYTES)):
            await peersync.fetch_update(make_front(), peerlink.PeerLink(address), 0.0)
