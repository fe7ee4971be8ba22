"""Follows the relays of a region: long polls, announcements and one transfer at a time.

A relay that loses power or its path sends no reset, and a long poll to it looks like
one without changes. One relay of each follower is therefore polled in short intervals,
as a heartbeat, and has to prove that its own view is recent. When it does not, the
others are probed, and the store is watched when they fail too, or at the latest when
the proof of the view expires.

Every relay reports a change at once. A large one is only announced, and each follower
transfers it from one relay; the order in which it asks them is its own, so that the
followers share out the relays' links. The next relay is asked when a transfer falls
behind the pace that it needs, and in the end the store.
"""

import asyncio
import contextlib
import enum
import time

from flamingolift_decisions.freshness import heartbeat_wait, renewal_age
from flamingolift_decisions.relays import relays_to_follow, transfer_order

from flamingolift_front import peerlink, peersync
from flamingolift_front.eventlog import log_event
from flamingolift_front.viewage import STALL_S, wait_expired
from flamingolift_front.viewera import is_behind_era

__all__ = ["FollowingEnd", "current_relays", "follow_relays"]

RELAY_PAUSE_S = 0.3
"""Pause after a relay's response (s), which collects changes; shorter than that after a
watch, because the relay has paused too."""
RELAY_RETRY_S = 1.0
"""Pause before a relay that failed is polled again (s)."""
PROBE_WAIT_S = 0.01
"""Wait of a request that only probes whether a relay responds (s)."""
HEARTBEAT_TIMEOUT_S = 0.5
"""Longest time for the response to a heartbeat or a probe beyond its wait (s), longer
than a relay needs to decode a large policy."""
MIN_CHECK_S = 0.05
"""Shortest pause between two looks at a transfer (s)."""
PACE_S = 2.0
"""Time in which a transfer of an announced update is expected to end (s), below the
shortest time in which a change must be in force."""
HEDGE_S = 0.5
"""Lag behind that pace at which a follower asks the next relay for the update (s): the
followers of a relay share its link, and their first bytes wait."""
ERA_WAIT_S = 1.0
"""Time for which a follower that knows of a restored store waits for its relays (s)."""
ANNOUNCED_TIMEOUT_S = 1.4
"""Lag at which an announced update is read from the store (s); by then all relays were
asked."""


class FollowingEnd(enum.Enum):
    """Why an instance stopped following its relays."""

    RELAYS_CHANGED = "relays_changed"
    RELAYS_FAILED = "relays_failed"
    OVERDUE = "overdue"
    UNPROVEN = "unproven"


class Following:
    """State of following one set of relays.

    Attributes:
        revision: Highest announced revision.
        size: Size of its changes (bytes).
        base: Revision of the view when the announcement came.
        announced_at: Time of the first announcement after `base` (s, monotonic).
        received: Bytes received by the transfer that got furthest.
        announced: Event that is set while an announced revision has not arrived.
        transfers: Number of transfers in progress.
    """

    __slots__ = (
        "announced",
        "announced_at",
        "base",
        "received",
        "revision",
        "size",
        "transfers",
    )

    def __init__(self):
        self.revision = -1
        self.size = 1
        self.base = -1
        self.announced_at = 0.0
        self.received = 0
        self.announced = asyncio.Event()
        self.transfers = 0


class _PollLimits:
    """Times of one poll of a relay.

    Attributes:
        pause_s: Pause before it (s).
        wait_s: Time for which the relay may wait for changes (s).
        margin_s: Longest time for the response beyond that (s).
        max_age_s: Largest age that the relay's view may have (s), or None for any.
    """

    __slots__ = ("margin_s", "max_age_s", "pause_s", "wait_s")

    def __init__(self, pause_s, wait_s, margin_s, max_age_s):
        self.pause_s = pause_s
        self.wait_s = wait_s
        self.margin_s = margin_s
        self.max_age_s = max_age_s


