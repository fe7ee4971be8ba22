"""Streams between instances on which nothing arrives any more."""

import asyncio

from flamingolift_daemon import heartbeats
from flamingolift_daemon.instance import start_task
from flamingolift_daemon.peerlinks import call_peer
from flamingolift_model import ResultCode, peer
from flamingolift_standins.silentpeer import drop_packets
from localinstance import LONG_S, WAIT_S
from test_peer_errors import run_pair


# Guards against calls that wait on a stream whose other end has vanished.
async def test_silent_stream_ends_its_calls_after_the_heartbeat_timeout():
    async with run_pair(heartbeat_interval_s=0.1, heartbeat_timeout_s=0.4) as parts:
        _first, second, link = parts
        start_task(second, heartbeats.run_heartbeats(second))
        drop_packets(link.writer.get_extra_info("socket"))
        async with asyncio.timeout(WAIT_S):
            claim = peer.Claim(key="k", digest=b"d")
            answer = await call_peer(link, claim, LONG_S)
        assert answer.error.code is ResultCode.PEER_UNREACHABLE
        assert link.closed.done()
