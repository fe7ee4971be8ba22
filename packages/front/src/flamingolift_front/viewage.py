"""Records what proves how recent an instance's view is, and wakes who waits for it."""

import asyncio
import time

from flamingolift_decisions import freshness

__all__ = [
    "STALL_S",
    "note_applied",
    "note_claim",
    "note_position",
    "note_proof",
    "view_age_ms",
    "view_time",
    "wait_expired",
    "wait_silent",
]

MAX_AGE_S = 3600.0
"""Age from which a proof tells nothing (s)."""
STALL_S = 0.1
"""Lateness of a timer from which the own event loop was blocked (s)."""
MIN_PAUSE_S = 0.05
"""Shortest pause between two looks at the age of a view (s)."""


def view_time():
    """Returns the time of the clock for proofs (s).

    It also runs while the machine is suspended, unlike the monotonic clock of timers.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def note_proof(view, revision, as_of, now):
    """Records that the store was at a revision as of some moment.

    Args:
        view: View.
        revision: Position of the store.
        as_of: The moment (s, `view_time`).
        now: Current time (s, `view_time`).
    """
    freshness.record_proof(view.freshness, revision, as_of, now)
    _update_events(view)


def note_position(view, revision, as_of, now):
    """Records a revision that the store itself named.

    Args:
        view: View.
        revision: Position of the store.
        as_of: Latest moment before which the store may have answered (s, `view_time`).
        now: Current time (s, `view_time`).
    """
    freshness.record_position(view.freshness, revision, as_of, now)
    _update_events(view)


def note_claim(view, revision):
    """Records that another instance claims to have a revision.

    Args:
        view: View.
        revision: Position of the store.
    """
    freshness.record_claim(view.freshness, revision)
    _update_events(view)


def note_applied(view, now):
    """Records that the view has reached its current revision.

    Args:
        view: View.
        now: Current time (s, `view_time`).
    """
    freshness.advance(view.freshness, view.revision, now)
    _update_events(view)


def _update_events(view):
    fresh = view.freshness
    _set(view.behind, freshness.is_behind(fresh))
    _set(view.doubted, freshness.is_doubted(fresh))


def _set(event, value):
    if value:
        event.set()
    else:
        event.clear()


def view_age_ms(view):
    """Returns how old a view may be at most (ms); -1 when nothing proves it."""
    age_s = freshness.proof_age(view.freshness, view_time())
    return round(age_s * 1000.0, 1) if age_s < MAX_AGE_S else -1


async def wait_expired(front, is_busy):
    """Returns once the proof of the view is older than any source may leave it.

    Args:
        front: Front.
        is_busy: Function that returns whether an update is being transferred, which
            has a limit of its own.
    """
    fresh, apply_s = front.view.freshness, front.cfg.apply_s
    limit_s = freshness.expiry_age(apply_s)
    grace_s = 2.0 * freshness.heartbeat_wait(apply_s)
    expires_at = view_time() + limit_s
    while True:
        now = view_time()
        # After an update, a source has time for one more heartbeat.
        last = max(fresh.proven_at + limit_s, fresh.behind_since + grace_s)
        expires_at = max(expires_at, last)
        if is_busy():
            expires_at = max(expires_at, now + grace_s)
        if now >= expires_at:
            return
        # Short enough to notice when the event loop stands still for long: answers may
        # have arrived meanwhile.
        pause_s = max(MIN_PAUSE_S, min(expires_at - now, 0.5 * grace_s))
        await asyncio.sleep(pause_s)
        if view_time() > now + pause_s + STALL_S:
            expires_at = max(expires_at, view_time() + grace_s)


async def wait_silent(front):
    """Returns once a watch has delivered nothing of a change that is known to exist.

    Args:
        front: Front.
    """
    view = front.view
    limit_s = freshness.catch_up_time(front.cfg.apply_s)
    began = view_time()
    while True:
        await view.behind.wait()
        since = max(began, view.freshness.behind_since)
        left_s = since + limit_s - view_time()
        if left_s <= 0.0 and not front.store.is_receiving():
            return
        await asyncio.sleep(max(MIN_PAUSE_S, left_s))
