"""Traffic shifts stay under their cap if planners stall and responses are lost."""

import asyncio
import signal
import time

import pytest
from flamingolift_decisions.shifts import largest_move
from flamingolift_standins.commands import apply_policy
from flamingolift_standins.fleet import operator_get, wait_until
from flamingolift_standins.fleetcontrol import set_store_faults
from helpers import RAIL_POLICY

pytestmark = pytest.mark.asyncio(loop_scope="module")

CAP = 0.2
WINDOW_S = 4.0
POLICY = RAIL_POLICY.replace("cap = 0.10", f"cap = {CAP}").replace(
    "window_s = 60.0", f"window_s = {WINDOW_S}"
)
MOVE_EXCEPTION = """
[[exceptions]]
name = "move-east"
reason = "The operator moves the timetable callers to one place for a test."
match = {{ service = "timetable" }}
change = {{ weights = {{ {weights} }} }}
"""
FLEET_OPTIONS = {"plan_interval_s": 0.5, "lease_ttl_s": 1.0}
SAMPLE_LAG_S = 0.3
"""Time by which a sample may lag behind the instance's own clock (s)."""


async def sample_rows(fleet, inst):
    page = await operator_get(fleet, inst, "/v1/rows")
    return time.monotonic(), page["rows"]


class Recorder:
    """Samples of the routing rows that each instance had in force.

    Attributes:
        samples: Map of instance name to its list of (time, rows).
    """

    __slots__ = ("samples",)

    def __init__(self, fleet):
        self.samples = {name: [] for name in fleet.instances}


async def record(fleet, recorder, stop, suspended):
    while not stop.is_set():
        for name, inst in fleet.instances.items():
            if name not in suspended:
                recorder.samples[name].append(await sample_rows(fleet, inst))
        await asyncio.sleep(0.1)


def largest_shift(samples):
    """Returns the largest share moved between two samples within one window."""
    largest = 0.0
    for index, (at, rows) in enumerate(samples):
        for later_at, later in samples[index + 1 :: 3]:
            if later_at - at > WINDOW_S - SAMPLE_LAG_S:
                break
            largest = max(largest, largest_move(rows, later))
    return largest


def find_planner(pages):
    holders = [n for n, p in pages.items() if p["counters"].get("plans.written", 0)]
    return holders[-1] if holders else sorted(pages)[0]


async def test_shifts_stay_under_the_cap_with_suspended_planners_and_lost_responses(
    fleet,
):
    status, output = await apply_policy(fleet, POLICY)
    assert status == 0, output
    inst = next(iter(fleet.instances.values()))

    async def has_plan():
        page = await operator_get(fleet, inst, "/v1/rows")
        return page["plan"] > 0

    await wait_until(has_plan, 10, "a first plan")
    recorder, stop, suspended = Recorder(fleet), asyncio.Event(), set()
    recording = asyncio.ensure_future(record(fleet, recorder, stop, suspended))
    try:
        for weights in ("accra-central = 1.0", "tarkwa-depot = 1.0"):
            text = POLICY + MOVE_EXCEPTION.format(weights=weights)
            status, output = await apply_policy(fleet, text)
            assert status == 0, output
            await set_store_faults(fleet, lose_answers=4)
            pages = {
                n: await operator_get(fleet, i, "/v1/status")
                for n, i in fleet.instances.items()
            }
            victim = find_planner(pages)
            suspended.add(victim)
            await asyncio.sleep(0.3)
            fleet.instances[victim].process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(5.0)
            fleet.instances[victim].process.send_signal(signal.SIGCONT)
            suspended.clear()
            await asyncio.sleep(5.0)
    finally:
        await set_store_faults(fleet, lose_answers=0)
        stop.set()
        await recording
    largest = {
        name: largest_shift(samples) for name, samples in recorder.samples.items()
    }
    print("largest shift in a window:", {n: round(w, 4) for n, w in largest.items()})
    assert max(largest.values()) <= CAP + 1e-6
    assert min(largest.values()) > CAP / 2


async def test_plan_does_not_revert_while_the_store_is_down(fleet):
    await set_store_faults(fleet, mode="down")
    try:
        inst = next(iter(fleet.instances.values()))
        first = await operator_get(fleet, inst, "/v1/rows")
        await asyncio.sleep(WINDOW_S)
        second = await operator_get(fleet, inst, "/v1/rows")
        assert second["plan"] >= first["plan"]
    finally:
        await set_store_faults(fleet, mode="up")
