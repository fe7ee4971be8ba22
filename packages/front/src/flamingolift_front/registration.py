"""Keeps an instance's own entry in the store under a lease."""

import asyncio

from flamingolift_model import FaultError
from flamingolift_model.plan import InstanceEntry

from flamingolift_front.viewsync import call_store

__all__ = ["keep_registered", "own_entry", "resign"]

LEASE_TTL_S = 4.0
"""Time to live of the entry's lease (s): an instance that died is out of the
look-ups before callers' cached answers have run out."""
RENEW_INTERVAL_S = 1.5
"""Time between renewals (s): two may fail before the lease ends."""
RETRY_MIN_S = 0.5
"""First pause after a failed call (s)."""
RETRY_MAX_S = 1.5
"""Longest pause after failed calls (s): an entry that lapsed in an outage is back
before others stop holding it."""


def own_entry(front):
    """Returns the InstanceEntry of this instance.

    Args:
        front: Front.
    """
    cfg = front.cfg
    return InstanceEntry(
        instance_id=cfg.instance_id,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        host=cfg.host,
        caller_port=cfg.caller_port,
        peer_port=cfg.peer_port,
        operator_port=cfg.ready_port,
    )


async def keep_registered(front):
    """Registers the instance and renews its lease until it is cancelled.

    Args:
        front: Front.
    """
    lease = None
    retry_s = RETRY_MIN_S
    try:
        while True:
            try:
                lease = await _renew_or_register(front, lease)
                pause, retry_s = RENEW_INTERVAL_S, RETRY_MIN_S
            except FaultError:
                pause, retry_s = retry_s, min(RETRY_MAX_S, retry_s * 2.0)
            await asyncio.sleep(pause * front.rng.uniform(0.9, 1.1))
    finally:
        front.tasks.add(asyncio.ensure_future(resign(front, lease)))


async def _renew_or_register(front, lease):
    """Returns the lease that holds now."""
    renewable = lease is not None and _is_listed(front)
    if renewable and await call_store(front, "renew", front.store.renew(lease)):
        return lease
    entry = own_entry(front)
    return await call_store(front, "register", front.store.register(entry, LEASE_TTL_S))


def _is_listed(front):
    """Returns whether no removal of the own entry was seen."""
    return front.cfg.instance_id in front.view.instances or front.view.revision is None


async def resign(front, lease):
    """Removes the own entry, so that no look-up names this instance.

    Args:
        front: Front.
        lease: Lease of the entry, or None.
    """
    if lease is None:
        return
    try:
        await call_store(front, "resign", front.store.resign(lease))
    except FaultError:
        # The entry ends with its lease.
        front.metrics.store_calls.labels("resign", "given_up").inc()
