"""The planner: computes the weights of the sites and writes them as the next plan.

A lease in the store elects one relay of the fleet as the planner.
"""

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
from flamingolift_daemon.relay import LOAD_PREFIX, own_domain_relays

__all__ = ["PlannerState", "run_planner"]

LEASE_KEY = "lease/planner"
PLAN_KEY = "config/plan"


class PlannerState:
    """State that a planner keeps between two plans.

    Attributes:
        lease_id: Lease held, or None.
        measured_at: Map of service to the time of its last complete load measurement
            (s, monotonic).
        kept_rows: Map of service to the target rows of that measurement.
        kept_grants: Map of service to the evacuation grants of that measurement.
        started_at: Time at which the planner started or last acquired the lease (s,
            monotonic).
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

    Runs until cancelled. The lease only avoids duplicate work; correctness does not
    depend on it. Two planners cannot overwrite each other, since a plan is written by
    compare-and-swap over the plan that it was computed from, and each instance enforces
    the cap on moved callers itself (`shifts.advance_rows`).
    """
    state = PlannerState(instance.clock.now())
    while True:
        await asyncio.sleep(instance.cfg.plan_interval_s)
        relays = own_domain_relays(instance)
        if instance.policy is None or not relays:
            continue
        if relays[0] != instance.cfg.instance_id:
            state.lease_id = None
            continue
        if await _acquire_or_renew_lease(instance, state):
            await _plan_once(instance, state)


async def _acquire_or_renew_lease(instance, state):
    """Renews the lease, or acquires it if it is free; returns whether it is held."""
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
    """Reads the plan and the load reports, and writes the next plan if one is due."""
    stored_plan = await get_value(instance.store, PLAN_KEY)
    if stored_plan.is_error():
        return
    current = Plan(number=0, policy_number=0, rows={})
    if stored_plan.ok.revision:
        decoded = decode_document(Plan, stored_plan.ok.body)
        if decoded.is_error():
            logger.error("plan_unreadable", extra={"detail": decoded.error.detail})
            return
        current = decoded.ok
    reports = await _read_reports(instance)
    rows, grants = _compute_targets(instance, state, current, reports)
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
    written = await put_value(instance.store, PLAN_KEY, body, stored_plan.ok.revision)
    if written.is_ok():
        count(instance.metrics, "plans.written")
        return
    # A lost answer needs no special handling: the next round reads the stored plan,
    # which records the spent budget if this write took effect.
    lost = written.error.code == ResultCode.STORE_UNAVAILABLE
    count(instance.metrics, "plans.uncertain" if lost else "plans.conflicts")


async def _read_reports(instance):
    """Returns the readable LoadReports in the store; an empty list on a failure."""
    listed = await list_values(instance.store, LOAD_PREFIX)
    if listed.is_error():
        return []
    decoded = [decode_document(LoadReport, value.body) for value in listed.ok]
    return [report.ok for report in decoded if report.is_ok()]


def _compute_targets(instance, state, current, reports):
    """Returns the target rows and evacuation grants of all services.

    A measurement is complete when each failure domain in service has reported.
    Without one, a service keeps its last target rows, or the rows in force; after
    ease_after_s it returns to the default rows. Missing reports are not extrapolated.
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
            computed_rows = target_rows(
                load, policy.policy.objective, shift.max_utilization
            )
            state.kept_rows[service] = computed_rows or defaults[service]
            state.kept_grants[service] = evacuation_grants(load, shift.max_utilization)
            state.measured_at[service] = now
        measurement_age_s = now - state.measured_at.get(service, state.started_at)
        if measurement_age_s > shift.ease_after_s:
            state.kept_rows.pop(service, None)
        held = current.rows.get(service) or defaults[service]
        fallback_rows = (
            defaults[service] if measurement_age_s > shift.ease_after_s else held
        )
        rows[service] = state.kept_rows.get(service, fallback_rows)
        kept = current.grants.get(service, {})
        grants[service] = state.kept_grants.get(service, kept)
    overrides = weight_overrides(policy, instance.clock.wall())
    return override_rows(rows, overrides), grants
