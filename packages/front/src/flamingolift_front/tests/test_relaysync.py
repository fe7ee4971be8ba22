"""How a follower chooses the relay that sends it an announced update."""

import asyncio
import time

import pytest
from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_front import relaysync, viewupdates
from flamingolift_front.bytestream import ByteStream
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.lookups import serve_control
from flamingolift_front.state import notify_change
from flamingolift_front.viewproof import RELAY_GRACE_S
from flamingolift_front.viewsync import apply_changes
from flamingolift_standins.linkproxy import Link, start_link_proxy, stop_link_proxy
from frontviews import make_current_store, make_entry, make_policy

CHUNK_BYTES = 16_384
"""Bytes that a link carries at once (bytes)."""

SILENCE_ENDS = {
    relaysync.FollowingEnd.RELAYS_FAILED,
    relaysync.FollowingEnd.UNPROVEN,
}
"""Ends of following silent relays: a failed probe, or a proof that expired before."""


class Relay:
    """A front that serves its view on a port of its own.

    Attributes:
        front: Front.
        port: TCP port.
        targets: Request targets, in the order of their arrival.
        silent: Whether it no longer responds to requests for whole updates.
        link: Link that carries its responses.
    """

    __slots__ = (
        "front",
        "link",
        "port",
        "proxy",
        "server",
        "silent",
        "targets",
        "tasks",
    )

    def __init__(self, front):
        self.front = front
        self.port = 0
        self.server = None
        self.link = Link(1e9)
        self.proxy = None
        self.silent = False
        self.targets = []
        self.tasks = set()

    def transfers(self):
        return [t for t in self.targets if "max_bytes=0" in t]


async def start_relay(front):
    relay = Relay(front)
    front.store = make_current_store(front)

    async def handle(front, target):
        relay.targets.append(target)
        if relay.silent and "max_bytes=0" in target:
            await asyncio.sleep(3600.0)
        return await handle_internal(front, target)

    def serve(stream):
        task = asyncio.ensure_future(serve_control(front, stream, handle))
        relay.tasks.add(task)

    loop = asyncio.get_running_loop()
    relay.server = await loop.create_server(lambda: ByteStream(serve), "127.0.0.1", 0)
    port = relay.server.sockets[0].getsockname()[1]
    relay.proxy = await start_link_proxy(relay.link, "127.0.0.1", port)
    relay.port = relay.proxy.port
    return relay


async def stop_relay(relay):
    await stop_link_proxy(relay.proxy)
    relay.server.close()
    for task in relay.tasks:
        task.cancel()
    await asyncio.gather(*relay.tasks, return_exceptions=True)


@pytest.fixture
async def region(new_front, change):
    """Yields a follower and its relays in the order in which it asks them."""
    relays = [await start_relay(new_front()) for _ in range(3)]
    entries = [make_entry(0)]
    entries += [make_entry(n + 1, relay.port) for n, relay in enumerate(relays)]
    changes = [change(f"instances/{e.instance_id}", e, 10) for e in entries]
    follower = new_front(changes)
    names = [e.instance_id for e in entries[1:]]
    by_name = dict(zip(names, relays, strict=True))
    ranked = [by_name[name] for name in rendezvous_order("front-0", names)]
    follower.view.instances = {}
    follow = asyncio.ensure_future(relaysync.follow_relays(follower, entries[1:]))
    yield follower, ranked, follow
    follow.cancel()
    await asyncio.gather(follow, return_exceptions=True)
    for relay in relays:
        await stop_relay(relay)


@pytest.fixture(autouse=True)
def fixed_relays(monkeypatch):
    """Makes the relays that a follower started with its relays until the end."""
    monkeypatch.setattr(
        relaysync, "current_relays", lambda front: [make_entry(n) for n in (1, 2, 3)]
    )


async def publish(relays, change, routes, revision=11):
    for relay in relays:
        policy = change("policy", make_policy(revision, routes), revision)
        apply_changes(relay.front, [policy], revision)
        # The relays share an event loop here, so one would wait for another's encoding.
        viewupdates.encode_update(relay.front.view, 10, 0)


