"""Retry budget of a whole fleet, kept by each instance without communication.

Each instance counts its own requests and retries over a sliding window. The
share of its own requests that it may repeat is the fleet's ratio, so the sum
over all instances keeps the ratio; the fixed part is divided by the number of
instances and is not used within the first window after a start.
"""

import collections
import math

__all__ = ["WindowBudget", "allow_retry", "record_request", "record_retry"]

RATIO_MARGIN = 0.8
"""Part of the fleet's ratio that is used; the rest covers requests that are
counted at another edge of the window (ratio)."""
EXTRA_MARGIN = 0.7
"""Part of the fixed retries that is used; the rest covers an instance that
counts too few others (ratio)."""


class WindowBudget:
    """Requests and retries of one service within the last window.

    Attributes:
        ratio: Retries allowed for each request (ratio).
        window_s: Length of the window (s).
        extra: Retries allowed beside the ratio, over the whole fleet.
        extra_from: Time from which the fixed part may be used (s, monotonic).
        requests: Deque of the times of requests (s, monotonic).
        retries: Deque of the times of retries (s, monotonic).
    """

    __slots__ = ("extra", "extra_from", "ratio", "requests", "retries", "window_s")

    def __init__(self, ratio, window_s, extra, started_at=-math.inf):
        self.ratio = ratio
        self.window_s = window_s
        self.extra = extra
        # An earlier process of the instance may have used the part of this window,
        # and few of the other instances are known yet.
        self.extra_from = started_at + window_s
        self.requests = collections.deque()
        self.retries = collections.deque()


def _expire(times, oldest):
    while times and times[0] < oldest:
        times.popleft()


def record_request(budget, now):
    """Counts a caller's request.

    Args:
        budget: WindowBudget.
        now: Current time (s, monotonic).
    """
    _expire(budget.requests, now - budget.window_s)
    budget.requests.append(now)


def record_retry(budget, now):
    """Counts a send beyond the first one of a request.

    Args:
        budget: WindowBudget.
        now: Current time (s, monotonic).
    """
    budget.retries.append(now)


def allow_retry(budget, instances, now):
    """Returns whether one more retry stays within the budget.

    Args:
        budget: WindowBudget.
        instances: Number of instances that share the fixed part.
        now: Current time (s, monotonic).

    Returns:
        True when this instance's retries stay within its part.

    Examples:
        >>> budget = WindowBudget(0.2, 10.0, 10)
        >>> allow_retry(budget, 100, 0.0)
        False
    """
    oldest = now - budget.window_s
    _expire(budget.requests, oldest)
    _expire(budget.retries, oldest)
    earned = budget.ratio * RATIO_MARGIN * len(budget.requests)
    fixed = 0.0
    if now >= budget.extra_from:
        fixed = budget.extra * EXTRA_MARGIN / max(1, instances)
    return len(budget.retries) + 1 <= math.floor(earned + fixed)
