"""Chooses the source of an instance's view: the store, relays or any peer.

In a large region a few instances, the relays, watch the store, and the other
instances follow them (`relaysync`). An instance that gets no updates from its relays
watches the store itself, and one that cannot reach the store pulls from peers.
"""

import asyncio
import contextlib
import time

from flamingolift_decisions import freshness
from flamingolift_model import FaultError

from flamingolift_front import httpcall, peerlink, peersync, relaysync, viewsync
from flamingolift_front.eventlog import log_event
from flamingolift_front.relaysync import FollowingEnd
from flamingolift_front.viewage import view_age_ms, view_time

__all__ = ["pull_from_peers", "sync_view"]

WATCH_WAIT_S = 25.0
"""Longest wait of one watch (s), below the store's limit of 30 s."""
WATCH_PAUSE_S = 0.8
"""Pause after a watch that returned changes (s), so that the next one returns
several at once; a third of the shortest time in which a change must be in force."""
RETRY_MIN_S = 0.2
"""First backoff after a failed call (s)."""
RETRY_MAX_S = 1.0
"""Longest backoff after failed calls (s), less than half of the shortest time in
which a change must be in force once the store is back."""
FOLLOWER_RETRY_MAX_S = 2.0
"""Longest backoff of an instance that has relays (s): the relays call the store more
often, and peers that reach the store are asked meanwhile."""
DIRECT_WATCH_S = 6.0
"""Time for which an instance watches the store itself after its relays failed (s): by
then dead relays have left the list of instances."""
SHORT_WATCH_PERIOD_S = 3.0
"""Time after a failure in which watches are kept short (s): a watch that begins while
the store loses its history may never report a change."""
SHORT_WATCH_WAIT_S = 0.8
"""Wait of such a short watch (s), a third of the shortest time in which a change must
be in force."""
PULL_AFTER_S = 0.6
"""Length of a store outage from which peers are asked (s): a few failed calls."""
MAX_PORT = 65535
"""Largest TCP port."""
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
    is_overdue = False
    cause, source = "start", None
    while True:
        now = time.monotonic()
        relays = relaysync.current_relays(front) if now >= direct_until else []
        if front.view.store_failed_at is not None or front.view.revision is None:
            relays = []
        former, source = source, ",".join(r.instance_id for r in relays) or "store"
        if source != former:
            _log_source(front, source, cause)
            cause = "relays_changed"
        if relays:
            front.view.follows = True
            try:
                end = await relaysync.follow_relays(front, relays)
            finally:
                front.view.follows = False
            cause = end.value
            if end is not FollowingEnd.RELAYS_CHANGED:
                ended_at = time.monotonic()
                direct_until = ended_at + DIRECT_WATCH_S
                short_watch_until = ended_at + SHORT_WATCH_PERIOD_S
                is_overdue = end is FollowingEnd.OVERDUE
            continue
        wait_s = WATCH_WAIT_S if now >= short_watch_until else SHORT_WATCH_WAIT_S
        try:
            changed = await viewsync.follow_store(front, wait_s)
        except FaultError:
            short_watch_until = time.monotonic() + SHORT_WATCH_PERIOD_S
            await asyncio.sleep(pause * front.rng.uniform(0.7, 1.3))
            has_relays = bool(relaysync.current_relays(front))
            max_pause = FOLLOWER_RETRY_MAX_S if has_relays else RETRY_MAX_S
            pause = min(max_pause, pause * 2.0)
            continue
        pause = RETRY_MIN_S
        if changed and is_overdue:
            # The relays work; only this update was read from the store.
            direct_until, is_overdue = 0.0, False
        elif changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_PAUSE_S):
                    await front.view.behind.wait()


def _log_source(front, source, cause):
    log_event(
        front.log,
        "source_changed",
        source=source,
        cause=cause,
        revision=front.view.revision,
        age_ms=view_age_ms(front.view),
    )


async def pull_from_peers(front):
    """Pulls newer views from random peers while no source proves the own one.

    Args:
        front: Front.
    """
    while True:
        await asyncio.sleep(PULL_INTERVAL_S * front.rng.uniform(0.8, 1.2))
        if not _needs_peers(front):
            continue
        address = _pick_peer(front)
        if address is not None:
            await _pull_from(front, address)


def _needs_peers(front):
    """Returns whether the store has been away for long, or the view is unproven."""
    view = front.view
    if view.store_failed_at is not None:
        return time.monotonic() - view.store_failed_at >= PULL_AFTER_S
    limit_s = freshness.expiry_age(front.cfg.apply_s)
    return (
        view.revision is not None
        and freshness.proof_age(view.freshness, view_time()) >= limit_s
    )


async def _pull_from(front, address):
    link = peerlink.PeerLink(address)
    peer = peerlink.link_name(link)
    try:
        update = await peersync.fetch_update(front, link, 0.0)
        peersync.apply_update(front, update, peer)
    except peerlink.PeerError as exc:
        log_event(front.log, "peer_failed", peer=peer, cause=str(exc))
    finally:
        peerlink.close_link(link)


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
            number = httpcall.parse_count(port)
            if number and number <= MAX_PORT and host != front.cfg.host:
                known.append((host, number))
    return front.rng.choice(known) if known else None
