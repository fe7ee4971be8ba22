"""Number of the instances that share a rate or a budget of the whole fleet."""

import collections

__all__ = ["InstanceCount", "listed_share", "record_count", "sharing_instances"]

RECENT_COUNT_S = 15.0
"""Time for which instances still count after they left the list (s): one whose lease
has expired may be alive, and lists differ for seconds while leases expire together."""


class InstanceCount:
    """Counts of live instances within the last `RECENT_COUNT_S`.

    Attributes:
        recent: Deque of (time (s, monotonic), count) whose counts decrease: the first
            one is the largest.
        listed: Latest count.
    """

    __slots__ = ("listed", "recent")

    def __init__(self):
        self.recent = collections.deque()
        self.listed = 0


def record_count(state, count, now):
    """Records the number of listed live instances.

    Args:
        state: InstanceCount.
        count: Number of instances.
        now: Current time (s, monotonic).

    Examples:
        >>> state = InstanceCount()
        >>> record_count(state, 20, 0.0)
        >>> record_count(state, 5, 1.0)
        >>> sharing_instances(state, 2.0), listed_share(state, 2.0)
        (20, 0.25)
        >>> sharing_instances(state, 20.0)
        5
    """
    while state.recent and state.recent[-1][1] <= count:
        state.recent.pop()
    if state.listed > count:
        # The former count was valid until now.
        state.recent.append((now, state.listed))
    state.listed = count


def sharing_instances(state, now):
    """Returns the largest number of instances listed lately, at least 1.

    Args:
        state: InstanceCount.
        now: Current time (s, monotonic).
    """
    while state.recent and now - state.recent[0][0] > RECENT_COUNT_S:
        state.recent.popleft()
    lately = state.recent[0][1] if state.recent else 0
    return max(1, state.listed, lately)


def listed_share(state, now):
    """Returns the part of the instances known lately that are still listed (ratio).

    Args:
        state: InstanceCount.
        now: Current time (s, monotonic).
    """
    return max(1, state.listed) / sharing_instances(state, now)
