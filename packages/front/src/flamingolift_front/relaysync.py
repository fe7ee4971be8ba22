"""Follows the relays of a region: long polls, announcements and one transfer at a time.

Every relay reports a change at once. A large one is only announced, and each follower
transfers it from one relay; the order in which it asks them is its own, so that the
followers share out the relays' links. The next relay is asked when a transfer makes no
progress, and in the end the store.
"""

import asyncio
import contextlib
import time

from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_decisions.relays import relays_to_follow

from flamingolift_front import peersync
from flamingolift_front.eventlog import log_event

__all__ = ["current_relays", "follow_relays"]

RELAY_PAUSE_S = 0.3
"""Pause after a relay's response (s), which collects changes; shorter than that after a
watch, because the relay has paused too."""
RELAY_RETRY_S = 1.0
"""Pause before a relay that failed is polled again (s)."""
PROBE_WAIT_S = 0.01
"""Wait of a request that only probes whether a relay responds (s)."""
INLINE_BYTES = 8192
"""Size of the changes from which a relay only announces them (bytes): smaller ones take
less time than a second request."""
HEDGE_S = 0.5
"""Time without progress of a transfer after which a follower asks the next relay for
the update (s): the followers of a relay share its link, and their first bytes wait."""
ANNOUNCED_TIMEOUT_S = 1.4
"""Time without progress after which an announced update is read from the store (s); by
then all relays were asked."""


class Following:
    """State of following one set of relays.

    Attributes:
        revision: Highest announced revision.
        progress_at: Time of the last announcement of a higher revision, or of the last
            bytes of a transfer (s, monotonic).
        announced: Event that is set while an announced revision has not arrived.
        transfers: Number of transfers in progress.
    """

    __slots__ = ("announced", "progress_at", "revision", "transfers")

    def __init__(self):
        self.revision = -1
        self.progress_at = 0.0
        self.announced = asyncio.Event()
        self.transfers = 0


def current_relays(front):
    """Returns the InstanceEntry objects of the relays that an instance follows now.

    Args:
        front: Front.
    """
    cfg = front.cfg
    entries = front.view.instances.values()
    return relays_to_follow(entries, cfg.region, cfg.instance_id)


async def follow_relays(front, relays):
    """Follows the relays until their set changes or they fail to deliver.

    Args:
        front: Front.
        relays: List of InstanceEntry.

    Returns:
        True when the set of relays changed; False when all relays failed or an
        announced update did not arrive, so that the store must be watched directly.
    """
    names = [entry.instance_id for entry in relays]
    ranks = {n: r for r, n in enumerate(rendezvous_order(front.cfg.instance_id, names))}
    following = Following()
    overdue = asyncio.ensure_future(_wait_overdue(front, following))
    pending, failing = {}, set()
    try:
        while [entry.instance_id for entry in current_relays(front)] == names:
            for entry in relays:
                name = entry.instance_id
                if name not in pending:
                    pause = RELAY_RETRY_S if name in failing else 0.0
                    link = _link_to(front, entry)
                    poll = _poll_relay(front, following, link, ranks[name], pause)
                    pending[name] = asyncio.ensure_future(poll)
            await asyncio.wait(
                [overdue, *pending.values()], return_when=asyncio.FIRST_COMPLETED
            )
            if overdue.done():
                return False
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
        tasks = [overdue, *pending.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_overdue(front, following):
    """Returns once no relay makes progress with an announced update."""
    while True:
        await following.announced.wait()
        idle_s = time.monotonic() - following.progress_at
        if front.view.revision >= following.revision:
            following.announced.clear()
        elif idle_s < ANNOUNCED_TIMEOUT_S:
            await asyncio.sleep(ANNOUNCED_TIMEOUT_S - idle_s)
        else:
            break
    log_event(
        front.log,
        "update_overdue",
        revision=following.revision,
        before=front.view.revision,
        idle_ms=round(idle_s * 1000.0, 1),
    )


async def _poll_relay(front, following, link, rank, pause_s):
    """Applies a relay's next update after a pause; returns whether it responded."""
    await asyncio.sleep(pause_s)
    try:
        update = await peersync.fetch_update(
            front, link, peersync.MAX_WAIT_S, INLINE_BYTES
        )
        if update.announced_bytes:
            _record_announcement(following, update.revision)
            if await _arrives_elsewhere(front.view, following, update.revision, rank):
                return True
            update = await _transfer(front, following, link)
    except peersync.PeerError as exc:
        _log_failure(front, link, exc)
        return False
    peersync.apply_update(front, update, peersync.link_name(link))
    return True


async def _transfer(front, following, link):
    following.transfers += 1
    try:
        return await peersync.fetch_update(
            front, link, 0.0, on_progress=lambda: _record_progress(following)
        )
    finally:
        following.transfers -= 1


def _record_announcement(following, revision):
    if revision > following.revision:
        following.revision = revision
        _record_progress(following)
        following.announced.set()


def _record_progress(following):
    following.progress_at = time.monotonic()


async def _arrives_elsewhere(view, following, revision, rank):
    """Waits for an announced update until it is this relay's turn to send it.

    The turn comes when the relays before it, or one that already sends the update, made
    no progress for some time.

    Returns:
        Whether the update arrived meanwhile.
    """
    while view.revision < revision:
        turn_after_s = HEDGE_S * max(rank, min(following.transfers, 1))
        idle_s = time.monotonic() - following.progress_at
        if idle_s >= turn_after_s:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(turn_after_s - idle_s):
                await view.changed.wait()
    return True


async def _any_relay_responds(front, relays, failing):
    """Returns whether a relay other than the failing ones responds at once.

    Notes:
        A long poll cannot distinguish a relay that is stuck from one without changes.
    """
    others = [entry for entry in relays if entry.instance_id not in failing]
    links = [peersync.PeerLink((e.host, e.peer_port)) for e in others]
    try:
        return any(await asyncio.gather(*(_probe_relay(front, link) for link in links)))
    finally:
        for link in links:
            peersync.close_link(link)


async def _probe_relay(front, link):
    try:
        await peersync.fetch_update(front, link, PROBE_WAIT_S, INLINE_BYTES)
    except peersync.PeerError as exc:
        _log_failure(front, link, exc)
        return False
    return True


def _log_failure(front, link, exc):
    peer = peersync.link_name(link)
    log_event(front.log, "peer_failed", peer=peer, cause=str(exc))


def _link_to(front, entry):
    """Returns the reusable PeerLink to an instance."""
    address = (entry.host, entry.peer_port)
    link = front.links.get(address)
    if link is None:
        link = front.links[address] = peersync.PeerLink(address)
    return link
