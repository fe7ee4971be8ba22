"""Chooses the source of an instance's view: the store, relays or any peer.

In a large region a few relays watch the store and the others follow all of
them. Whoever misses all relays goes back to the store, and whoever misses the
store asks peers.
"""

import asyncio
import time

from flamingolift_decisions.relays import relays_to_follow
from flamingolift_model import FaultError

from flamingolift_front import peersync, viewsync
from flamingolift_front.eventlog import log_event

__all__ = ["follow_fleet", "follow_peers"]

WATCH_WAIT_S = 25.0
"""Longest time that one watch waits (s): below the store's limit of 30 s."""
WATCH_PAUSE_S = 0.8
"""Pause after changes (s), so that one call brings several of them; a third of
the shortest time in which a change must be in force."""
RELAY_PAUSE_S = 0.3
"""The same after news of a relay, which has itself paused (s)."""
RETRY_MIN_S = 0.2
"""First pause after a failed call (s)."""
RETRY_MAX_S = 1.0
"""Longest pause after failed calls (s), less than half of the shortest time in
which a change must be in force once the store is back."""
FOLLOWER_RETRY_MAX_S = 2.0
"""The same for an instance that has relays (s): they ask the store more often, and
peers that reach it are asked meanwhile."""
PROBE_WAIT_S = 0.01
"""Wait of a question that only shows whether a relay answers (s)."""
RELAY_RETRY_S = 1.0
"""Pause before a relay that failed is asked again (s)."""
DIRECT_S = 6.0
"""Time for which an instance watches the store itself after it missed all relays
(s): until dead ones have left the list of instances."""
CAUTIOUS_S = 3.0
"""Time after a failure in which watches are kept short (s): one that begins while
the store loses its history may hear of no change."""
CAUTIOUS_WAIT_S = 0.8
"""Longest wait of such a watch (s), a third of the shortest time in which a change
must be in force."""
PULL_AFTER_S = 0.6
"""Time without the store after which peers are asked (s): a few failed calls."""
PULL_INTERVAL_S = 0.8
"""Time between questions to peers (s): a third of the shortest time in which a
change must be in force."""


async def follow_fleet(front):
    """Keeps the view up to date until the task is cancelled.

    Args:
        front: Front.
    """
    pause = RETRY_MIN_S
    direct_until = cautious_until = 0.0
    while True:
        now = time.monotonic()
        relays = _relays(front) if now >= direct_until else []
        if relays and front.view.lost_at is None and front.view.revision is not None:
            if not await _follow_relays(front, relays):
                failed_at = time.monotonic()
                direct_until = failed_at + DIRECT_S
                cautious_until = failed_at + CAUTIOUS_S
            continue
        wait_s = WATCH_WAIT_S if now >= cautious_until else CAUTIOUS_WAIT_S
        try:
            changed = await viewsync.follow_store(front, wait_s)
        except FaultError:
            cautious_until = time.monotonic() + CAUTIOUS_S
            await asyncio.sleep(pause * front.rng.uniform(0.7, 1.3))
            longest = FOLLOWER_RETRY_MAX_S if _relays(front) else RETRY_MAX_S
            pause = min(longest, pause * 2.0)
            continue
        pause = RETRY_MIN_S
        if changed:
            await asyncio.sleep(WATCH_PAUSE_S)


def _relays(front):
    cfg = front.cfg
    entries = front.view.instances.values()
    return relays_to_follow(entries, cfg.region, cfg.instance_id)


async def _follow_relays(front, relays):
    """Follows relays for as long as they are the ones to follow.

    Returns:
        False when all of them fail, so that the store is to be asked.
    """
    names = [entry.instance_id for entry in relays]
    asking, failing = {}, set()
    try:
        while [entry.instance_id for entry in _relays(front)] == names:
            for entry in relays:
                name = entry.instance_id
                if name not in asking:
                    pause = RELAY_RETRY_S if name in failing else 0.0
                    question = _ask_relay(front, _link(front, entry), pause)
                    asking[name] = asyncio.ensure_future(question)
            await asyncio.wait(asking.values(), return_when=asyncio.FIRST_COMPLETED)
            missed = False
            for name in [name for name, task in asking.items() if task.done()]:
                if asking.pop(name).result():
                    failing.discard(name)
                elif name not in failing:
                    failing.add(name)
                    missed = True
            if missed and not await _hear_any(front, relays, failing):
                return False
            await asyncio.sleep(RELAY_PAUSE_S)
        return True
    finally:
        for task in asking.values():
            task.cancel()
        await asyncio.gather(*asking.values(), return_exceptions=True)


async def _hear_any(front, relays, failing):
    """Returns whether a relay beside the failing ones answers at once.

    Notes:
        One that stands still cannot be told from one without news otherwise.
    """
    others = [entry for entry in relays if entry.instance_id not in failing]
    links = [peersync.PeerLink((e.host, e.peer_port)) for e in others]
    questions = [_ask_relay(front, link, 0.0, PROBE_WAIT_S) for link in links]
    try:
        return any(await asyncio.gather(*questions))
    finally:
        for link in links:
            peersync.close_link(link)


async def _ask_relay(front, link, pause_s, wait_s=peersync.MAX_WAIT_S):
    """Takes over a relay's next news after a pause; returns whether it answered."""
    await asyncio.sleep(pause_s)
    try:
        news = await peersync.ask_peer(front, link, wait_s)
    except peersync.PeerError as exc:
        peer = f"{link.address[0]}:{link.address[1]}"
        log_event(front.log, "peer_failed", peer=peer, cause=str(exc))
        return False
    peersync.take_news(front, news, link.address)
    return True


def _link(front, entry):
    address = (entry.host, entry.peer_port)
    link = front.links.get(address)
    if link is None:
        link = front.links[address] = peersync.PeerLink(address)
    return link


async def follow_peers(front):
    """Asks peers for newer views whenever the store does not answer.

    Args:
        front: Front.
    """
    while True:
        await asyncio.sleep(PULL_INTERVAL_S * front.rng.uniform(0.8, 1.2))
        lost_at = front.view.lost_at
        if lost_at is None or time.monotonic() - lost_at < PULL_AFTER_S:
            continue
        address = _pick_peer(front)
        if address is not None:
            await _pull(front, address)


async def _pull(front, address):
    link = peersync.PeerLink(address)
    try:
        news = await peersync.ask_peer(front, link, 0.0)
        peersync.take_news(front, news, address)
    except peersync.PeerError as exc:
        peer = f"{address[0]}:{address[1]}"
        log_event(front.log, "peer_failed", peer=peer, cause=str(exc))
    finally:
        peersync.close_link(link)


def _pick_peer(front):
    """Returns the address of a peer to ask, or None."""
    own = front.cfg.instance_id
    known = [
        (entry.host, entry.peer_port)
        for entry in front.view.instances.values()
        if entry.instance_id != own
    ]
    if not known:
        for seed in front.cfg.peer_seeds:
            host, _, port = seed.rpartition(":")
            if port.isdigit() and host != front.cfg.host:
                known.append((host, int(port)))
    return front.rng.choice(known) if known else None
