"""The clocks of the process."""

import time

__all__ = ["Clock"]


class Clock:
    """Monotonic time, and a wall clock that never runs backwards.

    The wall clock is read once at the start and then derived from the monotonic clock,
    so that a step of the system clock neither revives nor expires records.

    Attributes:
        offset: Wall clock minus monotonic clock at the start (s).
    """

    __slots__ = ("offset",)

    def __init__(self):
        self.offset = time.time() - time.monotonic()

    def now(self):
        """Returns monotonic time (s)."""
        return time.monotonic()

    def wall(self):
        """Returns wall time (s since the epoch)."""
        return time.monotonic() + self.offset
