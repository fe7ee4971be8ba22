"""Follows the relays of a region: long polls, announcements and one transfer at a time.

Every relay reports a change at once. A large one is only announced, and each follower
transfers it from one relay; the order in which it asks them is its own, so that the
followers share out the relays' links. The next relay is asked when the transfer takes
too long, and in the end the store.
"""

import asyncio
import time

from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_decisions.relays import relays_to_follow

from flamingolift_front import peersync
from flamingolift_front.eventlog import log_event
from flamingolift_front.state import Announcement

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
HEDGE_S = 0.3
"""Time after which a follower asks the next relay for an announced update (s), beyond
the time that its transfer takes."""
HEDGE_BYTES_PER_S = 250_000
"""Transfer rate that a follower expects of a relay (bytes/s): a link of 10 Mbit/s on
which five followers are served at once."""
ANNOUNCED_TIMEOUT_S = 1.2
"""Time after which an announced update is read from the store instead (s); half of the
shortest time in which a change must be in force."""


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
    pending, failing = {}, set()
    try:
        while [entry.instance_id for entry in current_relays(front)] == names:
            for entry in relays:
                name = entry.instance_id
                if name not in pending:
                    pause = RELAY_RETRY_S if name in failing else 0.0
                    link = _link_to(front, entry)
                    poll = _poll_relay(front, link, ranks[name], pause)
                    pending[name] = asyncio.ensure_future(poll)
            await _wait_for_poll(front, pending)
            if _is_overdue(front):
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
        for task in pending.values():
            task.cancel()
        await asyncio.gather(*pending.values(), return_exceptions=True)


async def _wait_for_poll(front, pending):
    """Waits until a poll is done or the announced update is overdue."""
    timeout_s = None
    announcement = _open_announcement(front.view)
    if announcement is not None:
        timeout_s = announcement.at + ANNOUNCED_TIMEOUT_S - time.monotonic()
        timeout_s = max(0.0, timeout_s)
    tasks = pending.values()
    await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)


def _open_announcement(view):
    """Returns the Announcement whose update has not arrived, or None."""
    announcement = view.announcement
    if announcement is None or view.revision >= announcement.revision:
        return None
    return announcement


def _is_overdue(front):
    """Returns whether an announced update is overdue; the announcement then ends."""
    announcement = _open_announcement(front.view)
    if announcement is None:
        return False
    waited_s = time.monotonic() - announcement.at
    if waited_s < ANNOUNCED_TIMEOUT_S:
        return False
    front.view.announcement = None
    log_event(
        front.log,
        "update_overdue",
        revision=announcement.revision,
        before=front.view.revision,
        waited_ms=round(waited_s * 1000.0, 1),
    )
    return True


async def _poll_relay(front, link, rank, pause_s):
    """Applies a relay's next update after a pause; returns whether it responded."""
    await asyncio.sleep(pause_s)
    try:
        update = await peersync.fetch_update(
            front, link, peersync.MAX_WAIT_S, INLINE_BYTES
        )
        if update.announced_bytes:
            if await _arrives_elsewhere(front.view, update, rank):
                return True
            update = await peersync.fetch_update(front, link, 0.0)
    except peersync.PeerError as exc:
        _log_failure(front, link, exc)
        return False
    peersync.apply_update(front, update, peersync.link_name(link))
    return True


async def _arrives_elsewhere(view, update, rank):
    """Waits for an announced update until it is this relay's turn to send it.

    Returns:
        Whether the update arrived meanwhile.
    """
    if _open_announcement(view) is None:
        view.announcement = Announcement(update.revision, time.monotonic())
    delay_s = rank * (HEDGE_S + update.announced_bytes / HEDGE_BYTES_PER_S)
    try:
        async with asyncio.timeout(delay_s):
            while view.revision < update.revision:
                await view.changed.wait()
    except TimeoutError:
        return False
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
