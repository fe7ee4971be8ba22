"""What an attempt does about holds: before its first send, and after a lost answer."""

import asyncio
import time

from expression import Error, Ok, Result
from flamingolift_decisions import quarantine

from flamingolift_front import crashtrials, crashwatch
from flamingolift_front.fingerprints import fingerprint_of

__all__ = ["check_hold", "note_lost"]


async def check_hold(front, req, trace) -> Result:
    """Checks whether a request is held before its first send.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace, in which a trial is noted.

    Returns:
        Error with a Fault for a request that is held, unless this is its trial; Ok
        with None otherwise.
    """
    hold = crashwatch.hold_of(front, req)
    if hold is None:
        return Ok(None)
    wait_s = hold.until - time.monotonic()
    if wait_s <= 0.0:
        wait_s = await crashtrials.obtain_trial(front, req, hold)
    if wait_s > 0.0:
        return Error(crashwatch.held_fault(front, hold, wait_s))
    trace.is_trial = True
    return Ok(None)


async def note_lost(front, req, trace, entry):
    """Records a lost answer; waits for the verdict if the request may become held.

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
        await asyncio.wait({probe})