async def wait_for_revision(front, revision, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while front.view.revision < revision:
            await asyncio.sleep(0.01)


async def test_small_update_comes_with_the_poll(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    await publish(relays, change, 2)
    await wait_for_revision(follower, 11)
    assert follower.view.table.number == 11
    assert not any(relay.transfers() for relay in relays)


# Guards against a follower that transfers a large update from each of its relays.
async def test_large_update_is_transferred_once(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    await publish(relays, change, 4000)
    await wait_for_revision(follower, 11)
    await asyncio.sleep(2 * relaysync.HEDGE_S)
    assert [len(relay.transfers()) for relay in relays] == [1, 0, 0]


async def test_next_relay_sends_the_update_when_the_first_does_not(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    relays[0].silent = True
    await publish(relays, change, 4000)
    await wait_for_revision(follower, 11)
    assert [len(relay.transfers()) for relay in relays] == [1, 1, 0]


# Guards against followers that multiply the load on the links of slow relays.
async def test_slow_transfer_that_keeps_the_pace_is_not_repeated(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    await publish(relays, change, 30_000)
    size = len(viewupdates.encode_update(relays[0].front.view, 10, 0))
    assert size > 8 * CHUNK_BYTES
    for relay in relays:
        relay.link.bytes_per_s = size / (0.8 * relaysync.PACE_S)
    await wait_for_revision(follower, 11, 20.0)
    assert [len(relay.transfers()) for relay in relays] == [1, 0, 0]


# Guards against a follower that waits for a transfer while its relay only announces.
async def test_relay_that_is_late_is_not_waited_for(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    await publish(relays[1:], change, 4000)
    await wait_for_revision(follower, 11)
    assert [len(relay.transfers()) for relay in relays] == [0, 1, 0]


# Guards against a follower that waits for relays that announce and never deliver.
async def test_announced_update_that_does_not_arrive_ends_the_following(
    region, change, monkeypatch
):
    follower, relays, follow = region
    await asyncio.sleep(0.2)
    for relay in relays:
        relay.silent = True
    logged = []
    monkeypatch.setattr(
        relaysync, "log_event", lambda _log, event, **_fields: logged.append(event)
    )
    await publish(relays, change, 4000)
    end = await asyncio.wait_for(follow, 5.0)
    assert end is relaysync.FollowingEnd.OVERDUE
    assert follower.view.revision == 10
    # Not because the relays failed: they still respond to polls.
    assert logged[-1] == "update_overdue"


async def test_all_relays_gone_ends_the_following(region):
    _follower, relays, follow = region
    await asyncio.sleep(0.2)
    for relay in relays:
        await stop_relay(relay)
    end = await asyncio.wait_for(follow, 5.0)
    assert end is relaysync.FollowingEnd.RELAYS_FAILED


# Guards against a follower that waits for one slow relay beside two fast ones.
async def test_update_does_not_wait_for_one_slow_relay(region, change):
    follower, relays, _follow = region
    await asyncio.sleep(0.2)
    await publish(relays, change, 30_000)
    size = len(viewupdates.encode_update(relays[0].front.view, 10, 0))
    relays[0].link.bytes_per_s = size / 30.0
    await wait_for_revision(follower, 11)
    assert [len(relay.transfers()) for relay in relays] == [1, 1, 0]


# Guards against a late announcement from which the lag of the next update is counted.
async def test_announcement_of_a_known_update_starts_no_clock(region, change):
    follower, relays, follow = region
    await asyncio.sleep(0.2)
    await publish(relays[:2], change, 4000)
    await wait_for_revision(follower, 11)
    await publish(relays[2:], change, 4000)
    await asyncio.sleep(relaysync.ANNOUNCED_TIMEOUT_S + 0.5)
    await publish(relays, change, 4000, revision=12)
    await wait_for_revision(follower, 12)
    assert not follow.done()
    assert [len(relay.transfers()) for relay in relays] == [2, 0, 0]


async def lose_store(relays, for_s):
    """Lets all relays lose the store for a time, as when it cuts all watches."""
    for relay in relays:
        relay.front.view.store_failed_at = time.monotonic()
        notify_change(relay.front.view)
    await asyncio.sleep(for_s)
    for relay in relays:
        relay.front.view.store_failed_at = None


# Guards against a herd at the store: when it cut the relays' watches and dropped its
# history, all 195 instances of a fleet read the whole view from it, though their relays
# had it again a moment later.
async def test_followers_keep_relays_that_lose_the_store_for_a_moment(region, change):
    follower, relays, follow = region
    await asyncio.sleep(0.2)
    await lose_store(relays, RELAY_GRACE_S / 2)
    await publish(relays, change, 2)
    await wait_for_revision(follower, 11)
    assert not follow.done()
    # An update that comes during the loss is passed on too.
    for relay in relays:
        relay.front.view.store_failed_at = time.monotonic()
    await publish(relays, change, 2, revision=12)
    await wait_for_revision(follower, 12, RELAY_GRACE_S)


@pytest.mark.parametrize("losses", [1, 2])
async def test_followers_leave_relays_that_lost_the_store_for_longer(region, losses):
    _follower, relays, follow = region
    await asyncio.sleep(0.2)
    for _loss in range(losses - 1):
        await lose_store(relays, RELAY_GRACE_S / 2)
    started = time.monotonic()
    lost = asyncio.ensure_future(lose_store(relays, 4 * RELAY_GRACE_S))
    end = await asyncio.wait_for(follow, 4.0)
    assert end is relaysync.FollowingEnd.RELAYS_FAILED
    assert RELAY_GRACE_S <= time.monotonic() - started <= RELAY_GRACE_S + 0.5
    lost.cancel()


# Guards against relays that lose power together: their followers act on an old view
# until TCP gives the connections up after 3 s.
async def test_silence_of_all_relays_is_noticed_before_a_change_is_due(region):
    _follower, relays, follow = region
    await asyncio.sleep(0.2)
    for relay in relays:
        relay.link.bytes_per_s = 0.001
    silent_at = time.monotonic()
    end = await asyncio.wait_for(follow, 5.0)
    assert end in SILENCE_ENDS
    # The rule allows 2.5 s, of which the store's answer takes a part.
    assert time.monotonic() - silent_at < 2.0


# Guards against a heartbeat that stays with a relay that is gone, so that the silence
# of the others is noticed by their long polls alone.
async def test_heartbeat_goes_on_to_a_relay_that_responds(region, change):
    follower, relays, follow = region
    await asyncio.sleep(0.2)
    relays[0].link.bytes_per_s = 0.001
    await asyncio.sleep(2.0)
    assert not follow.done()
    await publish(relays[1:], change, 2)
    await wait_for_revision(follower, 11)
    for relay in relays[1:]:
        relay.link.bytes_per_s = 0.001
    silent_at = time.monotonic()
    end = await asyncio.wait_for(follow, 5.0)
    assert end in SILENCE_ENDS
    assert time.monotonic() - silent_at < 2.0


# Guards against a follower that fails when its heartbeat ends in the same turn in which
# the next relay has answered.
async def test_heartbeat_goes_on_to_a_relay_whose_poll_has_just_ended(
    new_front, monkeypatch
):
    entries = [make_entry(n) for n in (1, 2, 3)]
    follower = new_front()
    names = [entry.instance_id for entry in entries]
    order = relaysync.transfer_order(entries, follower.cfg.instance_id)
    assert set(order) == set(names)
    polls = []

    async def poll(_front, _following, _link, rank, _limits):
        polls.append(rank)
        if len(polls) > len(names):
            await asyncio.sleep(3600.0)
        return rank != 0

    async def respond(_front, _relays, _failing):
        return True

    monkeypatch.setattr(relaysync, "_poll_relay", poll)
    monkeypatch.setattr(relaysync, "_any_relay_responds", respond)
    follow = asyncio.ensure_future(relaysync.follow_relays(follower, entries))
    await asyncio.sleep(0.1)
    assert not follow.done()
    follow.cancel()
    await asyncio.gather(follow, return_exceptions=True)
