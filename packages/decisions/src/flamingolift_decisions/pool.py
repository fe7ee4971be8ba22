"""Pool of the slots of one service in one region, granted by a single dispatcher."""

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_decisions.crashrecord import CrashRecord, record_success
from flamingolift_decisions.fairness import (
    FairQueue,
    drop_expired,
    pop_next,
    push_waiter,
)
from flamingolift_decisions.quarantine import (
    is_quarantined,
    record_crash,
    take_trial,
)
from flamingolift_decisions.servers import (
    BackendServer,
    record_outcome,
    set_drain,
    update_listing,
    usable_slots,
)

__all__ = [
    "Grant",
    "SlotPool",
    "SlotRequest",
    "adopt_grant",
    "expire_grants",
    "free_slots",
    "grant_or_queue",
    "grant_waiting",
    "pool_capacity",
    "release_grant",
    "sync_servers",
    "try_grant",
]

WAITERS_PER_SLOT = 8
"""Largest number of queued requests for each slot of the pool."""
MIN_QUEUE_CAPACITY = 64
CROSS_REGION_RESERVE = 0.1
"""Share of a pool's slots that requests from other regions must leave free (ratio)."""
RETRY_AFTER_MS = 1000


class SlotRequest:
    """What a request needs from a pool.

    Attributes:
        holder: Instance that will hold the slot.
        tenant: Tenant, for the fair queue.
        fingerprint: Fingerprint of the request; empty when it has none.
        hold_s: Longest time for which the slot may be held (s).
        avoid: Set of names of backend servers that must not be used.
        is_cross_region: Whether the holder is in another region.
    """

    __slots__ = (
        "avoid",
        "fingerprint",
        "hold_s",
        "holder",
        "is_cross_region",
        "tenant",
    )

    def __init__(
        self, holder, tenant, fingerprint, hold_s, avoid=(), is_cross_region=False
    ):
        self.is_cross_region = is_cross_region
        self.holder = holder
        self.tenant = tenant
        self.fingerprint = fingerprint
        self.hold_s = hold_s
        self.avoid = frozenset(avoid)


class Grant:
    """Grant of one slot to a request.

    Attributes:
        grant_id: Id within the pool.
        server: BackendServer that the slot belongs to.
        request: SlotRequest that it was granted to.
        expires_at: Time at which the slot is reclaimed (s, monotonic).
    """

    __slots__ = ("expires_at", "grant_id", "request", "server")

    def __init__(self, grant_id, server, request, expires_at):
        self.grant_id = grant_id
        self.server = server
        self.request = request
        self.expires_at = expires_at


class SlotPool:
    """Backend servers of one service in one region and their slots.

    Attributes:
        service: Service of the policy.
        servers: Map of backend server name to BackendServer.
        grants: Map of grant id to Grant.
        queue: FairQueue of the requests that wait for a slot.
        crashes: CrashRecord of the pool's backend servers.
        next_grant_id: Id of the next grant.
        recovering_until: End of the time in which a new dispatcher grants only half
            of the slots, until it has learned which ones are in use (s, monotonic).
        started_at: Creation of the pool (s, monotonic).
    """

    __slots__ = (
        "crashes",
        "grants",
        "next_grant_id",
        "queue",
        "recovering_until",
        "servers",
        "service",
        "started_at",
    )

    def __init__(self, service, first_grant_id, now, recovery_s):
        self.service = service
        self.servers = {}
        self.grants = {}
        self.queue = FairQueue(MIN_QUEUE_CAPACITY, service.tenant_share)
        self.crashes = CrashRecord()
        self.next_grant_id = first_grant_id
        self.started_at = now
        self.recovering_until = now + recovery_s


