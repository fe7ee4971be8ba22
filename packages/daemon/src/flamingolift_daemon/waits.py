"""Waits within callers' requests: bounded, and ended early by a stop."""

import asyncio
import contextlib

__all__ = ["WaitGroup", "bounded_wait", "end_waits"]


class WaitGroup:
    """Waits that end together when an instance runs out of time to stop.

    Attributes:
        timers: Set of the asyncio.Timeout of each wait in progress.
        ended: Whether the waits have ended, and new ones end at once.
    """

    __slots__ = ("ended", "timers")

    def __init__(self):
        self.timers = set()
        self.ended = False


@contextlib.asynccontextmanager
async def bounded_wait(group, timeout_s):
    """Bounds what is awaited in it.

    Args:
        group: WaitGroup that the wait belongs to.
        timeout_s: Longest wait (s); None for a wait that has a bound of its own.

    Raises:
        TimeoutError: The time has passed, or the waits of the group have ended.
    """
    async with asyncio.timeout(0.0 if group.ended else timeout_s) as timer:
        group.timers.add(timer)
        try:
            yield
        finally:
            group.timers.discard(timer)


def end_waits(group):
    """Ends the waits of a group.

    Args:
        group: WaitGroup.
    """
    group.ended = True
    now = asyncio.get_running_loop().time()
    for timer in group.timers:
        if not timer.expired():
            timer.reschedule(now)
