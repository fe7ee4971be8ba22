"""Renews the proof of how recent the view is.

The instances of a region that watch the store share the calls that this takes: the
first of them asks the first of all regions, the others ask it, and each asks the store
itself when it gets no proof that way.
"""

import asyncio
import contextlib
import time

from flamingolift_decisions import freshness
from flamingolift_decisions.relays import proof_source
from flamingolift_model import FaultError

from flamingolift_front import peerlink, peersync
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.eventlog import log_event
from flamingolift_front.viewage import note_position, view_age_ms, view_time

__all__ = ["RELAY_GRACE_S", "keep_proven", "renew_proof"]

RELAY_GRACE_S = 0.6
"""Time for which an instance that lost the store keeps the peers that wait for its
updates (s): a watch that was cut is repeated and the view read within that time. All
relays lose their watches at once when the store does, and all followers of a region
would read the store instead."""
CHECK_ATTEMPTS = 2
"""Attempts to read the store's revision; the second one is on a new connection."""


async def keep_proven(front):
    """Renews the proof of a view that does not come from relays, until cancelled.

    Args:
        front: Front.
    """
    view = front.view
    while True:
        apply_s = front.cfg.apply_s
        # What another instance claims to have usually arrives within this time.
        margin_s = freshness.catch_up_time(apply_s)
        await asyncio.sleep(margin_s)
        now = view_time()
        is_due = freshness.is_due(view.freshness, apply_s, now)
        if is_due and not view.follows and view.revision is not None:
            await _join_renewal(front)
            continue
        pause_s = freshness.renewal_age(apply_s) - margin_s
        if not view.follows:
            pause_s -= freshness.proof_age(view.freshness, now)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, pause_s)):
                await view.doubted.wait()


async def renew_proof(front, max_age_s):
    """Renews the proof when it is too old.

    Args:
        front: Front.
        max_age_s: Largest age that will do (s).

    Returns:
        Whether the view is proven not to be older.
    """
    view = front.view
    if not _is_older(view, max_age_s):
        return True
    timeout_s = freshness.check_timeout(front.cfg.apply_s)
    if view_time() - view.unproven_at < timeout_s:
        return False
    await _join_renewal(front)
    if view.behind.is_set():
        # The watch that delivers what is missing has usually answered already.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while view.behind.is_set():
                    await view.changed.wait()
    # A proof of another instance was as old as allowed when it was sent.
    return not _is_older(view, max_age_s + timeout_s)


def _is_older(view, max_age_s):
    return freshness.proof_age(view.freshness, view_time()) > max_age_s


async def _join_renewal(front):
    """Waits for the renewal in progress, or starts one."""
    view = front.view
    if view.proof_task is None:
        view.proof_task = start_task(front, _renew(front))
    await asyncio.shield(view.proof_task)


async def _renew(front):
    try:
        if not await _ask_source(front) and not await _ask_store(front):
            front.view.unproven_at = view_time()
    finally:
        front.view.proof_task = None


async def _ask_source(front):
    """Asks the instance that renews proofs for this one; returns whether it did."""
    cfg, view = front.cfg, front.view
    source = proof_source(view.instances.values(), cfg.region, cfg.instance_id)
    if source is None:
        return False
    link = _link_to(front, source)
    max_age_s = freshness.renewal_age(cfg.apply_s)
    try:
        update = await peersync.fetch_update(
            front,
            link,
            0.0,
            peersync.INLINE_BYTES,
            margin_s=freshness.check_timeout(cfg.apply_s),
            max_age_s=max_age_s,
        )
    except peerlink.PeerError as exc:
        log_event(
            front.log, "peer_failed", peer=peerlink.link_name(link), cause=str(exc)
        )
        return False
    if not update.announced_bytes:
        peersync.apply_update(front, update, peerlink.link_name(link))
    # What another instance claims to have is for the store to confirm.
    return not view.doubted.is_set() and update.proof_age_s is not None


def _link_to(front, source):
    """Returns the PeerLink for renewals, after closing one to another instance."""
    address, link = (source.host, source.peer_port), front.proof_link
    if link is None or link.address != address:
        if link is not None:
            peerlink.close_link(link)
        link = front.proof_link = peerlink.PeerLink(address)
    return link


async def _ask_store(front):
    """Reads the store's revision; returns whether the store answered.

    While the store fails for long, it is probed by the watch and the lease alone.
    """
    failed_at = front.view.store_failed_at
    if failed_at is not None and time.monotonic() - failed_at >= RELAY_GRACE_S:
        return False
    timeout_s = freshness.check_timeout(front.cfg.apply_s)
    for _attempt in range(CHECK_ATTEMPTS):
        sent_at = view_time()
        try:
            position = await front.store.read_position(timeout_s)
        except FaultError as exc:
            front.metrics.store_calls.labels("position", "failed").inc()
            cause = exc.fault.detail
            continue
        front.metrics.store_calls.labels("position", "ok").inc()
        note_position(front.view, position, sent_at, view_time())
        return True
    log_event(front.log, "view_unproven", cause=cause, age_ms=view_age_ms(front.view))
    return False
