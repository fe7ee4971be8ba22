"""The dispatcher's side: it grants the slots of the pools that it dispatches."""

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
    "ask_pool",
    "handle_acquire",
    "handle_holdings",
    "handle_quarantine",
    "handle_release",
    "release_holders",
    "release_in_pool",
    "run_pools",
]

RECOVERY_S = 1.0
"""Time in which a new dispatcher holds back half of the slots (s)."""
PUMP_INTERVAL_S = 0.02
"""Time between looks at waiters whose time is up (s)."""
RETIRE_AFTER_S = 3.0
"""Age from which an empty pool is closed where another instance dispatches (s)."""


def _pool_of(instance, service_name, region):
    """Returns the pool that this instance dispatches, making it if need be."""
    pool = instance.pools.get((service_name, region))
    if pool is not None:
        return pool
    service = instance.policy.services.get(service_name)
    if service is None:
        return None
    now = instance.clock.now()
    # Grant ids are unique over all dispatchers, so that a slot granted by a
    # former one can be entered and released under its own id.
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


def _as_message(grant):
    entry = grant.server.entry
    return peer.Grant(
        grant_id=grant.grant_id,
        server_id=entry.server_id,
        host=entry.host,
        port=entry.port,
    )


def _as_refusal(fault):
    return peer.Refusal(
        code=fault.code, detail=fault.detail, retry_after_ms=fault.retry_after_ms
    )


def handle_acquire(instance, link, message, call_id):
    """Answers a peer that asks for a slot, now or when one is free."""
    if instance.policy is None:
        return _as_refusal(Fault(ResultCode.NOT_READY, "no policy"))
    region = instance.cfg.region
    pool = _pool_of(instance, message.service, region)
    if pool is None:
        return _as_refusal(Fault(ResultCode.BAD_REQUEST, "unknown service"))

    def resolve(outcome):
        """Sends the outcome; returns whether the stream took it."""
        answer = (
            _as_message(outcome) if isinstance(outcome, Grant) else _as_refusal(outcome)
        )
        return send_message(link, answer, reply_to=call_id)

    request = SlotRequest(
        link.remote_id,
        message.tenant,
        message.fingerprint,
        message.hold_ms / 1000.0,
        message.avoid,
        is_cross_region=_is_foreign(instance, link.remote_id),
    )
    wait_s = message.wait_ms / 1000.0
    queued = grant_or_queue(pool, request, wait_s, resolve, instance.clock.now())
    if queued.is_error():
        return _as_refusal(queued.error)
    return _as_message(queued.ok) if isinstance(queued.ok, Grant) else None


def _is_foreign(instance, name):
    """Returns whether an instance is known to be in another region."""
    entry = instance.view.entries.get(name)
    return entry is not None and entry.region != instance.cfg.region


def handle_release(instance, link, message, call_id):
    """Takes back a slot that a peer no longer uses."""
    release_in_pool(
        instance,
        message.service,
        instance.cfg.region,
        message.grant_id,
        message.outcome,
        message.elapsed_ms,
    )


def release_in_pool(instance, service, region, grant_id, outcome, elapsed_ms):
    """Takes a slot back into a pool dispatched here, and serves who waits."""
    pool = instance.pools.get((service, region))
    if pool is None:
        return
    now = instance.clock.now()
    guilty = release_grant(pool, grant_id, outcome, elapsed_ms, now)
    if guilty is not None:
        logger.warning("request_quarantined", extra={"fingerprint": guilty})
        count(instance.metrics, "quarantine.decided")
        _tell_quarantine(instance, guilty)
    _pump(instance, pool)


def _pump(instance, pool):
    """Hands free slots to waiters and refuses those that waited too long."""
    now = instance.clock.now()
    served, expired = grant_waiting(pool, now)
    for waiter, grant in served:
        if not waiter.token(grant):
            release_grant(pool, grant.grant_id, "cancelled", 0.0, now)
    for waiter in expired:
        waiter.token(Fault(ResultCode.OVERLOADED, "no slot became free", 1000))


