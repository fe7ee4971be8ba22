"""Last times of something that is measured again and again, and their median."""

import collections
import statistics

__all__ = ["RecentTimes", "median_time", "record_time"]

MAX_TIMES = 31
"""Number of latest times that are kept; odd, so that the median is one of them."""
MIN_TIMES = 8
"""Smallest number of times from which a median is calculated."""


class RecentTimes:
    """The last times.

    Attributes:
        recent: Deque of the times (s).
    """

    __slots__ = ("recent",)

    def __init__(self):
        self.recent = collections.deque(maxlen=MAX_TIMES)


def record_time(times, elapsed_s):
    """Records a time.

    Args:
        times: RecentTimes.
        elapsed_s: The time (s).
    """
    times.recent.append(elapsed_s)


def median_time(times):
    """Returns the median (s); 0 below `MIN_TIMES` times.

    Args:
        times: RecentTimes.
    """
    if len(times.recent) < MIN_TIMES:
        return 0.0
    return statistics.median(times.recent)
