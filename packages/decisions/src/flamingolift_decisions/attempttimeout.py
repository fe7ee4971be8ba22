"""Timeout of a single attempt, after which a request is retried on another server.

Only idempotent requests are given up and sent again. The timeout follows the
median time of a route's answers, so that in an overload, where all servers are
slow, instances wait longer instead of adding work.
"""

import math

from flamingolift_decisions.recenttimes import median_time

__all__ = ["attempt_timeout"]

TIMEOUT_RATIO = 4.0
"""Timeout relative to the median time (ratio): more than the work for an object that
the server has not cached, which is about three times that for a cached one."""


def attempt_timeout(times):
    """Returns the time after which an attempt is overdue (s).

    Args:
        times: RecentTimes of the route's answers.

    Returns:
        A multiple of the median time to an answer; infinite while that is not known.

    Notes:
        Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2),
        2013, send a second request once the first is slower than usual. Here the
        first one is cancelled, since servers stop work on a closed connection.

    Examples:
        >>> from flamingolift_decisions.recenttimes import RecentTimes, record_time
        >>> times = RecentTimes()
        >>> attempt_timeout(times)
        inf
        >>> for _ in range(8):
        ...     record_time(times, 0.25)
        >>> attempt_timeout(times)
        1.0
    """
    return TIMEOUT_RATIO * median_time(times) or math.inf
