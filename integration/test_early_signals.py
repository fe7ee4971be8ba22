"""Signals that arrive while a front is being started."""

import asyncio
import os
import pathlib
import signal
import time

import pytest
from platformfleet import events, is_ready, send, start_front, wait_until

START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 15.0
MAX_WAIT_S = 3.0
"""Longest wait for the processor time of a process (s)."""
WORK_S = [0.07, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4]
"""Processor time of a process at which it gets a signal (s), which does not depend on
the machine's load. An interpreter that is still being started, which takes less than
the shortest of them, has no handlers yet; no program can change that."""


def work_of(process):
    """Returns the processor time that a process has used (s)."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def start_signalled(platform, number, work_s):
    """Starts a front and sends it a signal while it is being started."""
    front = await start_front(platform, "front-1")
    ends_at = time.monotonic() + MAX_WAIT_S
    while work_of(front.process) < work_s and time.monotonic() < ends_at:
        await asyncio.sleep(0.002)
    front.process.send_signal(number)
    return front


# Guards against an instance that a reload ends while it still imports its modules.
@pytest.mark.parametrize("work_s", WORK_S)
async def test_early_reload_does_not_end_a_front(platform, work_s):
    front = await start_signalled(platform, signal.SIGHUP, work_s)

    async def is_ready_or_gone():
        return front.process.returncode is not None or await is_ready(front)

    await wait_until(is_ready_or_gone, START_TIMEOUT_S)
    assert front.process.returncode is None
    await wait_until(lambda: events(front, "settings_reloaded"))
    assert (await send(front, "GET", "/read/a")).status == 200


# Guards against a planned stop that looks like a crash, or that an instance misses.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("work_s", WORK_S)
async def test_early_stop_ends_a_front_with_status_0(platform, number, work_s):
    front = await start_signalled(platform, number, work_s)
    assert await asyncio.wait_for(front.process.wait(), EXIT_TIMEOUT_S) == 0
