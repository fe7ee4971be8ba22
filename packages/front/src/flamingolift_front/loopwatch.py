"""Measures how late the event loop runs its timers."""

import asyncio

from flamingolift_front.eventlog import log_event

__all__ = ["watch_loop"]

CHECK_INTERVAL_S = 0.5
"""Interval between the timers whose delay is measured (s)."""
STALL_S = 0.25
"""Delay from which a stall is logged (s)."""


async def watch_loop(front):
    """Records the delay of a timer and logs long ones, until it is cancelled.

    Args:
        front: Front.
    """
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        late_s = max(0.0, loop.time() - due)
        front.metrics.loop_delay.observe(late_s)
        if late_s >= STALL_S:
            log_event(front.log, "loop_stalled", late_ms=round(late_s * 1000.0, 1))
