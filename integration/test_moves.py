"""Traffic shifts stay under their cap, whoever decides and whatever is lost."""

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
MOVE = """
[[exceptions]]
name = "move-east"
reason = "The operator moves the timetable callers to one place for a test."
match = {{ service = "timetable" }}
change = {{ weights = {{ {weights} }} }}
"""
FLEET_OPTIONS = {"plan_interval_s": 0.5, "lease_ttl_s": 1.0}
SLACK_S = 0.3
"""Time by which a sample may lag behind the instance's own clock (s)."""


async def sample_rows(fleet, inst):
    page = await operator_get(fleet, inst, "/v1/rows")
    return time.monotonic(), page["rows"]


class Recorder:
    """Rows that each instance had in force, over time.

    Attributes:
        trails: Map of instance name to its list of (time, rows).
    """

    __slots__ = ("trails",)

    def __init__(self, fleet):
        self.trails = {name: [] for name in fleet.instances}


async def record(fleet, recorder, stop, paused):
    while not stop.is_set():
        for name, inst in fleet.instances.items():
            if name not in paused:
                recorder.trails[name].append(await sample_rows(fleet, inst))
        await asyncio.sleep(0.1)


def worst_shift(trail):
    """Returns the largest move between two samples of one window."""
    worst = 0.0
    for index, (at, rows) in enumerate(trail):
        for later_at, later in trail[index + 1 :: 3]:
            if later_at - at > WINDOW_S - SLACK_S:
                break
            worst = max(worst, largest_move(rows, later))
    return worst


def planner_of(pages):
    holders = [n for n, p in pages.items() if p["counters"].get("plans.written", 0)]
    return holders[-1] if holders else sorted(pages)[0]


async def test_moves_stay_under_the_cap_with_paused_planners_and_lost_answers(fleet):
    status, output = await apply_policy(fleet, POLICY)
    assert status == 0, output
    inst = next(iter(fleet.instances.values()))

    async def has_plan():
        page = await operator_get(fleet, inst, "/v1/rows")
        return page["plan"] > 0

    await wait_until(has_plan, 10, "a first plan")
    recorder, stop, paused = Recorder(fleet), asyncio.Event(), set()
    recording = asyncio.ensure_future(record(fleet, recorder, stop, paused))
    try:
        for weights in ("accra-central = 1.0", "tarkwa-depot = 1.0"):
            text = POLICY + MOVE.format(weights=weights)
            status, output = await apply_policy(fleet, text)
            assert status == 0, output
            await set_store_faults(fleet, lose_answers=4)
            pages = {
                n: await operator_get(fleet, i, "/v1/status")
                for n, i in fleet.instances.items()
            }
            victim = planner_of(pages)
            paused.add(victim)
            await asyncio.sleep(0.3)
            fleet.instances[victim].process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(5.0)
            fleet.instances[victim].process.send_signal(signal.SIGCONT)
            paused.clear()
            await asyncio.sleep(5.0)
    finally:
        await set_store_faults(fleet, lose_answers=0)
        stop.set()
        await recording
    worst = {name: worst_shift(trail) for name, trail in recorder.trails.items()}
    print("worst shift in a window:", {n: round(w, 4) for n, w in worst.items()})
    assert max(worst.values()) <= CAP + 1e-6
    assert min(worst.values()) > CAP / 2


async def test_moves_stop_without_the_store_and_nothing_goes_back(fleet):
    await set_store_faults(fleet, mode="down")
    try:
        inst = next(iter(fleet.instances.values()))
        first = await operator_get(fleet, inst, "/v1/rows")
        await asyncio.sleep(WINDOW_S)
        second = await operator_get(fleet, inst, "/v1/rows")
        assert second["plan"] >= first["plan"]
    finally:
        await set_store_faults(fleet, mode="up")