def current_relays(front):
    """Returns the InstanceEntry objects of the relays that an instance follows now.

    Args:
        front: Front.
    """
    cfg = front.cfg
    entries = front.view.instances.values()
    return relays_to_follow(entries, cfg.region, cfg.instance_id)


async def follow_relays(front, relays):
    """Follows the relays until their set changes, they fail, or an update is overdue.

    Args:
        front: Front.
        relays: List of InstanceEntry.

    Returns:
        FollowingEnd.
    """
    names = [entry.instance_id for entry in relays]
    order = transfer_order(relays, front.cfg.instance_id)
    ranks = {name: rank for rank, name in enumerate(order)}
    following = Following()
    overdue = asyncio.ensure_future(_wait_overdue(front, following))
    restored = asyncio.ensure_future(_wait_behind_era(front))
    expired = asyncio.ensure_future(wait_expired(front, following.announced.is_set))
    pending, failing = {}, set()
    watched, seen = order[0], front.view.revision
    try:
        while [entry.instance_id for entry in current_relays(front)] == names:
            for entry in relays:
                name = entry.instance_id
                if name not in pending:
                    pause_s = RELAY_RETRY_S if name in failing else 0.0
                    wait_s, margin_s = peersync.MAX_WAIT_S, peersync.RESPONSE_TIMEOUT_S
                    max_age_s = None
                    if name == watched:
                        wait_s = heartbeat_wait(front.cfg.apply_s)
                        margin_s = HEARTBEAT_TIMEOUT_S
                        max_age_s = renewal_age(front.cfg.apply_s)
                    link = _link_to(front, entry)
                    limits = _PollLimits(pause_s, wait_s, margin_s, max_age_s)
                    poll = _poll_relay(front, following, link, ranks[name], limits)
                    pending[name] = asyncio.ensure_future(poll)
            await asyncio.wait(
                [overdue, restored, expired, *pending.values()],
                return_when=asyncio.FIRST_COMPLETED,
            )
            if overdue.done() or restored.done():
                return FollowingEnd.OVERDUE
            if expired.done():
                return FollowingEnd.UNPROVEN
            relay_failed = False
            for name in [name for name, task in pending.items() if task.done()]:
                if pending.pop(name).result():
                    failing.discard(name)
                elif name not in failing:
                    failing.add(name)
                    relay_failed = True
            if relay_failed:
                probe = _any_relay_responds(front, relays, failing)
                responds = await _result_before(probe, expired)
                if responds is None:
                    return FollowingEnd.UNPROVEN
                if not responds:
                    return FollowingEnd.RELAYS_FAILED
            is_waiting = following.announced.is_set()
            if watched in failing and len(failing) < len(order) and not is_waiting:
                watched = next(name for name in order if name not in failing)
                # Its long poll would hide its silence.
                if watched in pending:
                    pending.pop(watched).cancel()
            if front.view.revision != seen:
                seen = front.view.revision
                await asyncio.sleep(RELAY_PAUSE_S)
        return FollowingEnd.RELAYS_CHANGED
    finally:
        tasks = [overdue, restored, expired, *pending.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_overdue(front, following):
    """Returns once the transfer of an announced update lags too far behind."""
    while True:
        await following.announced.wait()
        lag_s = _lag(following)
        if front.view.revision >= following.revision:
            following.announced.clear()
        elif lag_s < ANNOUNCED_TIMEOUT_S:
            await asyncio.sleep(max(MIN_CHECK_S, ANNOUNCED_TIMEOUT_S - lag_s))
        else:
            break
    log_event(
        front.log,
        "update_overdue",
        revision=following.revision,
        before=front.view.revision,
        bytes=following.size,
        received=following.received,
        lag_ms=round(lag_s * 1000.0, 1),
    )


async def _wait_behind_era(front):
    """Returns once the relays have not sent the view of a restored store in time."""
    while True:
        while not is_behind_era(front.view):
            await front.view.changed.wait()
        await asyncio.sleep(ERA_WAIT_S)
        if is_behind_era(front.view):
            return


def _lag(following):
    """Returns how far a transfer lags behind the expected pace (s)."""
    done = min(1.0, following.received / following.size)
    return time.monotonic() - following.announced_at - PACE_S * done


async def _poll_relay(front, following, link, rank, limits):
    """Applies a relay's next update after a pause; returns whether it responded."""
    await asyncio.sleep(limits.pause_s)
    started = time.monotonic()
    try:
        update = await peersync.fetch_update(
            front,
            link,
            limits.wait_s,
            peersync.INLINE_BYTES,
            margin_s=limits.margin_s,
            max_age_s=limits.max_age_s,
        )
    except peerlink.PeerError as exc:
        _log_failure(front, link, exc)
        # When the own event loop was blocked, the response may have been there.
        limit_s = limits.wait_s + limits.margin_s + STALL_S
        return time.monotonic() - started > limit_s
    if update.announced_bytes:
        _record_announcement(front.view, following, update)
        if await _arrives_elsewhere(front.view, following, update.revision, rank):
            return True
        try:
            update = await _transfer(front, following, link)
        except peerlink.PeerError as exc:
            _log_failure(front, link, exc)
            return False
    peersync.apply_update(front, update, peerlink.link_name(link))
    return True


async def _transfer(front, following, link):
    received = 0

    def record_progress(size):
        nonlocal received
        received += size
        following.received = max(following.received, received)

    following.transfers += 1
    try:
        return await peersync.fetch_update(
            front, link, 0.0, on_progress=record_progress
        )
    finally:
        following.transfers -= 1


def _record_announcement(view, following, update):
    # While an announced update has not arrived, newer announcements do not restart the
    # clock.
    if following.revision <= view.revision or following.base != view.revision:
        following.base = view.revision
        following.announced_at = time.monotonic()
        following.received = 0
    if update.revision > following.revision:
        following.revision = update.revision
        following.size = update.announced_bytes
        following.announced.set()


async def _arrives_elsewhere(view, following, revision, rank):
    """Waits for an announced update until it is this relay's turn to send it.

    The turn comes when the relays before it, or one that already sends the update, lag
    behind the expected pace.

    Returns:
        Whether the update arrived meanwhile.
    """
    while view.revision < revision:
        turn_after_s = HEDGE_S * max(rank, min(following.transfers, 1))
        lag_s = _lag(following)
        if lag_s >= turn_after_s:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(MIN_CHECK_S, turn_after_s - lag_s)):
                await view.changed.wait()
    return True