def _tell_quarantine(instance, fingerprint, except_link=None):
    left_s = remaining_quarantine_s(
        instance.crash_log, fingerprint, instance.clock.now()
    )
    message = peer.Quarantine(fingerprint=fingerprint, remaining_ms=int(left_s * 1000))
    broadcast(instance, message, except_link)


def handle_quarantine(instance, link, message, call_id):
    """Takes over a neighbour's quarantine and passes it on once."""
    now = instance.clock.now()
    fresh = add_quarantine(
        instance.crash_log, message.fingerprint, message.remaining_ms / 1000.0, now
    )
    if fresh:
        count(instance.metrics, "quarantine.heard")
        _tell_quarantine(instance, message.fingerprint, link)


def handle_holdings(instance, link, message, call_id):
    """Enters the slots that a peer holds from a former dispatcher."""
    if instance.policy is None:
        return _as_refusal(Fault(ResultCode.NOT_READY, "no policy"))
    pool = _pool_of(instance, message.service, instance.cfg.region)
    if pool is None:
        return _as_refusal(Fault(ResultCode.BAD_REQUEST, "unknown service"))
    now = instance.clock.now()
    for held in message.slots:
        request = SlotRequest(link.remote_id, "", "", held.hold_ms / 1000.0)
        adopt_grant(pool, held.server_id, held.grant_id, request, now)
    return peer.Acknowledgement()


def release_holders(instance, names):
    """Takes back the slots of instances that died."""
    now = instance.clock.now()
    for pool in instance.pools.values():
        for grant in list(pool.grants.values()):
            if grant.request.holder in names:
                release_grant(pool, grant.grant_id, "cancelled", 0.0, now)
        _pump(instance, pool)


def _is_retired(instance, pool, service, region, now):
    """Returns whether another instance dispatches, and this pool is empty."""
    chosen = choose_dispatcher(instance.serving, service, region)
    if chosen is not None and chosen.instance_id == instance.cfg.instance_id:
        return service not in instance.policy.services and not pool.grants
    idle = not pool.grants and not pool.queue.size
    return idle and now - pool.started_at > RETIRE_AFTER_S


async def run_pools(instance):
    """Refuses late waiters and takes over list and policy changes, for ever."""
    synced = None
    while True:
        await asyncio.sleep(PUMP_INTERVAL_S)
        now = instance.clock.now()
        state = (
            instance.policy.number if instance.policy else -1,
            instance.live_list.number if instance.live_list else -1,
            int(now),
        )
        for (service, region), pool in list(instance.pools.items()):
            if state != synced:
                if _is_retired(instance, pool, service, region, now):
                    del instance.pools[service, region]
                    continue
                if service not in instance.policy.services:
                    continue
                _sync_pool(instance, pool, service, region)
                expired = expire_grants(pool, now)
                count(instance.metrics, "slots.expired", expired)
            if pool.queue.size:
                _pump(instance, pool)
        synced = state


async def ask_pool(
    instance, service, region, tenant, fingerprint, wait_s, hold_s, avoid
):
    """Gets a slot from a pool that this instance dispatches itself.

    Takes the arguments of `slots.acquire_slot` and returns Ok with a Grant message,
    or Error with a Fault.
    """
    pool = _pool_of(instance, service, region)
    if pool is None:
        return Error(Fault(ResultCode.BAD_REQUEST, f"unknown service {service}"))
    future = asyncio.get_running_loop().create_future()

    def resolve(outcome):
        """Hands over the outcome; returns whether somebody still waits."""
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
        return Ok(_as_message(queued.ok))
    try:
        outcome = await future
    except asyncio.CancelledError:
        remove_waiter(pool.queue, queued.ok)
        if future.done() and not future.cancelled():
            _return_grant(instance, pool, future.result())
        raise
    return Ok(_as_message(outcome)) if isinstance(outcome, Grant) else Error(outcome)


def _return_grant(instance, pool, outcome):
    """Gives back a grant that arrived for a request that was cancelled."""
    if isinstance(outcome, Grant):
        now = instance.clock.now()
        release_grant(pool, outcome.grant_id, "cancelled", 0.0, now)
        _pump(instance, pool)
