"""Time limits that do not end a wait for what has already arrived."""

import asyncio
import contextlib

__all__ = ["time_limit"]

CATCH_UP_S = 0.01
"""Time between a timer and the end of its block (s). A turn of the event loop takes
bytes from the sockets and then runs the timers that are due; the tasks that wait for
the bytes run in the next turns."""


@contextlib.asynccontextmanager
async def time_limit(ends_at):
    """Limits the time of a block, and lets it take what has arrived by the end.

    Args:
        ends_at: End of the block (s, monotonic).

    Raises:
        TimeoutError: The block did not end in time. When the event loop was blocked
            beyond the end, the block is first given `CATCH_UP_S` to go on.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timer:

        def end():
            timer.reschedule(loop.time() + CATCH_UP_S)

        handle = loop.call_at(ends_at, end)
        try:
            yield
        finally:
            handle.cancel()
