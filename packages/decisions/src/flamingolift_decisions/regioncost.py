"""Cost of a server in another region for each route: short work at a long distance.

A round trip of 70 ms is a tenth of one route's work and twice that of another's. The
cost is learnt from connects and answers, and decides how strongly an object prefers the
servers of the region that asks for it.
"""

from flamingolift_decisions.loads import region_load
from flamingolift_decisions.recenttimes import RecentTimes, median_time, record_time

__all__ = [
    "CACHED_COST",
    "CROSS_REGION_COST",
    "DEFAULT_COSTS",
    "OWN_REGION_WEIGHT",
    "RegionCosts",
    "RouteCosts",
    "learn_route",
    "record_connect",
    "record_work",
    "region_weight",
    "round_trip",
]

CACHED_COST = 0.3
"""Work for an object that the server has cached, relative to the work for one that it
has not (ratio), while only cached work has been measured."""
CROSS_REGION_COST = 0.08
"""Cost of a round trip to another region, relative to the work for an uncached object
(ratio), before any is measured."""
OWN_REGION_WEIGHT = 2.0
"""Smallest weight of a server of the own region in an object's order, that of another
region's server being 1 (ratio). An object is mostly asked for in one region."""
STEPS_PER_DOUBLING = 4
"""Steps in which the weight doubles."""
MAX_STEPS = 16
"""Steps above the smallest weight (count), to a weight of 32."""
MAX_COST = 0.6
"""Largest cost of a single choice (ratio): a server that has the object cached stays
preferable to one that has not. Beyond that the weights decide, step by step."""
RAISING_LOAD = 0.75
"""Load of the own region's servers up to which their weight may rise (ratio to their
slots)."""
LOWERING_LOAD = 1.0
"""Load of the own region's servers from which their weight falls (ratio to their
slots): a wait in a queue costs more than a round trip."""
STEP_INTERVAL_S = 2.0
"""Shortest time between two steps of a route (s). Each step moves at most a
twentieth of the route's requests, below the share that may change the region within
two seconds."""
STEP_MARGIN = 0.75
"""Distance from the weight in use at which it is changed (steps), so that noise in the
measured times does not move requests to and fro."""
MAX_ROUTES = 4096
"""Number of routes above which what was learnt is dropped."""


class RouteCosts:
    """What is known of one route's work.

    Attributes:
        cached: RecentTimes of work on objects that the server is assumed to have
            cached.
        uncached: The same for other objects (s).
        regions: Map of region to the cost of a server there (ratio).
        steps: Map of region to the steps of its weight; regions at 0 are left out.
        steps_key: Same as a sorted tuple, which tells orders of servers apart.
        stepped_at: Time of the last look at the times (s, monotonic).
    """

    __slots__ = ("cached", "regions", "stepped_at", "steps", "steps_key", "uncached")

    def __init__(self):
        self.cached = RecentTimes()
        self.uncached = RecentTimes()
        self.regions = {}
        self.steps = {}
        self.steps_key = ()
        self.stepped_at = float("-inf")


DEFAULT_COSTS = RouteCosts()
"""Costs of a route of which nothing is known; not to be changed."""


class RegionCosts:
    """Times that one instance has measured.

    Attributes:
        connects: Map of region to the RecentTimes of a connect.
        routes: Map of route name to RouteCosts.
    """

    __slots__ = ("connects", "routes")

    def __init__(self):
        self.connects = {}
        self.routes = {}


def record_connect(costs, region, elapsed_s):
    """Records the time of a connect to a server.

    Args:
        costs: RegionCosts.
        region: Region of the server.
        elapsed_s: Time until the connection was open (s).
    """
    record_time(costs.connects.setdefault(region, RecentTimes()), elapsed_s)


def round_trip(costs, region):
    """Returns the median time of a connect to a region (s); 0 while it is unknown.

    Args:
        costs: RegionCosts.
        region: Region of the servers.
    """
    times = costs.connects.get(region)
    return 0.0 if times is None else median_time(times)


def record_work(costs, route, region, cached, round_trips, elapsed_s):
    """Records the time until an answer.

    Args:
        costs: RegionCosts.
        route: Name of the route.
        region: Region of the server.
        cached: Whether the server is assumed to have had the object cached.
        round_trips: Round trips within that time, two with a new connection.
        elapsed_s: Time from the send to the answer (s).
    """
    if route not in costs.routes and len(costs.routes) >= MAX_ROUTES:
        costs.routes.clear()
    known = costs.routes.setdefault(route, RouteCosts())
    work_s = elapsed_s - round_trips * round_trip(costs, region)
    record_time(known.cached if cached else known.uncached, max(0.0, work_s))


def learn_route(costs, route, view, service, own_region, now):
    """Returns what is known of a route, after at most one step of each weight.

    Args:
        costs: RegionCosts.
        route: Name of the route.
        view: BackendView, which holds the load of the servers.
        service: Name of the service that the route uses.
        own_region: Region of this instance.
        now: Current time (s, monotonic).

    Returns:
        RouteCosts.
    """
    known = costs.routes.get(route)
    if known is None:
        return DEFAULT_COSTS
    if now - known.stepped_at < STEP_INTERVAL_S:
        return known
    known.stepped_at = now
    work_s, near_s = _uncached_work(known), round_trip(costs, own_region)
    if work_s <= 0.0 or near_s <= 0.0:
        return known
    load = region_load(view, service, own_region, now)
    for region in costs.connects:
        far_s = round_trip(costs, region)
        if region == own_region or far_s <= 0.0:
            continue
        cost = max(0.0, far_s - near_s) / work_s
        known.regions[region] = min(cost, MAX_COST)
        steps = _next_steps(known.steps.pop(region, 0), cost, load)
        if steps:
            known.steps[region] = steps
    known.steps_key = tuple(sorted(known.steps.items()))
    return known


def region_weight(known, region):
    """Returns the weight of a server of another region, the own region's being 1.

    Args:
        known: RouteCosts.
        region: Region of the server.
    """
    steps = known.steps.get(region, 0)
    return 1.0 / (OWN_REGION_WEIGHT * 2.0 ** (steps / STEPS_PER_DOUBLING))


def _next_steps(steps, cost, load):
    """Returns the steps of a weight, changed by at most one toward a cost (ratio).

    Args:
        steps: Steps in use.
        cost: Measured cost of the other region (ratio).
        load: Load of the own region's servers (ratio to their slots).
    """
    if load > LOWERING_LOAD or cost <= _cost_at(steps - STEP_MARGIN):
        return max(0, steps - 1)
    if load <= RAISING_LOAD and cost >= _cost_at(steps + STEP_MARGIN):
        return min(MAX_STEPS, steps + 1)
    return steps


def _cost_at(steps):
    """Returns the cost to which a number of steps belongs (ratio).

    The own region's weight is one more than the cost in units of the one before any is
    measured, so that nothing changes at that cost.
    """
    weight = OWN_REGION_WEIGHT * 2.0 ** (steps / STEPS_PER_DOUBLING)
    return (weight - 1.0) * CROSS_REGION_COST


def _uncached_work(known):
    """Returns the time of work on an uncached object (s); 0 while it is unknown."""
    return median_time(known.uncached) or median_time(known.cached) / CACHED_COST
