"""Refusals of requests that did not run, with a pause for the caller."""

from flamingolift_model import Fault, ResultCode

__all__ = ["quiet_fault", "retryable_fault"]

RETRY_AFTER_S = (0.2, 0.6)
"""Range of the Retry-After time of a rejected request (s). The time is drawn at
random so that callers rejected together do not retry at the same moment."""
CALLER_PAUSE_SHARE = 1.0 / 3.0
"""Part of its remaining time for which a caller waits at most (ratio)."""


def retryable_fault(front, code, detail):
    """Returns the Fault of a request that did not run, with a random pause.

    Args:
        front: Front.
        code: ResultCode.
        detail: Sentence about the cause.
    """
    pause_ms = front.rng.uniform(*RETRY_AFTER_S) * 1000.0
    return Fault(code, detail, retry_after_ms=pause_ms)


def quiet_fault(front, quiet_s, remaining_s):
    """Returns the Fault of a request whose service has only servers that want quiet.

    Args:
        front: Front.
        quiet_s: Time until the first of them may be used (s).
        remaining_s: Time until the request's deadline (s).

    Notes:
        Callers come back when the first of them may be used, spread over a range,
        unless that is later than they can wait.
    """
    shortest, longest = RETRY_AFTER_S
    latest = max(longest, remaining_s * CALLER_PAUSE_SHARE)
    spread = longest - shortest
    first = max(shortest, min(quiet_s, latest - spread))
    pause_s = front.rng.uniform(first, first + spread)
    detail = f"all servers that are left asked for quiet, for {quiet_s:.2f} s or more"
    return Fault(ResultCode.NO_BACKEND, detail, retry_after_ms=pause_s * 1000.0)
