"""Which backend server handles an object.

Requests for one object meet the same few servers from every instance, where
earlier requests left it warm. The load on each server stays bounded: a request
goes to a later server of the object's order when the earlier ones are busy.
"""

from flamingolift_decisions.backends import eligible_backends
from flamingolift_decisions.hashing import unit_hash
from flamingolift_decisions.loads import estimate_load, mean_load

__all__ = [
    "AffinityCache",
    "choose_backend",
    "expected_cost",
    "has_room",
    "pick_backend",
    "rank_backends",
]

COPIES = 1
"""Servers of an object's order that are taken to hold it warm."""
WARM_COST = 0.3
"""Work for a warm object, relative to a cold one (ratio)."""
FAR_COST = 0.08
"""Cost of a round trip to another region, relative to the work for a cold
object (ratio)."""
BULK_FAR_COST = 1.0
"""The same for large answers, which also use the links between regions (ratio)."""
BUSY_SERVERS = 2
"""Servers that an object may use while its service is busy: more would hold it
cold, which takes more of the slots that are short."""
BUSY_LOAD = 1.0
"""Usual load of a service from which it is busy (ratio to its slots)."""
SPILL_QUEUE_PER_SLOT = 0.34
"""Requests that may wait at a server for each of its slots while another one has
room (ratio): one on three slots."""
QUEUE_PER_SLOT = 1.0
"""Requests that may wait at a server for each of its slots (ratio): one more
request's work, which the objectives of warm requests still cover."""
MAX_CACHED_ORDERS = 4096


class AffinityCache:
    """Orders of servers that were worked out for objects.

    Attributes:
        generation: Generation of the server set that the orders belong to.
        orders: Map of (service, object key) to a list of server ids.
    """

    __slots__ = ("generation", "orders")

    def __init__(self):
        self.generation = -1
        self.orders = {}


def rank_backends(cache, view, service, object_key):
    """Orders a service's servers by rendezvous hash for an object.

    Args:
        cache: AffinityCache.
        view: BackendView.
        service: Service name.
        object_key: Name of the object.

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
    order = cache.orders.get((service, object_key))
    if order is None:
        names = (b.entry.server_id for b in view.by_service.get(service, ()))
        ranked = sorted(names, key=lambda name: -unit_hash(object_key, name))
        order = {name: place for place, name in enumerate(ranked)}
        cache.orders[service, object_key] = order
    return order


def has_room(backend, queue_per_slot, now):
    """Returns whether another request would not wait too long at a server.

    Args:
        backend: Backend.
        queue_per_slot: Requests that may wait there for each slot (ratio).
        now: Current time (s, monotonic).
    """
    slots = max(1, backend.entry.slots)
    return estimate_load(backend, now) < slots * (1.0 + queue_per_slot)


def expected_cost(backend, place, region, bulk, now):
    """Estimates the time of a request, relative to the work for a cold object.

    Args:
        backend: Backend.
        place: Place of the server among the servers in use for the object.
        region: Region of this instance.
        bulk: Whether the answer is large.
        now: Current time (s, monotonic).

    Returns:
        Sum of work, expected wait and distance (ratio).
    """
    work = WARM_COST if place < COPIES else 1.0
    slots = max(1, backend.entry.slots)
    queued = max(0, estimate_load(backend, now) - slots + 1)
    cost = work * (1.0 + queued / slots)
    if backend.entry.region != region:
        cost += BULK_FAR_COST if bulk else FAR_COST
    return cost


def choose_backend(candidates, order, region, bulk, limit, now):
    """Picks the server with the least expected time for an object.

    Args:
        candidates: List of Backend that may take the request.
        order: Map of server id to its place in the object's order.
        region: Region of this instance.
        bulk: Whether the answer is large.
        limit: Number of servers that the object may use; None for all.
        now: Current time (s, monotonic).

    Returns:
        Backend, or None when none that may take the object has room. Among servers
        of equal cost the earliest of the order.
    """
    ranked = sorted(candidates, key=lambda b: order[b.entry.server_id])
    if bulk:
        ranked.sort(key=lambda b: b.entry.region != region)
    for queue_per_slot in (SPILL_QUEUE_PER_SLOT, QUEUE_PER_SLOT):
        best, best_cost = None, 0.0
        for place, backend in enumerate(ranked[:limit]):
            if not has_room(backend, queue_per_slot, now):
                continue
            cost = expected_cost(backend, place, region, bulk, now)
            if best is None or cost < best_cost:
                best, best_cost = backend, cost
        if best is not None:
            return best
    return None


def pick_backend(
    view, cache, service, route, object_key, request_id, tried, region, now
):
    """Picks the server for the next send of a request.

    Args:
        view: BackendView.
        cache: AffinityCache.
        service: Service name.
        route: Route of the request.
        object_key: Name of the object; empty for a request that concerns none.
        request_id: Id of the request.
        tried: Set of the ids of the servers that were tried.
        region: Region of this instance.
        now: Current time (s, monotonic).

    Returns:
        Tuple of the Backend, or None when none may take the request, and its place
        in the object's order. Cold servers only get what no warm one may take.

    Notes:
        While the service is busy, an object stays with the first servers of its
        order. Otherwise an overload would spread each object over servers that do
        not hold it, whose longer work keeps the overload going after its cause.
    """
    warm, cold = eligible_backends(view, service, route, now)
    candidates = [b for b in warm if b.entry.server_id not in tried]
    if not candidates:
        candidates = [b for b in cold if b.entry.server_id not in tried]
    if not candidates:
        return None, 0
    if object_key:
        order = rank_backends(cache, view, service, object_key)
        limit = BUSY_SERVERS if mean_load(view, service, now) >= BUSY_LOAD else None
    else:
        order = rank_backends(cache, view, service, request_id)
        limit = None
    chosen = choose_backend(candidates, order, region, route.bulk, limit, now)
    return chosen, order[chosen.entry.server_id] if chosen else 0
