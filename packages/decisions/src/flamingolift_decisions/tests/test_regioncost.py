"""Short and long work at short and long distances between regions."""

import itertools
import random

import pytest
from flamingolift_decisions import affinity, backends, loads, regioncost
from flamingolift_decisions.regioncost import (
    CROSS_REGION_COST,
    DEFAULT_COSTS,
    MAX_COST,
    MAX_STEPS,
    OWN_REGION_WEIGHT,
    STEP_INTERVAL_S,
    STEPS_PER_DOUBLING,
    RegionCosts,
)
from serverviews import make_entry

REGIONS = ("r0", "r1", "r2")
SERVERS = 30
KEYS = [f"object-{n}" for n in range(400)]
NEAR_S = 0.002
"""Round trip within a region (s)."""
CACHED = 0.3
"""Work on a cached object, relative to that on another one (ratio)."""
MAX_SHIFT = 0.15
"""Share of a region's requests that may change the region within two seconds."""
MAX_WEIGHT = OWN_REGION_WEIGHT * 2 ** (MAX_STEPS / STEPS_PER_DOUBLING)


def make_view(servers=SERVERS, regions=REGIONS):
    view = backends.BackendView()
    for number in range(servers):
        region = regions[number % len(regions)]
        entry = make_entry(number, region=region, slots=4)
        backends.apply_entry(view, entry, 0.0)
    return view


def measure(costs, work_s, one_way_s, rng, count=40):
    """Records connects and answers of a deployment."""
    for number in range(count):
        region = REGIONS[number % len(REGIONS)]
        trip_s = (NEAR_S if region == "r0" else 2.0 * one_way_s) * rng.uniform(1, 1.1)
        cached = number % 4 > 0
        spent_s = work_s * (CACHED if cached else 1.0) * rng.uniform(0.9, 1.1)
        regioncost.record_connect(costs, region, trip_s)
        regioncost.record_work(costs, "maps", region, cached, 1, spent_s + trip_s)


def learn(costs, view, until_s, now=0.0):
    """Looks at the times until a moment; returns the RouteCosts."""
    while now < until_s:
        known = regioncost.learn_route(costs, "maps", view, "maps", "r0", now)
        now += STEP_INTERVAL_S / 4
    return known


def first_regions(view, known):
    """Returns the region of the first server for each object."""
    cache = affinity.AffinityCache()
    regions = []
    for key in KEYS:
        order = affinity.rank_backends(cache, view, "maps", key, "r0", known)
        first = min(order, key=order.get)
        regions.append(view.backends[first].entry.region)
    return regions


def mean_time_s(view, known, work_s, one_way_s):
    """Returns the mean time of a request for an object that is cached (s)."""
    regions = first_regions(view, known)
    abroad = sum(region != "r0" for region in regions) / len(regions)
    return CACHED * work_s + abroad * 2.0 * one_way_s


# Guards against a constant that fits one deployment: half of the requests for short
# work made a round trip that took longer than the work.
@pytest.mark.parametrize("one_way_s", [0.005, 0.02, 0.035, 0.08])
@pytest.mark.parametrize("work_s", [0.1, 0.144, 0.36, 0.9, 3.0])
def test_weight_follows_the_measured_cost(work_s, one_way_s):
    costs, view = RegionCosts(), make_view()
    measure(costs, work_s, one_way_s, random.Random(1))
    known = learn(costs, view, 60.0)
    cost = (2.0 * one_way_s - NEAR_S) / work_s
    ideal = min(MAX_WEIGHT, max(OWN_REGION_WEIGHT, 1.0 + cost / CROSS_REGION_COST))
    for region in ("r1", "r2"):
        weight = 1.0 / regioncost.region_weight(known, region)
        assert ideal / 1.35 <= weight <= ideal * 1.35
    before = mean_time_s(view, DEFAULT_COSTS, work_s, one_way_s)
    after = mean_time_s(view, known, work_s, one_way_s)
    assert after <= before
    if cost >= 0.45:
        # At a weight of 6 a quarter of the objects is abroad instead of a half.
        cached_s = CACHED * work_s
        assert after - cached_s <= 0.5 * (before - cached_s)