async def _result_before(call, limit):
    """Returns the result of a coroutine, or None when a task ends before it."""
    task = asyncio.ensure_future(call)
    try:
        await asyncio.wait([task, limit], return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _any_relay_responds(front, relays, failing):
    """Returns whether a relay other than the failing ones responds at once.

    Notes:
        A long poll cannot distinguish a relay that is stuck from one without changes.
    """
    others = [entry for entry in relays if entry.instance_id not in failing]
    links = [peerlink.PeerLink((e.host, e.peer_port)) for e in others]
    try:
        return any(await asyncio.gather(*(_probe_relay(front, link) for link in links)))
    finally:
        for link in links:
            peerlink.close_link(link)


async def _probe_relay(front, link):
    try:
        await peersync.fetch_update(
            front,
            link,
            PROBE_WAIT_S,
            peersync.INLINE_BYTES,
            margin_s=HEARTBEAT_TIMEOUT_S,
            max_age_s=renewal_age(front.cfg.apply_s),
        )
    except peerlink.PeerError as exc:
        _log_failure(front, link, exc)
        return False
    return True


def _log_failure(front, link, exc):
    peer = peerlink.link_name(link)
    log_event(front.log, "peer_failed", peer=peer, cause=str(exc))


def _link_to(front, entry):
    """Returns the reusable PeerLink to an instance."""
    address = (entry.host, entry.peer_port)
    link = front.links.get(address)
    if link is None:
        link = front.links[address] = peerlink.PeerLink(address)
    return link
