"""Chooses the source of an instance's view: the store, relays or any peer.

In a large region a few instances, the relays, watch the store, and the other
instances long-poll all relays. An instance that cannot reach any relay watches the
store itself, and one that cannot reach the store pulls from peers.
"""

import asyncio
import time

from flamingolift_decisions.relays import relays_to_follow
from flamingolift_model import FaultError

from flamingolift_front import peersync, viewsync
from flamingolift_front.eventlog import log_event

__all__ = ["pull_from_peers", "sync_view"]

WATCH_WAIT_S = 25.0
"""Longest wait of one watch (s), below the store's limit of 30 s."""
WATCH_PAUSE_S = 0.8
"""Pause after a watch that returned changes (s), so that the next one returns
several at once; a third of the shortest time in which a change must be in force."""
RELAY_PAUSE_S = 0.3
"""Pause after a relay's response (s); shorter, because the relay has paused too."""
RETRY_MIN_S = 0.2
"""First backoff after a failed call (s)."""
RETRY_MAX_S = 1.0
"""Longest backoff after failed calls (s), less than half of the shortest time in
which a change must be in force once the store is back."""
FOLLOWER_RETRY_MAX_S = 2.0
"""Longest backoff of an instance that has relays (s): the relays call the store more
often, and peers that reach the store are asked meanwhile."""
PROBE_WAIT_S = 0.01
"""Wait of a request that only probes whether a relay responds (s)."""
RELAY_RETRY_S = 1.0
"""Pause before a relay that failed is polled again (s)."""
DIRECT_WATCH_S = 6.0
"""Time for which an instance watches the store itself after all its relays failed
(s): by then dead relays have left the list of instances."""
SHORT_WATCH_PERIOD_S = 3.0
"""Time after a failure in which watches are kept short (s): a watch that begins while
the store loses its history may never report a change."""
SHORT_WATCH_WAIT_S = 0.8
"""Wait of such a short watch (s), a third of the shortest time in which a change must
be in force."""
PULL_AFTER_S = 0.6
"""Length of a store outage from which peers are asked (s): a few failed calls."""
PULL_INTERVAL_S = 0.8
"""Interval between requests to peers (s): a third of the shortest time in which a
change must be in force."""


async def sync_view(front):
    """Keeps the view up to date until the task is cancelled.

    Args:
        front: Front.
    """
    pause = RETRY_MIN_S
    direct_until = short_watch_until = 0.0
    while True:
        now = time.monotonic()
        relays = _current_relays(front) if now >= direct_until else []
        if (
            relays
            and front.view.store_failed_at is None
            and front.view.revision is not None
        ):
            if not await _follow_relays(front, relays):
                failed_at = time.monotonic()
                direct_until = failed_at + DIRECT_WATCH_S
                short_watch_until = failed_at + SHORT_WATCH_PERIOD_S
            continue
        wait_s = WATCH_WAIT_S if now >= short_watch_until else SHORT_WATCH_WAIT_S
        try:
            changed = await viewsync.follow_store(front, wait_s)
        except FaultError:
            short_watch_until = time.monotonic() + SHORT_WATCH_PERIOD_S
            await asyncio.sleep(pause * front.rng.uniform(0.7, 1.3))
            max_pause = FOLLOWER_RETRY_MAX_S if _current_relays(front) else RETRY_MAX_S
            pause = min(max_pause, pause * 2.0)
            continue
        pause = RETRY_MIN_S
        if changed:
            await asyncio.sleep(WATCH_PAUSE_S)


def _current_relays(front):
    cfg = front.cfg
    entries = front.view.instances.values()
    return relays_to_follow(entries, cfg.region, cfg.instance_id)


async def _follow_relays(front, relays):
    """Long-polls the relays until the set of relays changes.

    Returns:
        True when the set of relays changed, False when all relays failed, so that the
        store must be watched directly.
    """
    names = [entry.instance_id for entry in relays]
    pending, failing = {}, set()
    try:
        while [entry.instance_id for entry in _current_relays(front)] == names:
            for entry in relays:
                name = entry.instance_id
                if name not in pending:
                    pause = RELAY_RETRY_S if name in failing else 0.0
                    request = _poll_relay(front, _link_to(front, entry), pause)
                    pending[name] = asyncio.ensure_future(request)
            await asyncio.wait(pending.values(), return_when=asyncio.FIRST_COMPLETED)
            relay_failed = False
            for name in [name for name, task in pending.items() if task.done()]:
                if pending.pop(name).result():
                    failing.discard(name)
                elif name not in failing:
                    failing.add(name)
                    relay_failed = True
            if relay_failed and not await _any_relay_responds(front, relays, failing):
                return False
            await asyncio.sleep(RELAY_PAUSE_S)
        return True
    finally:
        for task in pending.values():
            task.cancel()
        await asyncio.gather(*pending.values(), return_exceptions=True)


async def _any_relay_responds(front, relays, failing):
    """Returns whether a relay other than the failing ones responds at once.

    Notes:
        A long poll cannot distinguish a relay that is stuck from one without changes.
    """
    others = [entry for entry in relays if entry.instance_id not in failing]
    links = [peersync.PeerLink((e.host, e.peer_port)) for e in others]
    requests = [_poll_relay(front, link, 0.0, PROBE_WAIT_S) for link in links]
    try:
        return any(await asyncio.gather(*requests))
    finally:
        for link in links:
            peersync.close_link(link)


async def _poll_relay(front, link, pause_s, wait_s=peersync.MAX_WAIT_S):
    """Applies a relay's next update after a pause; returns whether it responded."""
    await asyncio.sleep(pause_s)
    try:
        update = await peersync.fetch_update(front, link, wait_s)
    except peersync.PeerError as exc:
        peer = peersync.link_name(link)
        log_event(front.log, "peer_failed", peer=peer, cause=str(exc))
        return False
    peersync.apply_update(front, update, peersync.link_name(link))
    return True


def _link_to(front, entry):
    """Returns the reusable PeerLink to an instance."""
    address = (entry.host, entry.peer_port)
    link = front.links.get(address)
    if link is None:
        link = front.links[address] = peersync.PeerLink(address)
    return link


async def pull_from_peers(front):
    """Pulls newer views from random peers while the store is unavailable.

    Args:
        front: Front.
    """
    while True:
        await asyncio.sleep(PULL_INTERVAL_S * front.rng.uniform(0.8, 1.2))
        store_failed_at = front.view.store_failed_at
        if store_failed_at is None or time.monotonic() - store_failed_at < PULL_AFTER_S:
            continue
        address = _pick_peer(front)
        if address is not None:
            await _pull_from(front, address)


async def _pull_from(front, address):
    link = peersync.PeerLink(address)
    peer = peersync.link_name(link)
    try:
        update = await peersync.fetch_update(front, link, 0.0)
        peersync.apply_update(front, update, peer)
    except peersync.PeerError as exc:
        log_event(front.log, "peer_failed", peer=peer, cause=str(exc))
    finally:
        peersync.close_link(link)


def _pick_peer(front):
    """Returns the address of a random peer, or None when none is known."""
    own_id = front.cfg.instance_id
    known = [
        (entry.host, entry.peer_port)
        for entry in front.view.instances.values()
        if entry.instance_id != own_id
    ]
    if not known:
        for seed in front.cfg.peer_seeds:
            host, _, port = seed.rpartition(":")
            if port.isdigit() and host != front.cfg.host:
                known.append((host, int(port)))
    return front.rng.choice(known) if known else None
