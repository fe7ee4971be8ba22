"""Timeout of a single attempt, after which a request is retried on another server.

Only idempotent requests are retried. The timeout is a multiple of the median time
to an answer of the route, so that in an overload, where all servers are slow, it
grows and retries do not add work.
"""

import collections
import math
import statistics

__all__ = ["AnswerTimes", "attempt_timeout", "median_answer_time", "record_answer_time"]

RECENT_ANSWERS = 31
"""Number of answers that the median is taken of; odd, so that the median is one of
their times."""
MIN_ANSWERS = 8
"""Number of answers from which the median counts as known."""
TIMEOUT_RATIO = 4.0
"""Timeout of an attempt relative to the median time (ratio). It exceeds the work for
an object that the server has not cached, which is about three times the work for
a cached one."""


class AnswerTimes:
    """Times to an answer of a route's most recent requests.

    Attributes:
        recent: Deque of the most recent times to an answer (s).
    """

    __slots__ = ("recent",)

    def __init__(self):
        self.recent = collections.deque(maxlen=RECENT_ANSWERS)


def record_answer_time(times, elapsed_s):
    """Records the time to an answer.

    Args:
        times: AnswerTimes.
        elapsed_s: Time from sending the attempt to its answer (s).
    """
    times.recent.append(elapsed_s)


def median_answer_time(times):
    """Returns the median time to an answer (s); 0 while few answers are known.

    Args:
        times: AnswerTimes.
    """
    if len(times.recent) < MIN_ANSWERS:
        return 0.0
    return statistics.median(times.recent)


def attempt_timeout(times):
    """Returns the time after which an attempt is overdue (s).

    Args:
        times: AnswerTimes.

    Returns:
        A multiple of the median time to an answer; infinite while that is not known.

    Notes:
        Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2),
        2013, hedge: they send a second request once the first is slower than
        expected. Here the first attempt is cancelled instead, since servers stop
        work on a closed connection.

    Examples:
        >>> times = AnswerTimes()
        >>> attempt_timeout(times)
        inf
        >>> for _ in range(8):
        ...     record_answer_time(times, 0.25)
        >>> attempt_timeout(times)
        1.0
    """
    return TIMEOUT_RATIO * median_answer_time(times) or math.inf