def sync_servers(pool, service, entries, drained, limits, now):
    """Applies the live list, the drains and the limits in force.

    Args:
        pool: SlotPool.
        service: Service of the policy in force.
        entries: List of BackendEntry of the pool's service and region.
        drained: Set of backend server names that the operator drains.
        limits: Map of backend server name to the limit of a policy exception.
        now: Current time (s, monotonic).

    Notes:
        A server that is no longer listed is drained: it keeps its grants until they
        end and gets no new ones.
    """
    pool.service = service
    listed = {entry.server_id: entry for entry in entries}
    for name, entry in listed.items():
        server = pool.servers.get(name)
        slots = entry.slots or service.slots
        if server is None:
            cold = now > pool.recovering_until
            server = BackendServer(entry, slots, service.ramp_s, now, cold)
            pool.servers[name] = server
        update_listing(server, entry, service.slots, service.ramp_s, now)
        set_drain(server, "operator", name in drained, now)
        server.operator_limit = limits.get(name)
    for name, server in list(pool.servers.items()):
        if name in listed:
            continue
        set_drain(server, "live_list", True, now)
        if server.granted == 0:
            del pool.servers[name]
    total = sum(server.slots for server in pool.servers.values())
    pool.queue.capacity = max(MIN_QUEUE_CAPACITY, WAITERS_PER_SLOT * total)
    pool.queue.tenant_share = service.tenant_share


def _grantable_slots(pool, server, now):
    slots = usable_slots(server, now)
    if now < pool.recovering_until:
        slots = (slots + 1) // 2
    return slots


def pool_capacity(pool, now):
    """Returns the number of usable slots in the pool, granted ones included."""
    return sum(usable_slots(server, now) for server in pool.servers.values())


def free_slots(pool, now):
    """Returns the number of slots that could be granted now."""
    return sum(
        max(0, _grantable_slots(pool, server, now) - server.granted)
        for server in pool.servers.values()
    )


def try_grant(pool, request, now):
    """Grants a slot on the least utilized backend server.

    Args:
        pool: SlotPool.
        request: SlotRequest.
        now: Current time (s, monotonic).

    Returns:
        A Grant, or None when no slot is free that the request may use. Servers are
        compared by the share of their slots in use, then by smoothed latency.
    """
    best, best_rank = None, None
    for name, server in pool.servers.items():
        room = _grantable_slots(pool, server, now) - server.granted
        if room <= 0 or name in request.avoid:
            continue
        rank = (server.granted / server.slots, server.latency_ms, name)
        if best_rank is None or rank < best_rank:
            best, best_rank = server, rank
    return _grant(pool, best, request, now) if best else None


def _grant(pool, server, request, now):
    grant = Grant(pool.next_grant_id, server, request, now + request.hold_s)
    pool.next_grant_id += 1
    pool.grants[grant.grant_id] = grant
    _count_granted(server)
    return grant


def _count_granted(server):
    server.granted += 1
    server.granted_peak = max(server.granted_peak, server.granted)


def grant_or_queue(pool, request, wait_s, token, now) -> Result:
    """Grants a slot at once or queues the request.

    Args:
        pool: SlotPool.
        request: SlotRequest.
        wait_s: Longest wait (s); 0 refuses the request instead of queueing it.
        token: Opaque value returned with the Waiter.
        now: Current time (s, monotonic).

    Returns:
        Ok with a Grant, Ok with a Waiter when queued, or Error with a Fault, after
        which nothing was run. Queued requests are served before new ones.
    """
    fingerprint = request.fingerprint
    if (
        is_quarantined(pool.crashes, fingerprint, now)
        or take_trial(pool.crashes, fingerprint, now) > 0.0
    ):
        return Error(Fault(ResultCode.QUARANTINED, "crashed backend servers", 0))
    if request.is_cross_region and not _has_cross_region_slot(pool, now):
        return Error(Fault(ResultCode.OVERLOADED, "no spare slot", RETRY_AFTER_MS))
    if pool.queue.size == 0:
        grant = try_grant(pool, request, now)
        if grant is not None:
            return Ok(grant)
    if pool_capacity(pool, now) == 0 and not _is_ejection_ending(pool, now):
        return Error(Fault(ResultCode.NO_BACKEND, "no backend server", RETRY_AFTER_MS))
    if wait_s <= 0.0:
        return Error(Fault(ResultCode.OVERLOADED, "no free slot", RETRY_AFTER_MS))
    waiter = push_waiter(pool.queue, request.tenant, now + wait_s, request, token)
    if waiter is None:
        return Error(Fault(ResultCode.OVERLOADED, "the queue is full", RETRY_AFTER_MS))
    return Ok(waiter)