def test_nothing_changes_at_the_cost_before_any_is_measured():
    costs, view = RegionCosts(), make_view()
    measure(costs, 0.64, 0.02, random.Random(1))
    known = learn(costs, view, 60.0)
    assert known.steps_key == ()
    assert first_regions(view, known) == first_regions(view, DEFAULT_COSTS)


@pytest.mark.parametrize("change", [(0.1, 0.08), (3.0, 0.005)])
def test_few_requests_change_the_region_at_once(change):
    costs, view, rng = RegionCosts(), make_view(), random.Random(1)
    measure(costs, 0.1 if change[0] > 1.0 else 3.0, 0.035, rng)
    now = 60.0
    before = first_regions(view, learn(costs, view, now))
    measure(costs, *change, rng, count=200)
    changed = 0
    for _look in range(40):
        known = learn(costs, view, now + 2.0, now)
        now += 2.0
        after = first_regions(view, known)
        moved = sum(a != b for a, b in zip(before, after, strict=True)) / len(KEYS)
        assert moved <= MAX_SHIFT / 2
        changed += moved
        before = after
    assert changed > 0.1


def test_noise_does_not_move_requests_to_and_fro():
    costs, view, rng = RegionCosts(), make_view(), random.Random(1)
    measure(costs, 0.36, 0.035, rng)
    now, keys = 60.0, []
    learn(costs, view, now)
    for _look in range(50):
        measure(costs, 0.36, 0.035, rng)
        keys.append(learn(costs, view, now + 2.0, now).steps_key)
        now += 2.0
    assert sum(a != b for a, b in itertools.pairwise(keys)) <= 1


# Guards against a region with few servers that takes all of its own requests: a queue
# costs more than the round trip.
def test_own_region_with_few_servers_is_not_overloaded():
    regions = ("r0", *("r1", "r2") * 5)
    costs, view, rng = RegionCosts(), make_view(33, regions), random.Random(1)
    measure(costs, 0.1, 0.08, rng)
    now, reached = 0.0, []
    for _look in range(120):
        known = learn(costs, view, now + 1.0, now)
        now += 1.0
        share = first_regions(view, known).count("r0") / len(KEYS)
        # A third of the requests of a service whose slots are half in use.
        load = 0.5 * share / 3.0 / (1.0 / len(regions))
        for backend in view.by_service["maps"]:
            if backend.entry.region == "r0":
                loads.record_load(backend, round(load * 40), 0, now)
                backend.external_load = load * backend.entry.slots
        reached.append(load)
    assert max(reached) <= 1.25
    assert max(reached[-20:]) <= 1.0
    assert min(reached[-20:]) >= 0.5


@pytest.mark.parametrize("own_trip_s", [0.0, 0.3])
def test_region_that_is_no_farther_keeps_the_smallest_weight(own_trip_s):
    costs, view = RegionCosts(), make_view()
    for _number in range(20):
        regioncost.record_connect(costs, "r0", own_trip_s)
        regioncost.record_connect(costs, "r1", 0.1)
        regioncost.record_work(costs, "maps", "r1", True, 1, 0.0)
    known = learn(costs, view, 60.0)
    assert known.steps_key == ()


def test_single_choice_never_prefers_an_uncached_server():
    costs, view = RegionCosts(), make_view()
    measure(costs, 0.1, 0.08, random.Random(1))
    known = learn(costs, view, 60.0)
    assert known.regions["r1"] == MAX_COST
    far, near = view.backends["s1"], view.backends["s0"]
    cached = affinity.expected_cost(far, 0, "r0", False, 1.0, known)
    assert cached < affinity.expected_cost(near, 1, "r0", False, 1.0, known)


def test_unknown_route_has_the_costs_before_any_is_measured():
    known = regioncost.learn_route(RegionCosts(), "x", make_view(), "maps", "r0", 1.0)
    assert known is DEFAULT_COSTS
    assert known.steps_key == () and not known.regions
