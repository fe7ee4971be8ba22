"""Connections whose peer vanishes silently: socket options, and what ends them."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_front import bytestream, peerlink
from flamingolift_standins.silentpeer import drop_packets, socket_options

PROBE_S = 1.0
"""Shortest interval of keep-alive probes that Linux allows (s)."""
WAIT_S = 10.0
"""Longest wait for the end of a connection (s)."""


@contextlib.asynccontextmanager
async def run_listener():
    """Runs a listener; yields its address and the list of accepted streams."""
    accepted = []
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: bytestream.ByteStream(accepted.append), "127.0.0.1", 0
    )
    try:
        yield listener.sockets[0].getsockname(), accepted
    finally:
        listener.close()
        for stream in accepted:
            bytestream.abort(stream)


@contextlib.asynccontextmanager
async def run_connection(keepalive):
    """Yields both ends of a connection, the one that was opened first."""
    async with run_listener() as (address, accepted):
        stream = await bytestream.connect(*address, 1.0, keepalive=keepalive)
        try:
            async with asyncio.timeout(WAIT_S):
                while not accepted:
                    await asyncio.sleep(0)
            yield stream, accepted[0]
        finally:
            bytestream.abort(stream)


def sock_of(stream):
    return stream.transport.get_extra_info("socket")


async def time_to_end(stream):
    """Returns the time until the stream ends with a PeerTimeoutError (s)."""
    started = time.monotonic()
    async with asyncio.timeout(WAIT_S):
        with pytest.raises(bytestream.PeerTimeoutError):
            await bytestream.read(stream)
    return time.monotonic() - started


async def test_options_of_connections_to_servers_and_of_accepted_ones():
    async with run_connection(keepalive=False) as (opened, accepted):
        assert socket_options(sock_of(opened)) == (600, None)
        assert socket_options(sock_of(accepted)) == (5000, None)


# Guards against a user timeout that ends a connection before its probes do.
async def test_user_timeout_leaves_time_for_all_probes_of_a_peer_connection():
    async with run_listener() as (address, _accepted):
        link = peerlink.PeerLink(address)
        stream = await peerlink.open_link(link)
        user_timeout_ms, (idle_s, interval_s, count) = socket_options(sock_of(stream))
        assert count > 1
        assert user_timeout_ms >= (idle_s + interval_s * count) * 1000
        peerlink.close_link(link)


# Guards against one lost probe that resets an idle connection to the store or a peer.
async def test_idle_connection_outlives_one_unanswered_probe():
    async with run_connection(keepalive=True) as (stream, accepted):
        drop_packets(sock_of(accepted))
        elapsed_s = await time_to_end(stream)
        # The first probe is sent after one interval, and the next one interval later.
        assert elapsed_s > 2.5 * PROBE_S


async def test_unacknowledged_bytes_end_a_connection_to_a_server():
    async with run_connection(keepalive=False) as (stream, accepted):
        drop_packets(sock_of(accepted))
        bytestream.write(stream, b"GET / HTTP/1.1\r\n\r\n")
        assert await time_to_end(stream) < 2.0
