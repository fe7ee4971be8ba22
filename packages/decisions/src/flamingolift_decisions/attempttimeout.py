"""Timeout of a single attempt, after which a request is retried on another server.

Only idempotent requests are given up and sent again. The timeout follows the
median time of a route's answers, so that in an overload, where all servers are
slow, instances wait longer instead of adding work.
"""

import collections
import math
import statistics

__all__ = ["AnswerTimes", "attempt_timeout", "median_answer_time", "record_answer_time"]

RECENT_ANSWERS = 31
"""Number of latest answers in the median; odd, so that the median is one of them."""
MIN_ANSWERS = 8
"""Smallest number of answers from which the median is calculated."""
TIMEOUT_RATIO = 4.0
"""Timeout relative to the median time (ratio): more than the work for an object that
the server has not cached, which is about three times that for a cached one."""


class AnswerTimes:
    """Times of a route's last answers.

    Attributes:
        recent: Deque of the last times to an answer (s).
    """

    __slots__ = ("recent",)

    def __init__(self):
        self.recent = collections.deque(maxlen=RECENT_ANSWERS)


def record_answer_time(times, elapsed_s):
    """Records the time to an answer.

    Args:
        times: AnswerTimes.
        elapsed_s: Time from the send to the answer (s).
    """
    times.recent.append(elapsed_s)


def median_answer_time(times):
    """Returns the median time to an answer (s); 0 below `MIN_ANSWERS` answers.

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
        2013, send a second request once the first is slower than usual. Here the
        first one is cancelled, since servers stop work on a closed connection.

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
