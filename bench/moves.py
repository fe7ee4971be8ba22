"""Moves of callers with load reports that are fresh, delayed, frozen or absent.

One planner and one instance, with real decisions and a made-up clock: demand swings
between regions while reports arrive as the case says.
"""

import math

from flamingolift_decisions.planner import (
    FleetLoad,
    default_rows,
    make_plan,
    target_rows,
)
from flamingolift_decisions.shifts import (
    ShiftLimiter,
    advance_rows,
    largest_move,
)
from flamingolift_model.plan import Plan
from flamingolift_model.policy import Shift

__all__ = ["measure_moves"]

REGIONS = ("east", "north", "west")
CAPACITY = 40.0
STEP_S = 2.0
LENGTH_S = 1_800.0
SWING_S = 600.0
MEAN_SHARE = 0.6
SWING_SHARE = 0.25
CASES = {
    "fresh": (0.0, math.inf),
    "delayed 30 s": (30.0, math.inf),
    "frozen after 300 s": (0.0, 300.0),
    "absent after 300 s": (0.0, 300.0),
}


def demand_at(now):
    """Returns the demand of each region at a time (slots); its sum is constant."""
    return {
        region: CAPACITY
        * (
            MEAN_SHARE
            + SWING_SHARE * math.sin(2 * math.pi * (now / SWING_S + index / 3.0))
        )
        for index, region in enumerate(REGIONS)
    }


def utilization(rows, demand):
    """Returns the largest planned use of a region (ratio)."""
    used = dict.fromkeys(REGIONS, 0.0)
    for origin, slots in demand.items():
        for site, weight in rows["s"][origin].items():
            used[site] += slots * weight
    return max(used.values()) / CAPACITY


def run_case(case, cap, window_s, is_capped):
    """Runs one case; returns its worst shift and its worst use of a region."""
    delay_s, ends_s = CASES[case]
    shift = Shift(cap=cap, window_s=window_s)
    sites = {region: {region: 1.0} for region in REGIONS}
    rows = default_rows(["s"], list(REGIONS), sites)
    plan = Plan(number=1, policy_number=1, rows=rows)
    guard = ShiftLimiter()
    trail, worst_use = [], 0.0
    steps = int(LENGTH_S / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        seen_at = min(now - delay_s, ends_s)
        is_absent = case.startswith("absent") and now > ends_s + shift.stale_after_s
        if seen_at >= 0.0 and not is_absent:
            capacity = dict.fromkeys(REGIONS, CAPACITY)
            load = FleetLoad(demand_at(seen_at), capacity, sites)
            wanted = {"s": target_rows(load, "headroom", shift.max_utilization)}
        elif now > ends_s + shift.ease_after_s:
            wanted = rows
        else:
            wanted = plan.rows
        planned = make_plan(plan, wanted, {}, 1, shift, now, "bench", "id")
        plan = planned or plan
        if is_capped:
            advance_rows(guard, plan, cap, window_s, now)
        else:
            guard.rows = wanted
        trail.append((now, guard.rows))
        worst_use = max(worst_use, utilization(guard.rows, demand_at(now)))
    return worst_shift(trail, window_s), worst_use


def worst_shift(trail, window_s):
    """Returns the largest move within any window (ratio)."""
    span = int(window_s / STEP_S)
    return max(
        largest_move(trail[i][1], trail[j][1])
        for i in range(len(trail))
        for j in range(i + 1, min(len(trail), i + span))
    )


def measure_moves(cap=0.1, window_s=60.0):
    """Measures every case, with the cap and without it as the baseline.

    Returns:
        Map of case to its worst shift in a window and worst use of a region, for
        the system and for a planner that follows each report at once.
    """
    found = {"cap": cap, "window_s": window_s, "cases": {}}
    for case in CASES:
        capped = run_case(case, cap, window_s, True)
        jumping = run_case(case, cap, window_s, False)
        found["cases"][case] = {
            "system": {"worst_shift": capped[0], "worst_use": capped[1]},
            "uncapped": {"worst_shift": jumping[0], "worst_use": jumping[1]},
        }
    return found
