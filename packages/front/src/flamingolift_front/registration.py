"""Registers an instance in the store under a lease and renews that lease."""

import asyncio
import contextlib

from flamingolift_model import FaultError
from flamingolift_model.plan import InstanceEntry

from flamingolift_front.state import Lease
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

ERA_SPREAD_S = 0.5
"""Time over which the instances register again after the store was restored (s)."""


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
        handover_port=cfg.handover_port,
        started_ms=front.incarnation,
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
            await _sleep_in_era(front, pause * front.rng.uniform(0.9, 1.1))
    finally:
        front.tasks.add(asyncio.ensure_future(resign(front, lease)))


async def _sleep_in_era(front, pause_s):
    """Sleeps; shorter when the store has been restored, as its leases are gone."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(pause_s):
            await front.view.era_changed.wait()
            await asyncio.sleep(front.rng.uniform(0.0, ERA_SPREAD_S))


async def _renew_or_register(front, lease):
    """Renews the lease or registers anew; returns the valid Lease."""
    if lease is not None and lease.era == front.view.era and _is_listed(front):
        renewing = front.store.renew(lease.lease_id)
        renewed = await call_store(front, "renew", renewing)
        if renewed and lease.era == front.view.era:
            return lease
    era = front.view.era
    registering = front.store.register(own_entry(front), LEASE_TTL_S)
    lease_id = await call_store(front, "register", registering)
    # The first call of all tells the era. Later, a lease that was granted before the
    # store was restored is none of the new era.
    return Lease(lease_id, era or front.view.era)


def _is_listed(front):
    """Returns whether the instance's entry is in its view, or the view is unknown."""
    return front.cfg.instance_id in front.view.instances or front.view.revision is None


async def resign(front, lease):
    """Removes the instance's entry, so that look-ups no longer return this instance.

    Args:
        front: Front.
        lease: Lease of the entry, or None. One of an earlier era is left alone, as the
            store may have given its id to another instance.
    """
    if lease is None or lease.era != front.view.era:
        return
    try:
        await call_store(front, "resign", front.store.resign(lease.lease_id))
    except FaultError:
        # The entry is removed when its lease expires.
        front.metrics.store_calls.labels("resign", "given_up").inc()
