"""Calls before an instance knows its first view: a fleet that returns at once.

After a loss of power all instances start together, and callers connect while each of
them still reads its first view of the store. A request that is refused then takes its
caller's next try to another instance that knows no more.
"""

__all__ = ["first_lookup_wait", "first_request_wait"]

FIRST_VIEW_S = 1.5
"""Time after the start of an instance by which its first view is expected (s): from
the store, or from a peer when the store does not answer."""
MAX_WAIT_SHARE = 0.25
"""Part of its remaining time for which a request waits (ratio), so that most of it is
left for the work or for another instance."""
LOOKUP_WAIT_S = 0.7
"""Longest wait of a look-up (s), below the second after which callers ask another
instance."""


def first_request_wait(started_at, deadline, now):
    """Returns how long a request may wait for the first view (s); 0 for not at all.

    Args:
        started_at: Start of the instance (s, monotonic).
        deadline: Deadline of the request (s, monotonic).
        now: Current time (s, monotonic).

    Examples:
        >>> first_request_wait(started_at=10.0, deadline=14.5, now=10.5)
        1.0
        >>> first_request_wait(started_at=10.0, deadline=20.0, now=12.0)
        0.0
    """
    return _limited_wait(started_at, (deadline - now) * MAX_WAIT_SHARE, now)


def first_lookup_wait(started_at, now):
    """Returns how long a look-up may wait for the first view (s); 0 for not at all.

    Args:
        started_at: Start of the instance (s, monotonic).
        now: Current time (s, monotonic).
    """
    return _limited_wait(started_at, LOOKUP_WAIT_S, now)


def _limited_wait(started_at, longest_s, now):
    return max(0.0, min(started_at + FIRST_VIEW_S - now, longest_s))
