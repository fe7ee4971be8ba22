"""Bounded queue with round-robin scheduling between tenants."""

import collections

__all__ = ["FairQueue", "drop_expired", "pop_next", "push_waiter", "remove_waiter"]


class Waiter:
    """One request queued for a slot.

    Attributes:
        tenant: Tenant of the request.
        give_up_at: Time at which it stops waiting (s, monotonic).
        request: SlotRequest of the waiter.
        token: Opaque value of the function's caller, for example a future.
    """

    __slots__ = ("give_up_at", "request", "tenant", "token")

    def __init__(self, tenant, give_up_at, request, token):
        self.tenant = tenant
        self.give_up_at = give_up_at
        self.request = request
        self.token = token


class FairQueue:
    """Queue of waiters that serves the tenants in rotation.

    Attributes:
        capacity: Largest number of waiters.
        tenant_share: Largest share of `capacity` for one tenant (ratio).
        by_tenant: Ordered map of tenant to a deque of its waiters; the tenant to
            serve next comes first.
        size: Number of waiters.
    """

    __slots__ = ("by_tenant", "capacity", "size", "tenant_share")

    def __init__(self, capacity, tenant_share):
        self.capacity = capacity
        self.tenant_share = tenant_share
        self.by_tenant = collections.OrderedDict()
        self.size = 0


def push_waiter(queue, tenant, give_up_at, request, token):
    """Appends a waiter unless the queue or its tenant's share of it is full.

    Args:
        queue: FairQueue.
        tenant: Tenant of the request.
        give_up_at: Time at which it stops waiting (s, monotonic).
        request: SlotRequest of the waiter.
        token: Opaque value returned with the waiter.

    Returns:
        The Waiter, or None when the request must be refused.
    """
    held = queue.by_tenant.get(tenant)
    tenant_limit = max(1, int(queue.capacity * queue.tenant_share))
    if queue.size >= queue.capacity or (held and len(held) >= tenant_limit):
        return None
    waiter = Waiter(tenant, give_up_at, request, token)
    queue.by_tenant.setdefault(tenant, collections.deque()).append(waiter)
    queue.size += 1
    return waiter


def pop_next(queue):
    """Removes and returns the oldest waiter of the tenant to serve next.

    Args:
        queue: FairQueue.

    Returns:
        A Waiter, or None when the queue is empty.
    """
    if not queue.by_tenant:
        return None
    tenant, held = next(iter(queue.by_tenant.items()))
    waiter = held.popleft()
    queue.size -= 1
    if held:
        queue.by_tenant.move_to_end(tenant)
    else:
        del queue.by_tenant[tenant]
    return waiter


def remove_waiter(queue, waiter):
    """Removes a waiter whose request was cancelled.

    Args:
        queue: FairQueue.
        waiter: Waiter that `push_waiter` returned; absent ones are ignored.
    """
    held = queue.by_tenant.get(waiter.tenant)
    if held is None or waiter not in held:
        return
    held.remove(waiter)
    queue.size -= 1
    if not held:
        del queue.by_tenant[waiter.tenant]


def drop_expired(queue, now):
    """Removes the waiters whose time to wait has ended.

    Args:
        queue: FairQueue.
        now: Current time (s, monotonic).

    Returns:
        List of the removed Waiters.
    """
    expired = [
        waiter
        for held in queue.by_tenant.values()
        for waiter in held
        if waiter.give_up_at <= now
    ]
    for waiter in expired:
        remove_waiter(queue, waiter)
    return expired
