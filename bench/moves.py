"""Measures moves of callers with fresh, delayed, frozen or absent load reports.

One planner and one instance run the product's decisions on a simulated clock, while
demand oscillates between the regions.
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
DURATION_S = 1_800.0
SWING_PERIOD_S = 600.0
MEAN_SHARE = 0.6
SWING_AMPLITUDE = 0.25
CASES = {
    "fresh": (0.0, math.inf),
    "delayed 30 s": (30.0, math.inf),
    "frozen after 300 s": (0.0, 300.0),
    "absent after 300 s": (0.0, 300.0),
}
"""Map of case to the delay of its reports (s) and the time of its last one (s)."""


def demand_at(now):
    """Returns the demand of each region at a time (slots); the total is constant."""
    return {
        region: CAPACITY
        * (
            MEAN_SHARE
            + SWING_AMPLITUDE
            * math.sin(2 * math.pi * (now / SWING_PERIOD_S + index / 3.0))
        )
        for index, region in enumerate(REGIONS)
    }


def utilization(rows, demand):
    """Returns the largest planned utilization of a region (ratio)."""
    used = dict.fromkeys(REGIONS, 0.0)
    for origin, slots in demand.items():
        for site, weight in rows["s"][origin].items():
            used[site] += slots * weight
    return max(used.values()) / CAPACITY


def run_case(case, cap, window_s, is_capped):
    """Runs one case.

    Returns:
        Tuple of the largest move within a window and the largest utilization of a
        region (ratios).
    """
    delay_s, last_report_s = CASES[case]
    shift = Shift(cap=cap, window_s=window_s)
    sites = {region: {region: 1.0} for region in REGIONS}
    rows = default_rows(["s"], list(REGIONS), sites)
    plan = Plan(number=1, policy_number=1, rows=rows)
    limiter = ShiftLimiter()
    row_history, worst_use = [], 0.0
    steps = int(DURATION_S / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        seen_at = min(now - delay_s, last_report_s)
        is_absent = (
            case.startswith("absent") and now > last_report_s + shift.stale_after_s
        )
        if seen_at >= 0.0 and not is_absent:
            capacity = dict.fromkeys(REGIONS, CAPACITY)
            load = FleetLoad(demand_at(seen_at), capacity, sites)
            wanted = {"s": target_rows(load, "headroom", shift.max_utilization)}
        elif now > last_report_s + shift.ease_after_s:
            wanted = rows
        else:
            wanted = plan.rows
        planned = make_plan(plan, wanted, {}, 1, shift, now, "bench", "id")
        plan = planned or plan
        if is_capped:
            advance_rows(limiter, plan, cap, window_s, now)
        else:
            limiter.rows = wanted
        row_history.append((now, limiter.rows))
        worst_use = max(worst_use, utilization(limiter.rows, demand_at(now)))
    return worst_shift(row_history, window_s), worst_use


def worst_shift(row_history, window_s):
    """Returns the largest move within any window (ratio)."""
    span = int(window_s / STEP_S)
    return max(
        largest_move(row_history[i][1], row_history[j][1])
        for i in range(len(row_history))
        for j in range(i + 1, min(len(row_history), i + span))
    )


def measure_moves(cap=0.1, window_s=60.0):
    """Measures each case with the cap, and without it as the baseline.

    Returns:
        Map of case to its largest move within a window and largest utilization of
        a region, for the system and for a planner that applies each report at once.
    """
    found = {"cap": cap, "window_s": window_s, "cases": {}}
    for case in CASES:
        capped = run_case(case, cap, window_s, True)
        without_cap = run_case(case, cap, window_s, False)
        found["cases"][case] = {
            "system": {"worst_shift": capped[0], "worst_use": capped[1]},
            "uncapped": {
                "worst_shift": without_cap[0],
                "worst_use": without_cap[1],
            },
        }
    return found
