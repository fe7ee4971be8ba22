"""Choice of the backend server for a request, with affinity by object.

The instances of a region send the requests for one object to the same few servers,
whose caches hold it from earlier requests, and which are more often in their own
region. The load on each server stays bounded: when the first servers of the object's
rendezvous order are busy, a request goes to a later one.
"""

from flamingolift_decisions.backends import eligible_backends, is_withheld
from flamingolift_decisions.hashing import weighted_order
from flamingolift_decisions.loads import (
    estimate_load,
    mean_load,
    other_regions_load,
    region_load,
)
from flamingolift_decisions.regioncost import (
    CACHED_COST,
    CROSS_REGION_COST,
    DEFAULT_COSTS,
    region_weight,
)
from flamingolift_decisions.serverlimits import is_limited

__all__ = [
    "BUSY_LOAD",
    "CACHING_SERVERS",
    "AffinityCache",
    "expected_cost",
    "has_room",
    "least_cost_backend",
    "pick_backend",
    "rank_backends",
    "split_by_limit",
]

CACHING_SERVERS = 1
"""Number of servers at the head of an object's order that are assumed to have the
object cached."""
BULK_CROSS_REGION_COST = 1.0
"""Cost of another region for large answers, which also take bandwidth between regions,
relative to the work for an uncached object (ratio)."""
MAX_SERVERS_WHEN_BUSY = 2
"""Number of servers that an object may use while its service is busy. Further ones
do not have it cached, so that each request would occupy a scarce slot for longer."""
BUSY_LOAD = 1.0
"""Mean load from which a service counts as busy (ratio to its slots)."""
SPILLOVER_QUEUE_PER_SLOT = 0.34
"""Requests that may queue at a server for each of its slots before a request goes to
another server that has room (ratio): one request for three slots."""
QUEUE_PER_SLOT = 1.0
"""Requests that may queue at a server for each of its slots (ratio). A queued request
then waits for the work of about one other request, which the latency objectives
of requests for cached objects still allow."""
MAX_CACHED_ORDERS = 4096
"""Number of orders above which the cache is cleared."""


class AffinityCache:
    """Cache of the servers' rendezvous orders, by object.

    Attributes:
        generation: Generation of the server set that the orders were computed for.
        orders: Map of (service, object key, steps of the regions' weights) to a map
            of server id to its place.
    """

    __slots__ = ("generation", "orders")

    def __init__(self):
        self.generation = -1
        self.orders = {}


