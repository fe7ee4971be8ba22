"""Bounds that hundreds of instances keep together without talking to each other."""

import itertools
import random

import pytest
from flamingolift_decisions import affinity, backends, regioncost, windowbudget
from flamingolift_model.routing import ServiceSpec
from serverviews import make_entry, make_route

FLEETS = [30, 195, 300]
"""Instances of a fleet."""
REQUESTS_PER_S = 1100.0
"""Requests of all callers (1/s)."""
MAX_SHIFT = 0.15
"""Share of a region's requests that may change the region between two windows."""
WINDOW_S = 2.0
"""Length of such a window (s)."""


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("instances", FLEETS)
def test_cold_server_gets_no_more_than_its_rate(instances, seed):
    per_s, overage, slack = 2.0, 1.5, 10.0
    route = make_route()
    sent = []
    for number in range(instances):
        view = backends.BackendView(random.Random(seed * 1000 + number))
        spec = ServiceSpec(name="maps", cold_ms=3000.0, cold_per_s=per_s)
        view.services, view.instances = {"maps": spec}, instances
        backends.apply_entry(view, make_entry(0, cold_ms=3000.0), 0.0)
        for tick in range(60):
            now = tick / 20.0
            _warm, cold = backends.eligible_backends(view, "maps", route, now)
            for backend in cold:
                backends.record_send(view, backend, now)
                sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= per_s * overage + slack


@pytest.mark.parametrize("instances", FLEETS)
def test_retries_stay_within_the_budget_of_the_fleet(instances):
    ratio, window_s, extra = 0.2, 10.0, 430
    rng = random.Random(instances)
    budgets = [
        windowbudget.WindowBudget(ratio, window_s, extra, -100.0)
        for _n in range(instances)
    ]
    requests, retries, now = [], [], 0.0
    while now < 2.0 * window_s:
        now += rng.expovariate(REQUESTS_PER_S)
        budget = rng.choice(budgets)
        windowbudget.record_request(budget, now)
        requests.append(now)
        # Every server of the service fails, and each request would be sent again.
        if windowbudget.allow_retry(budget, instances, now):
            windowbudget.record_retry(budget, now)
            retries.append(now)
    for start in range(int(window_s) + 1):
        end = start + window_s
        asked = sum(start <= at < end for at in requests)
        again = sum(start <= at < end for at in retries)
        assert again <= ratio * asked + extra
    assert len(retries) >= 0.1 * len(requests)


@pytest.mark.parametrize("instances", [10, 65, 100])
@pytest.mark.parametrize("change", [(3.0, 0.1), (0.1, 3.0)])
def test_region_of_a_route_changes_slowly_when_its_work_does(instances, change):
    view, rng = backends.BackendView(), random.Random(instances)
    for number in range(30):
        backends.apply_entry(view, make_entry(number), 0.0)
    learnt = [regioncost.RegionCosts() for _n in range(instances)]
    caches = [affinity.AffinityCache() for _n in range(instances)]

    def measure(costs, work_s):
        for number in range(60):
            region = f"r{number % 3}"
            trip_s = 0.002 if region == "r0" else 0.07
            regioncost.record_connect(costs, region, trip_s)
            regioncost.record_work(costs, "maps", region, False, 1, work_s + trip_s)

    def share_abroad(now):
        abroad = 0
        for _request in range(2000):
            number = rng.randrange(instances)
            at = now + rng.uniform(0.0, WINDOW_S)
            known = regioncost.learn_route(
                learnt[number], "maps", view, "maps", "r0", at
            )
            key = f"object-{rng.randrange(200)}"
            order = affinity.rank_backends(
                caches[number], view, "maps", key, "r0", known
            )
            first = min(order, key=order.get)
            abroad += view.backends[first].entry.region != "r0"
        return abroad / 2000

    for costs in learnt:
        measure(costs, change[0])
    shares = [share_abroad(window * WINDOW_S) for window in range(20)]
    for costs in learnt:
        measure(costs, change[1])
    shares += [share_abroad(window * WINDOW_S) for window in range(20, 40)]
    moved = [abs(b - a) for a, b in itertools.pairwise(shares)]
    assert max(moved) <= MAX_SHIFT
    assert abs(shares[19] - shares[-1]) >= 0.15