def _has_cross_region_slot(pool, now):
    """Returns whether a request from another region may get a slot.

    Such requests take longer, so that they get one only while more than
    `CROSS_REGION_RESERVE` of the pool's slots are free.
    """
    return free_slots(pool, now) > CROSS_REGION_RESERVE * pool_capacity(pool, now)


def _is_ejection_ending(pool, now):
    """Returns whether an ejection ends within a second."""
    return any(
        not s.drain_sources and now < s.ejected_until <= now + 1.0
        for s in pool.servers.values()
    )


def grant_waiting(pool, now):
    """Grants free slots to queued requests, one tenant after the other.

    Args:
        pool: SlotPool.
        now: Current time (s, monotonic).

    Returns:
        Tuple of the list of (Waiter, Grant) and the list of Waiters to refuse,
        because their wait has ended or no free slot may be used for them.
    """
    expired = drop_expired(pool.queue, now) if pool.queue.size else []
    served = []
    while pool.queue.size and free_slots(pool, now) > 0:
        waiter = pop_next(pool.queue)
        grant = try_grant(pool, waiter.request, now)
        if grant is None:
            # Only servers that this request must avoid have free slots.
            expired.append(waiter)
            continue
        served.append((waiter, grant))
    return served, expired


def release_grant(pool, grant_id, outcome, elapsed_ms, now):
    """Releases a slot and records how its request ended.

    Args:
        pool: SlotPool.
        grant_id: Id of the grant; unknown ids are ignored.
        outcome: Outcome of the schema's Release message.
        elapsed_ms: Time on the backend server (ms).
        now: Current time (s, monotonic).

    Returns:
        Fingerprint that is now in quarantine because of this crash, or None.
    """
    grant = pool.grants.pop(grant_id, None)
    if grant is None:
        return None
    server = grant.server
    server.granted -= 1
    record_outcome(server, outcome, elapsed_ms, now)
    if outcome == "ok" and grant.request.fingerprint:
        record_success(pool.crashes, grant.request.fingerprint, now)
    if outcome != "crashed":
        return None
    name = server.entry.server_id
    others = {g.request.fingerprint for g in pool.grants.values() if g.server is server}
    suspects = {f for f in others | {grant.request.fingerprint} if f}
    return record_crash(pool.crashes, name, suspects, now)


def expire_grants(pool, now):
    """Reclaims the slots whose holder did not release them in time.

    Args:
        pool: SlotPool.
        now: Current time (s, monotonic).

    Returns:
        Number of slots reclaimed.
    """
    expired = [g for g in pool.grants.values() if g.expires_at <= now]
    for grant in expired:
        del pool.grants[grant.grant_id]
        grant.server.granted -= 1
    return len(expired)


def adopt_grant(pool, server_id, grant_id, request, now):
    """Adds a grant that a former dispatcher made.

    Args:
        pool: SlotPool.
        server_id: Backend server name; unknown ones are ignored.
        grant_id: Id that the former dispatcher gave it; known ones are ignored.
        request: SlotRequest with the holder and the remaining hold time.
        now: Current time (s, monotonic).
    """
    server = pool.servers.get(server_id)
    if server is None or grant_id in pool.grants:
        return
    pool.grants[grant_id] = Grant(grant_id, server, request, now + request.hold_s)
    _count_granted(server)
