"""Peers whose replies to short questions are without end."""

import asyncio
import itertools
import tracemalloc

import pytest
from flamingolift_front import crashsync, httpcall, peerlink
from frontviews import make_entry, make_front
from test_endless_heads import make_call
from test_endless_updates import MESSAGES, start_peer

ASKED_AT_ONCE = 64
LIMIT_BYTES = 30_000_000
"""Bytes that the replies to so many questions may take, with the input buffer of each
connection; the rest of the smallest machines is for requests."""


# Guards against memory that grows with the number of peers that are asked at once.
async def test_replies_without_end_are_given_up():
    async with start_peer(MESSAGES["body"]()) as address, asyncio.timeout(30.0):
        links = [peerlink.PeerLink(address) for _link in range(ASKED_AT_ONCE)]

        async def ask(link):
            with peerlink.failures_as_peer_errors(link):
                await peerlink.exchange(link, "/grant", 20.0)

        tracemalloc.start()
        results = await asyncio.gather(*map(ask, links), return_exceptions=True)
        size, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert all(isinstance(result, peerlink.PeerError) for result in results)
    assert all(str(peerlink.MAX_REPLY_BYTES) in str(result) for result in results)
    assert all(link.stream is None for link in links)
    assert size < LIMIT_BYTES


# Guards against a record without end that is asked for again and again.
@pytest.mark.parametrize("message", [None, b"\x80"])
async def test_peer_whose_record_does_not_end_is_not_asked_for_some_time(message):
    front, entry = make_front(), make_entry(1)
    async with start_peer(MESSAGES["body"]()) as address:
        link = peerlink.PeerLink(address)
        body = await crashsync.call_peer(front, entry, link, "/crashes", message)
    assert body is None
    assert entry.instance_id in front.crashes.silent_until


# Guards against a bound that refuses the largest record of a peer.
async def test_largest_record_is_read():
    size = crashsync.MAX_RECORD_BYTES
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
    async with start_peer(reply) as address:
        link = peerlink.PeerLink(address)
        body = await crashsync.call_peer(make_front(), make_entry(1), link, "/crashes")
        peerlink.close_link(link)
    assert body == bytes(size)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDS = {
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n" * 512),
    "one trailer": (CHUNKED + b"1\r\na\r\n0\r\na: ", b"b" * 4096),
    "chunk extension": (CHUNKED + b"1;a=", b"b" * 4096),
    "chunk size": (CHUNKED, b"0" * 4096),
}
SEVERAL_HEADS = 4 * httpcall.MAX_HEAD_BYTES


# Guards against parts of a response that no bound of heads or bodies covers.
@pytest.mark.parametrize("name", ENDS)
async def test_parts_of_a_response_without_end_are_refused(name):
    start, piece = ENDS[name]
    call = make_call(start)
    reading = asyncio.create_task(httpcall.read_response(call, httpcall.accept_any))
    for sent in itertools.count(len(start), len(piece)):
        await asyncio.sleep(0)
        if reading.done() or sent > SEVERAL_HEADS:
            break
        call.stream.data_received(piece)
    with pytest.raises(httpcall.InvalidResponseError):
        await asyncio.wait_for(reading, 1.0)
    assert sent <= SEVERAL_HEADS
