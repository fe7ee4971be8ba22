"""Errors in the handlers of peers' messages."""

import asyncio
import contextlib

from flamingolift_daemon import bookinghandlers, peerlinks
from flamingolift_daemon.instance import self_entry
from flamingolift_model import ResultCode, peer
from flamingolift_wire.idempotency import KeyFacts, issue_idempotency_key
from localinstance import HOST, LONG_S, WAIT_S, run_local_instance

SERVICES = [("seats", "booking")]


@contextlib.asynccontextmanager
async def run_pair(**options):
    """Yields two instances and the PeerLink that the second has opened to the first."""
    async with (
        run_local_instance(SERVICES, [9], instance_id="accra-1", **options) as first,
        run_local_instance(SERVICES, [9], instance_id="accra-2", **options) as second,
    ):

        async def accept(reader, writer):
            await peerlinks.accept_peer(first, reader, writer)

        server = await asyncio.start_server(accept, HOST, 0)
        entry = self_entry(first)
        entry.peer_port = server.sockets[0].getsockname()[1]
        link = (await peerlinks.get_link(second, entry)).ok
        try:
            yield first, second, link
        finally:
            server.close()
            peerlinks.close_link(link)


def fail(*_args):
    raise KeyError("a fault of the program")


async def fail_later(*_args):
    await asyncio.sleep(0)
    fail()


def make_booking(instance):
    facts = KeyFacts(
        "accra-1", instance.incarnation, "", 0, instance.clock.wall() + LONG_S, "seats"
    )
    return peer.Booking(
        key=issue_idempotency_key(instance.ticket_keys, facts),
        service="seats",
        method="POST",
        target="/x",
        headers=[],
        body=b"seat",
        tenant="t",
        deadline_ms=int(LONG_S * 1000),
    )


# Guards against one message that ends the calls of all others on its stream.
async def test_error_in_a_handler_fails_its_own_call_alone():
    async with run_pair() as (instance, _second, link):
        instance.handlers[peer.Acquire] = lambda *_args: None
        instance.handlers[peer.Claim] = fail
        acquire = peer.Acquire(service="seats", tenant="t", wait_ms=1, hold_ms=1)
        other = asyncio.ensure_future(peerlinks.call_peer(link, acquire, LONG_S))
        async with asyncio.timeout(WAIT_S):
            claim = peer.Claim(key="k", digest=b"d")
            answer = await peerlinks.call_peer(link, claim, LONG_S)
        assert answer.error.code is ResultCode.PEER_UNREACHABLE
        assert not other.done() and not link.closed.done()
        other.cancel()


# Guards against a booking forwarded to its home that waits there without an answer.
async def test_error_at_the_home_is_answered_at_once(monkeypatch):
    async with run_pair() as (instance, _second, link):
        monkeypatch.setattr(bookinghandlers, "run_at_home", fail_later)
        async with asyncio.timeout(WAIT_S):
            answer = await peerlinks.call_peer(link, make_booking(instance), LONG_S)
        assert answer.error.code is ResultCode.PEER_UNREACHABLE