def rank_backends(cache, view, service, object_key, region, costs=DEFAULT_COSTS):
    """Ranks a service's servers for an object by weighted rendezvous hashing.

    The servers of the own region come first for most objects, for fewer the fewer
    there are: a region with few servers leaves more objects to the others. The dearer
    another region is for a route, the fewer objects have their first server there.

    Args:
        cache: AffinityCache.
        view: BackendView.
        service: Service name.
        object_key: Name of the object.
        region: Region of this instance, the same at each call with a cache.
        costs: RouteCosts of the request's route.

    Returns:
        Map of server id to its place in the order, the preferred one first.
        A server that joins or leaves does not change the order of the others.

    Notes:
        Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    if cache.generation != view.generation or len(cache.orders) > MAX_CACHED_ORDERS:
        cache.orders.clear()
        cache.generation = view.generation
    cache_key = service, object_key, costs.steps_key
    order = cache.orders.get(cache_key)
    if order is None:
        entries = [b.entry for b in view.by_service.get(service, ())]
        weights = {
            e.server_id: 1.0 if e.region == region else region_weight(costs, e.region)
            for e in entries
        }
        ranked = weighted_order(object_key, weights)
        order = {name: place for place, name in enumerate(ranked)}
        cache.orders[cache_key] = order
    return order


def has_room(backend, queue_per_slot, now):
    """Returns whether a server's queue may take another request.

    Args:
        backend: Backend.
        queue_per_slot: Requests that may queue there for each slot (ratio).
        now: Current time (s, monotonic).
    """
    slots = max(1, backend.entry.slots)
    return estimate_load(backend, now) < slots * (1.0 + queue_per_slot)


def expected_cost(backend, place, region, bulk, now, costs=DEFAULT_COSTS):
    """Estimates the time of a request, relative to the work for an uncached object.

    Args:
        backend: Backend.
        place: Place of the server among the candidates for the object.
        region: Region of this instance.
        bulk: Whether the answer is large.
        now: Current time (s, monotonic).
        costs: RouteCosts of the request's route.

    Returns:
        Sum of the work, the expected wait in the queue and the cost of another
        region (ratio).
    """
    work = CACHED_COST if place < CACHING_SERVERS else 1.0
    slots = max(1, backend.entry.slots)
    queued = max(0, estimate_load(backend, now) - slots + 1)
    cost = work * (1.0 + queued / slots)
    if backend.entry.region != region:
        learnt = costs.regions.get(backend.entry.region, CROSS_REGION_COST)
        cost += BULK_CROSS_REGION_COST if bulk else learnt
    return cost


def least_cost_backend(ranked, region, bulk, now, costs=DEFAULT_COSTS):
    """Picks the server with the least expected time for an object.

    Args:
        ranked: List of Backend that may take the request, in the object's order.
        region: Region of this instance.
        bulk: Whether the answer is large.
        now: Current time (s, monotonic).
        costs: RouteCosts of the requests' route.

    Returns:
        Backend, or None when no candidate has room. Among servers
        of equal cost the one with the earliest place.
    """
    for queue_per_slot in (SPILLOVER_QUEUE_PER_SLOT, QUEUE_PER_SLOT):
        best, best_cost = None, 0.0
        for place, backend in enumerate(ranked):
            if not has_room(backend, queue_per_slot, now):
                continue
            cost = expected_cost(backend, place, region, bulk, now, costs)
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        if best is not None:
            return best
    return None


def split_by_limit(ranked, now):
    """Splits candidates by whether a request there takes from a limit that is short.

    Args:
        ranked: List of Backend in the object's order.
        now: Current time (s, monotonic).

    Returns:
        Tuple of two lists of Backend. The first one holds the servers without a limit
        and the limited ones that have the object cached, the second one the other
        limited servers: their few requests are worth more to the objects that they
        hold. Servers that are withheld are in neither.
    """
    first, others = [], []
    for place, backend in enumerate(ranked):
        if not is_limited(backend):
            first.append(backend)
        elif not is_withheld(backend, now):
            (first if place < CACHING_SERVERS else others).append(backend)
    return first, others


def _servers_limit(load):
    """Returns how many servers an object may use at a mean load; None for all."""
    return MAX_SERVERS_WHEN_BUSY if load >= BUSY_LOAD else None


def _few_of_each_side(view, service, ranked, region, now):
    """Keeps few servers of the own region, and of the others, where these are busy."""
    near = [b for b in ranked if b.entry.region == region]
    far = [b for b in ranked if b.entry.region != region]
    near = near[: _servers_limit(region_load(view, service, region, now))]
    far = far[: _servers_limit(other_regions_load(view, service, region, now))]
    return [*near, *far]


def pick_backend(
    view,
    cache,
    service,
    route,
    object_key,
    request_id,
    tried,
    region,
    now,
    may_use=lambda backend: True,
    costs=DEFAULT_COSTS,
    spill=False,
):
    """Picks the server for the next attempt of a request.

    Args:
        view: BackendView.
        cache: AffinityCache.
        service: Service name.
        route: Route of the request.
        object_key: Name of the object; empty for a request without an object.
        request_id: Id of the request.
        tried: Set of the ids of the servers that earlier attempts used.
        region: Region of this instance.
        now: Current time (s, monotonic).
        may_use: Function of a Backend; returns whether it may be picked. A server
            that names a limit needs a grant before the send.
        costs: RouteCosts of the route.
        spill: Whether it stays away from the own region while others may take it.

    Returns:
        Tuple of the Backend, or None when none may take the request, and its place
        in the object's order. A cold server is picked only when no warm server is
        left to try.

    Notes:
        While the service is busy, an object uses only the first servers of its
        order. Otherwise an overload would spread each object over servers that do
        not have it cached, and the additional work there would sustain the overload
        after its cause is gone.
    """
    key = object_key or request_id
    order = rank_backends(cache, view, service, key, region, costs)
    for candidates in eligible_backends(view, service, route, now):
        untried = [
            b for b in candidates if b.entry.server_id not in tried and may_use(b)
        ]
        ranked = sorted(untried, key=lambda b: order[b.entry.server_id])
        if route.bulk:
            ranked.sort(key=lambda b: b.entry.region != region)
        first, others = split_by_limit(ranked, now)
        if object_key and route.bulk:
            first = _few_of_each_side(view, service, first, region, now)
        elif object_key:
            first = first[: _servers_limit(mean_load(view, service, now))]
        if spill:
            first = [b for b in first if b.entry.region != region] or first
        for group in (first, others):
            chosen = least_cost_backend(group, region, route.bulk, now, costs)
            if chosen is not None:
                return chosen, order[chosen.entry.server_id]
        if first:
            break
    return None, 0
