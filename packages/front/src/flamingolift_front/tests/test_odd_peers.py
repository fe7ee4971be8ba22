"""Peers at odd addresses, and peers that send odd messages."""

import asyncio

import pytest
from flamingolift_front import peerlink, peersync, viewsource
from frontviews import make_front


# Guards against an address whose connect raises in the task that keeps the view.
@pytest.mark.parametrize(
    "address", [("127.0.0.1", 70_000), ("127.0.0.1", -1), ("\ud800", 80), ("a\nb", 80)]
)
async def test_peer_that_cannot_be_dialled_fails_as_a_peer(address):
    link = peerlink.PeerLink(address)
    with pytest.raises(peerlink.PeerError):
        await peersync.fetch_update(make_front(), link, 0.0)


# Guards against a request that cannot be written because of the peer's name.
async def test_peer_whose_name_is_no_header_value_fails_as_a_peer():
    async def serve(reader, _writer):
        await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = peerlink.PeerLink(server.sockets[0].getsockname()[:2])
    await peerlink.open_link(link)
    link.address = ("a\nb", link.address[1])
    with pytest.raises(peerlink.PeerError):
        await peersync.fetch_update(make_front(), link, 0.0)
    server.close()


# Guards against a seed that makes the task which asks peers fail each time.
def test_seed_without_a_port_is_skipped():
    seeds = ["h:70000", "h:0", "h:" + "9" * 5000, "h:٣", "h", ""]
    assert viewsource._pick_peer(make_front(peer_seeds=seeds)) is None
    front = make_front(peer_seeds=[*seeds, "10.0.0.9:81"])
    assert viewsource._pick_peer(front) == ("10.0.0.9", 81)
