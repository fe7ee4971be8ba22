"""The dispatcher's side of slots: it grants them to the instances that ask.

The slots of a service in a region form a pool, which one instance dispatches.
"""

import asyncio
import secrets

from expression import Error, Ok
from flamingolift_decisions.fairness import remove_waiter
from flamingolift_decisions.policyrules import drained_servers, server_limits
from flamingolift_decisions.pool import (
    Grant,
    SlotPool,
    SlotRequest,
    adopt_grant,
    expire_grants,
    grant_or_queue,
    grant_waiting,
    release_grant,
    sync_servers,
)
from flamingolift_decisions.quarantine import add_quarantine, remaining_quarantine_s
from flamingolift_decisions.topology import choose_dispatcher
from flamingolift_model import Fault, ResultCode, peer

from flamingolift_daemon.heartbeats import broadcast
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import send_message

__all__ = [
    "acquire_locally",
    "handle_acquire",
    "handle_holdings",
    "handle_quarantine",
    "handle_release",
    "release_dead_holders",
    "release_in_pool",
    "run_pools",
]

RECOVERY_S = 1.0
"""Time for which a new dispatcher withholds half of the slots (s)."""
POOL_INTERVAL_S = 0.02
"""Interval at which waiters that timed out are refused (s)."""
CLOSE_EMPTY_AFTER_S = 3.0
"""Age from which an empty pool is closed if another instance dispatches it (s)."""


def _get_or_open_pool(instance, service_name, region):
    """Returns a pool that this instance dispatches, opening it on first use.

    None if the policy has no such service.
    """
    pool = instance.pools.get((service_name, region))
    if pool is not None:
        return pool
    service = instance.policy.services.get(service_name)
    if service is None:
        return None
    now = instance.clock.now()
    # Grant ids are unique across dispatchers, so that a slot granted by a former
    # dispatcher can be adopted and released under its id.
    first_id = secrets.randbits(40) << 20
    pool = SlotPool(service, first_id, now, RECOVERY_S)
    pool.crashes = instance.crash_log
    instance.pools[service_name, region] = pool
    _sync_pool(instance, pool, service_name, region)
    logger.info("pool_opened", extra={"service": service_name, "region": region})
    return pool


def _sync_pool(instance, pool, service_name, region):
    entries = [
        e
        for e in (instance.live_list.backend_servers if instance.live_list else [])
        if e.service == service_name and e.region == region
    ]
    wall = instance.clock.wall()
    drained = drained_servers(instance.policy, entries, wall)
    limits = server_limits(instance.policy, entries, wall)
    service = instance.policy.services[service_name]
    sync_servers(pool, service, entries, drained, limits, instance.clock.now())


def _grant_message(grant):
    entry = grant.server.entry
    return peer.Grant(
        grant_id=grant.grant_id,
        server_id=entry.server_id,
        host=entry.host,
        port=entry.port,
    )


def _refusal_message(fault):
    return peer.Refusal(
        code=fault.code, detail=fault.detail, retry_after_ms=fault.retry_after_ms
    )


def handle_acquire(instance, link, message, call_id):
    """Grants a slot to a peer, at once or when one becomes free, or refuses it."""
    if instance.policy is None:
        return _refusal_message(Fault(ResultCode.NOT_READY, "no policy"))
    region = instance.cfg.region
    pool = _get_or_open_pool(instance, message.service, region)
    if pool is None:
        return _refusal_message(Fault(ResultCode.BAD_REQUEST, "unknown service"))

    def resolve(outcome):
        """Sends a Grant or a Fault; returns whether it was handed to the stream."""
        answer = (
            _grant_message(outcome)
            if isinstance(outcome, Grant)
            else _refusal_message(outcome)
        )
        return send_message(link, answer, reply_to=call_id)

    request = SlotRequest(
        link.remote_id,
        message.tenant,
        message.fingerprint,
        message.hold_ms / 1000.0,
        message.avoid,
        is_cross_region=_is_cross_region(instance, link.remote_id),
    )
    wait_s = message.wait_ms / 1000.0
    queued = grant_or_queue(pool, request, wait_s, resolve, instance.clock.now())
    if queued.is_error():
        return _refusal_message(queued.error)
    return _grant_message(queued.ok) if isinstance(queued.ok, Grant) else None


def _is_cross_region(instance, name):
    """Returns whether an instance is known to be in another region.

    An instance that is not in the membership counts as one of this region.
    """
    entry = instance.view.entries.get(name)
    return entry is not None and entry.region != instance.cfg.region


def handle_release(instance, link, message, call_id):
    """Releases a slot that a peer no longer uses."""
    release_in_pool(
        instance,
        message.service,
        instance.cfg.region,
        message.grant_id,
        message.outcome,
        message.elapsed_ms,
    )


def release_in_pool(instance, service, region, grant_id, outcome, elapsed_ms):
    """Releases a slot of a pool dispatched here, and serves its waiters.

    A request that is found to crash backend servers is quarantined.
    """
    pool = instance.pools.get((service, region))
    if pool is None:
        return
    now = instance.clock.now()
    quarantined_fingerprint = release_grant(pool, grant_id, outcome, elapsed_ms, now)
    if quarantined_fingerprint is not None:
        logger.warning(
            "request_quarantined", extra={"fingerprint": quarantined_fingerprint}
        )
        count(instance.metrics, "quarantine.decided")
        _broadcast_quarantine(instance, quarantined_fingerprint)
    _serve_waiters(instance, pool)


