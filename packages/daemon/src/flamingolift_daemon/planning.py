"""The planner: one relay at a time, by a lease, writes the next plan."""

import asyncio
import secrets

from flamingolift_decisions.planner import (
    default_rows,
    evacuation_grants,
    make_plan,
    override_rows,
    summarize_load,
    target_rows,
)
from flamingolift_decisions.policyrules import weight_overrides
from flamingolift_decisions.topology import sites_by_region
from flamingolift_model import ResultCode
from flamingolift_model.plan import LoadReport, Plan
from flamingolift_wire.codec import decode_document, encode_document
from flamingolift_wire.storeclient import (
    create_lease,
    get_value,
    list_values,
    put_value,
    renew_lease,
)

from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.relay import LOAD_PREFIX, my_relays

__all__ = ["PlannerState", "run_planner"]

LEASE_KEY = "lease/planner"
PLAN_KEY = "config/plan"


class PlannerState:
    """What a planner keeps between two decisions.

    Attributes:
        lease_id: Lease held, or None.
        measured_at: Map of service to the time of its last whole measurement (s,
            monotonic).
        kept_rows: Map of service to its last measured target rows.
        kept_grants: Map of service to its last evacuation grants.
        started_at: Start of the planner (s, monotonic).
    """

    __slots__ = ("kept_grants", "kept_rows", "lease_id", "measured_at", "started_at")

    def __init__(self, now):
        self.lease_id = None
        self.measured_at = {}
        self.kept_rows = {}
        self.kept_grants = {}
        self.started_at = now


async def run_planner(instance):
    """Plans while this instance is its domain's first relay and holds the lease.

    The lease only saves work. Two planners cannot overwrite each other, since a
    plan is written by compare-and-swap over the one that it was made from; and the
    cap is held by each instance itself (`shifts.advance_rows`).
    """
    state = PlannerState(instance.clock.now())
    while True:
        await asyncio.sleep(instance.cfg.plan_interval_s)
        relays = my_relays(instance)
        if instance.policy is None or not relays:
            continue
        if relays[0] != instance.cfg.instance_id:
            state.lease_id = None
            continue
        if await _hold_lease(instance, state):
            await _plan_once(instance, state)


async def _hold_lease(instance, state):
    """Renews the lease, or tries to take it over; returns whether it is held."""
    store = instance.store
    if state.lease_id is not None:
        kept = await renew_lease(store, state.lease_id)
        if kept.is_ok() and kept.ok:
            return True
        state.lease_id = None
        logger.info("planner_lease_lost")
        return False
    current = await get_value(store, LEASE_KEY)
    if current.is_error() or current.ok.revision:
        return False
    lease = await create_lease(store, instance.cfg.lease_ttl_s)
    if lease.is_error():
        return False
    body = instance.cfg.instance_id.encode()
    taken = await put_value(store, LEASE_KEY, body, 0, lease_id=lease.ok)
    if taken.is_error():
        return False
    state.lease_id = lease.ok
    state.started_at = instance.clock.now()
    logger.info("planner_lease_taken")
    return True


async def _plan_once(instance, state):
    """Reads the plan and the load, and writes the next plan if one is due."""
    stored = await get_value(instance.store, PLAN_KEY)
    if stored.is_error():
        return
    current = Plan(number=0, policy_number=0, rows={})
    if stored.ok.revision:
        decoded = decode_document(Plan, stored.ok.body)
        if decoded.is_error():
            logger.error("plan_unreadable", extra={"detail": decoded.error.detail})
            return
        current = decoded.ok
    reports = await _read_reports(instance)
    rows, grants = _targets(instance, state, current, reports)
    planned = make_plan(
        current,
        rows,
        grants,
        instance.policy.number,
        instance.policy.policy.shift,
        instance.clock.wall(),
        instance.cfg.instance_id,
        secrets.token_hex(8),
    )
    if planned is None:
        return
    body = encode_document(planned)
    written = await put_value(instance.store, PLAN_KEY, body, stored.ok.revision)
    if written.is_ok():
        count(instance.metrics, "plans.written")
        return
    # A lost answer needs no care here: the next turn reads what is stored, and
    # the budget of a write that took effect is in it.
    lost = written.error.code == ResultCode.STORE_UNAVAILABLE
    count(instance.metrics, "plans.uncertain" if lost else "plans.conflicts")


async def _read_reports(instance):
    """Returns the LoadReports in the store, or an empty list."""
    listed = await list_values(instance.store, LOAD_PREFIX)
    if listed.is_error():
        return []
    decoded = [decode_document(LoadReport, value.body) for value in listed.ok]
    return [report.ok for report in decoded if report.is_ok()]


def _targets(instance, state, current, reports):
    """Returns the target rows and grants of all services.

    A service without a whole measurement keeps the rows in force; after a while
    it eases back to the default. Nothing is guessed upward.
    """
    policy = instance.policy
    shift = policy.policy.shift
    now = instance.clock.now()
    sites = sites_by_region(
        {n: e for n, e in instance.view.entries.items() if e.state == "live"}
    )
    regions = [region.name for region in policy.policy.regions]
    defaults = default_rows(list(policy.services), regions, sites)
    domains = {e.failure_domain for e in instance.serving.values()}
    live = [r for r in reports if r.failure_domain in domains]
    complete = {r.failure_domain for r in live} >= domains
    rows, grants = {}, {}
    for service in policy.services:
        load = None
        if complete:
            load = summarize_load(
                live, service, sites, instance.clock.wall(), shift.stale_after_s
            )
        if load is not None and load.capacity:
            wanted = target_rows(load, policy.policy.objective, shift.max_utilization)
            state.kept_rows[service] = wanted or defaults[service]
            state.kept_grants[service] = evacuation_grants(load, shift.max_utilization)
            state.measured_at[service] = now
        age = now - state.measured_at.get(service, state.started_at)
        if age > shift.ease_after_s:
            state.kept_rows.pop(service, None)
        held = current.rows.get(service) or defaults[service]
        eased = defaults[service] if age > shift.ease_after_s else held
        rows[service] = state.kept_rows.get(service, eased)
        kept = current.grants.get(service, {})
        grants[service] = state.kept_grants.get(service, kept)
    overrides = weight_overrides(policy, instance.clock.wall())
    return override_rows(rows, overrides), grants
