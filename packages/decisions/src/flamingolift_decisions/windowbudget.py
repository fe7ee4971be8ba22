"""Retry budget of the whole fleet, which each instance enforces on its own.

Each instance counts its own requests and retries over a sliding window. It may
retry the fleet's ratio of its own requests, so that the sum over all instances
keeps the ratio. The fixed part, `extra`, is divided by the number of instances and
is not used within the first window after a start.
"""

import collections
import math

__all__ = [
    "WindowBudget",
    "allow_retry",
    "cancel_retry",
    "record_request",
    "record_retry",
]

RATIO_MARGIN = 0.8
"""Part of the fleet's ratio that is used. The rest allows for requests at the
edges of the window, which may be counted in different windows (ratio)."""
EXTRA_MARGIN = 0.7
"""Part of the fixed retries that is used. The rest allows for instances that know of
too few others (ratio)."""


class WindowBudget:
    """Counts of one service's requests and retries within the last window.

    Attributes:
        ratio: Retries allowed for each request (ratio).
        window_s: Length of the window (s).
        extra: Retries allowed in addition to the ratio, for the whole fleet.
        extra_from: Time from which the fixed part may be used (s, monotonic).
        requests: Deque of the times of requests (s, monotonic).
        retries: Deque of the times of retries (s, monotonic).
    """

    __slots__ = ("extra", "extra_from", "ratio", "requests", "retries", "window_s")

    def __init__(self, ratio, window_s, extra, started_at=-math.inf):
        self.ratio = ratio
        self.window_s = window_s
        self.extra = extra
        # An earlier process of this instance may have used its part of the current
        # window, and few of the other instances are known yet.
        self.extra_from = started_at + window_s
        self.requests = collections.deque()
        self.retries = collections.deque()


def _drop_older(times, oldest):
    while times and times[0] < oldest:
        times.popleft()


def record_request(budget, now):
    """Counts a caller's request.

    Args:
        budget: WindowBudget.
        now: Current time (s, monotonic).
    """
    _drop_older(budget.requests, now - budget.window_s)
    budget.requests.append(now)


def record_retry(budget, now):
    """Counts an attempt of a request after the first one.

    Args:
        budget: WindowBudget.
        now: Current time (s, monotonic).
    """
    budget.retries.append(now)


def cancel_retry(budget):
    """Takes back the retry recorded last, which reached no server.

    Args:
        budget: WindowBudget.
    """
    if budget.retries:
        budget.retries.pop()


def allow_retry(budget, instances, now):
    """Returns whether this instance may send one more retry now.

    Args:
        budget: WindowBudget.
        instances: Number of instances that share the fixed part.
        now: Current time (s, monotonic).

    Returns:
        True when its retries, this one included, stay within its part of the budget.

    Examples:
        >>> budget = WindowBudget(0.2, 10.0, 10)
        >>> allow_retry(budget, 100, 0.0)
        False
    """
    oldest = now - budget.window_s
    _drop_older(budget.requests, oldest)
    _drop_older(budget.retries, oldest)
    earned = budget.ratio * RATIO_MARGIN * len(budget.requests)
    fixed = 0.0
    if now >= budget.extra_from:
        fixed = budget.extra * EXTRA_MARGIN / max(1, instances)
    return len(budget.retries) + 1 <= math.floor(earned + fixed)