def _serve_waiters(instance, pool):
    """Grants free slots to waiters and refuses those that waited too long."""
    now = instance.clock.now()
    served, expired = grant_waiting(pool, now)
    for waiter, grant in served:
        if not waiter.token(grant):
            release_grant(pool, grant.grant_id, "cancelled", 0.0, now)
    for waiter in expired:
        waiter.token(Fault(ResultCode.OVERLOADED, "no slot became free", 1000))


def _broadcast_quarantine(instance, fingerprint, excluded_link=None):
    left_s = remaining_quarantine_s(
        instance.crash_log, fingerprint, instance.clock.now()
    )
    message = peer.Quarantine(fingerprint=fingerprint, remaining_ms=int(left_s * 1000))
    broadcast(instance, message, excluded_link)


def handle_quarantine(instance, link, message, call_id):
    """Adopts a quarantine announced by a peer, and forwards it if it is new."""
    now = instance.clock.now()
    is_new = add_quarantine(
        instance.crash_log, message.fingerprint, message.remaining_ms / 1000.0, now
    )
    if is_new:
        count(instance.metrics, "quarantine.heard")
        _broadcast_quarantine(instance, message.fingerprint, link)


def handle_holdings(instance, link, message, call_id):
    """Adopts the slots that a peer holds from a former dispatcher."""
    if instance.policy is None:
        return _refusal_message(Fault(ResultCode.NOT_READY, "no policy"))
    pool = _get_or_open_pool(instance, message.service, instance.cfg.region)
    if pool is None:
        return _refusal_message(Fault(ResultCode.BAD_REQUEST, "unknown service"))
    now = instance.clock.now()
    for held in message.slots:
        request = SlotRequest(link.remote_id, "", "", held.hold_ms / 1000.0)
        adopt_grant(pool, held.server_id, held.grant_id, request, now)
    return peer.Acknowledgement()


def release_dead_holders(instance, names):
    """Releases the slots held by dead instances.

    Args:
        instance: Instance.
        names: Set of names of the dead instances.
    """
    now = instance.clock.now()
    for pool in instance.pools.values():
        for grant in list(pool.grants.values()):
            if grant.request.holder in names:
                release_grant(pool, grant.grant_id, "cancelled", 0.0, now)
        _serve_waiters(instance, pool)


def _should_close(instance, pool, service, region, now):
    """Returns whether a pool can be closed.

    Without grants and waiters, it closes at its dispatcher once the policy has dropped
    the service, and at any other instance once it is old enough.
    """
    if pool.grants or pool.queue.size:
        return False
    dispatcher = choose_dispatcher(instance.serving, service, region)
    if dispatcher is not None and dispatcher.instance_id == instance.cfg.instance_id:
        return service not in instance.policy.services
    return now - pool.started_at > CLOSE_EMPTY_AFTER_S


async def run_pools(instance):
    """Refuses waiters that timed out, and applies new policies and live lists.

    Runs until cancelled. At least once a second, pools are also synchronised, since
    drains and limits may depend on the time, and expired grants are reclaimed.
    """
    synced = None
    while True:
        await asyncio.sleep(POOL_INTERVAL_S)
        now = instance.clock.now()
        state = (
            instance.policy.number if instance.policy else -1,
            instance.live_list.number if instance.live_list else -1,
            int(now),
        )
        for (service, region), pool in list(instance.pools.items()):
            if state != synced:
                if _should_close(instance, pool, service, region, now):
                    del instance.pools[service, region]
                    continue
                if service not in instance.policy.services:
                    continue
                _sync_pool(instance, pool, service, region)
                expired = expire_grants(pool, now)
                count(instance.metrics, "slots.expired", expired)
            if pool.queue.size:
                _serve_waiters(instance, pool)
        synced = state


async def acquire_locally(
    instance, service, region, tenant, fingerprint, wait_s, hold_s, avoid
):
    """Acquires a slot from a pool that this instance dispatches itself.

    Takes the arguments of `slots.acquire_slot` and returns Ok with a Grant message,
    or Error with a Fault.
    """
    pool = _get_or_open_pool(instance, service, region)
    if pool is None:
        return Error(Fault(ResultCode.BAD_REQUEST, f"unknown service {service}"))
    future = asyncio.get_running_loop().create_future()

    def resolve(outcome):
        """Passes on a Grant or a Fault; returns whether the request still waits."""
        if future.done():
            return False
        future.set_result(outcome)
        return True

    holder = instance.cfg.instance_id
    request = SlotRequest(holder, tenant, fingerprint, hold_s, avoid)
    queued = grant_or_queue(pool, request, wait_s, resolve, instance.clock.now())
    if queued.is_error():
        return queued
    if isinstance(queued.ok, Grant):
        return Ok(_grant_message(queued.ok))
    try:
        outcome = await future
    except asyncio.CancelledError:
        remove_waiter(pool.queue, queued.ok)
        if future.done() and not future.cancelled():
            _return_grant(instance, pool, future.result())
        raise
    return Ok(_grant_message(outcome)) if isinstance(outcome, Grant) else Error(outcome)


def _return_grant(instance, pool, outcome):
    """Releases a grant that arrived for a cancelled request."""
    if isinstance(outcome, Grant):
        now = instance.clock.now()
        release_grant(pool, outcome.grant_id, "cancelled", 0.0, now)
        _serve_waiters(instance, pool)
