"""What an attempt does about holds: before its first send, and after a lost answer."""

import asyncio
import time

from expression import Error, Ok, Result
from flamingolift_decisions import quarantine

from flamingolift_front import crashtrials, crashwatch
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.timelimit import time_limit

__all__ = ["check_hold", "note_lost"]


async def check_hold(front, req, trace, deadline) -> Result:
    """Checks whether a request is held before its first send.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace, in which a trial is noted.
        deadline: Earlier of the caller's deadline and the route's timeout (s,
            monotonic), up to which other instances are asked for a trial.

    Returns:
        Error with a Fault for a request that is held, unless this is its trial; Ok
        with None otherwise.
    """
    hold = crashwatch.hold_of(front, req)
    if hold is None:
        return Ok(None)
    wait_s = hold.until - time.monotonic()
    if wait_s <= 0.0:
        wait_s = await _obtain_trial_before(front, req, hold, deadline)
    if wait_s > 0.0:
        return Error(crashwatch.held_fault(front, hold, wait_s))
    trace.is_trial = True
    return Ok(None)


async def _obtain_trial_before(front, req, hold, deadline):
    """Returns the time until the next trial (s); 0 when this one is granted in time."""
    try:
        async with time_limit(deadline):
            return await crashtrials.obtain_trial(front, req, hold)
    except TimeoutError:
        return quarantine.TRIAL_SPACING_S


async def note_lost(front, req, trace, entry):
    """Records a lost answer; waits for the verdict if the request may become held.

    The wait ends with the caller's deadline.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace of the request.
        entry: BackendEntry of the server that gave no answer.
    """
    probe = crashwatch.note_lost(front, req, entry)
    record, now = front.crashes.record, time.monotonic()
    is_suspect = quarantine.may_end_more(record, fingerprint_of(req), now)
    if probe is not None and (trace.is_trial or is_suspect):
        # An answer that broke off after its first bytes has no other time limit.
        left_s = max(0.0, req.deadline_at - time.monotonic())
        await asyncio.wait({probe}, timeout=left_s)
