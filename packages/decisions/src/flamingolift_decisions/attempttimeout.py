"""How long an instance waits for a server before it asks another one.

Only requests that may run more than once are sent again. The wait follows the
usual time of a route's answers, so that in an overload, where all servers are
slow, instances become more patient instead of adding work.
"""

import collections
import math
import statistics

__all__ = ["AnswerTimes", "attempt_timeout", "median_answer_time", "record_answer_time"]

RECENT_ANSWERS = 31
"""Answers of which the median is taken; odd, so that it is one of them."""
FEWEST_ANSWERS = 8
"""Answers below which no usual time is known."""
PATIENCE_RATIO = 4.0
"""Wait relative to the usual time (ratio): more than the work for an object that
the server does not hold, which is about three times that for one that it holds."""


class AnswerTimes:
    """Times of a route's last answers.

    Attributes:
        recent: Deque of the last times to an answer (s).
    """

    __slots__ = ("recent",)

    def __init__(self):
        self.recent = collections.deque(maxlen=RECENT_ANSWERS)


def record_answer_time(times, elapsed_s):
    """Learns the time to an answer.

    Args:
        times: AnswerTimes.
        elapsed_s: Time from the send to the answer (s).
    """
    times.recent.append(elapsed_s)


def median_answer_time(times):
    """Returns the median time to an answer (s); 0 while few answers are known.

    Args:
        times: AnswerTimes.
    """
    if len(times.recent) < FEWEST_ANSWERS:
        return 0.0
    return statistics.median(times.recent)


def attempt_timeout(times):
    """Returns the time after which a send is overdue (s).

    Args:
        times: AnswerTimes.

    Returns:
        A multiple of the usual time; infinite while that is not known.

    Notes:
        Dean and Barroso, "The Tail at Scale", Communications of the ACM 56(2),
        2013, send a second request once the first is slower than usual. Here the
        first one is given up, since servers stop work on a closed connection.

    Examples:
        >>> times = AnswerTimes()
        >>> attempt_timeout(times)
        inf
        >>> for _ in range(8):
        ...     record_answer_time(times, 0.25)
        >>> attempt_timeout(times)
        1.0
    """
    return PATIENCE_RATIO * median_answer_time(times) or math.inf
