"""Registers an instance in the store under a lease and renews that lease."""

import asyncio

from flamingolift_model import FaultError
from flamingolift_model.plan import InstanceEntry

from flamingolift_front.viewsync import call_store

__all__ = ["maintain_registration", "own_entry", "resign"]

LEASE_TTL_S = 4.0
"""Time to live of the entry's lease (s): a crashed instance leaves the look-ups before
callers' cached look-ups expire."""
RENEW_INTERVAL_S = 1.5
"""Interval between renewals (s): two may fail before the lease expires."""
RETRY_MIN_S = 0.5
"""First backoff after a failed call (s)."""
RETRY_MAX_S = 1.5
"""Longest backoff after failed calls (s): an entry whose lease expired in a store
outage is registered again before other instances carry out its deferred removal."""


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
        link_mbps=cfg.link_mbps,
    )


async def maintain_registration(front):
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
    """Renews the lease or registers anew; returns the valid lease."""
    renewable = lease is not None and _is_listed(front)
    if renewable and await call_store(front, "renew", front.store.renew(lease)):
        return lease
    entry = own_entry(front)
    return await call_store(front, "register", front.store.register(entry, LEASE_TTL_S))


def _is_listed(front):
    """Returns whether the instance's entry is in its view, or the view is unknown."""
    return front.cfg.instance_id in front.view.instances or front.view.revision is None


async def resign(front, lease):
    """Removes the instance's entry, so that look-ups no longer return this instance.

    Args:
        front: Front.
        lease: Lease of the entry, or None.
    """
    if lease is None:
        return
    try:
        await call_store(front, "resign", front.store.resign(lease))
    except FaultError:
        # The entry is removed when its lease expires.
        front.metrics.store_calls.labels("resign", "given_up").inc()
