"""Planning of the sites' weights from load, capacity and the policy's objective.

Rows are the weights of the sites for each service and origin region.
"""

from flamingolift_model.plan import Plan, SpentEntry

from flamingolift_decisions.shifts import (
    largest_move,
    normalize,
    prune_spent,
    spent_share,
    step_toward,
)
from flamingolift_decisions.steering import UNKNOWN_ORIGIN

__all__ = [
    "FleetLoad",
    "default_rows",
    "evacuation_grants",
    "make_plan",
    "override_rows",
    "summarize_load",
    "target_rows",
]

EPSILON = 1e-9
"""Largest capacity or demand (slots) and moved fraction (ratio) that count as none."""


class FleetLoad:
    """Demand and capacity of one service, from the latest load reports.

    Attributes:
        demand: Map of origin region to the number of slots its callers keep busy.
        capacity: Map of region to the number of usable slots.
        sites: Map of region to a map of site to weight.
    """

    __slots__ = ("capacity", "demand", "sites")

    def __init__(self, demand, capacity, sites):
        self.demand = demand
        self.capacity = capacity
        self.sites = sites


def default_rows(services, regions, sites_by_region):
    """Returns the rows to use while no load has been measured.

    Args:
        services: List of service names.
        regions: List of region names.
        sites_by_region: Map of region to a map of site to weight.

    Returns:
        Rows that keep each origin in its own region and spread callers of unknown
        origin over all sites by weight.
    """
    everywhere = normalize(
        {s: w for sites in sites_by_region.values() for s, w in sites.items()}
    )
    rows = {}
    for service in services:
        by_origin = {UNKNOWN_ORIGIN: dict(everywhere)}
        for region in regions:
            own = normalize(sites_by_region.get(region, {}))
            by_origin[region] = own or dict(everywhere)
        rows[service] = by_origin
    return rows


def summarize_load(reports, service, sites_by_region, now, stale_after_s):
    """Sums up the load reports of one service.

    Args:
        reports: List of LoadReport, one for each failure domain.
        service: Service name.
        sites_by_region: Map of region to a map of site to weight.
        now: Decider's clock (s since the epoch).
        stale_after_s: Age from which a report counts as missing (s).

    Returns:
        FleetLoad, or None when there are no reports or no sites, or when a report
        is stale or dated as far into the future: a partial sum would look like a
        drop in demand.
    """
    demand, capacity = {}, {}
    fresh = [r for r in reports if now - r.measured_at + stale_after_s >= 0]
    fresh = [r for r in fresh if now - r.measured_at <= stale_after_s]
    expected = {s for sites in sites_by_region.values() for s in sites}
    if not fresh or len(fresh) < len(reports) or not expected:
        return None
    for report in fresh:
        for load in report.services:
            if load.service != service:
                continue
            for origin, slots in load.demand.items():
                demand[origin] = demand.get(origin, 0.0) + slots
            if load.is_dispatcher:
                capacity[report.region] = load.capacity
    return FleetLoad(demand, capacity, sites_by_region)


def target_rows(load, objective, max_utilization):
    """Returns the rows of one service that meet the objective.

    Args:
        load: FleetLoad of the service.
        objective: "latency" sends callers to another region only when their own
            one is filled up to `max_utilization`; "headroom" gives all regions the
            same utilization.
        max_utilization: Largest planned utilization of a region's slots (ratio).

    Returns:
        Map of origin region to site to weight. Each region's planned load is at
        most `max_utilization` of its capacity unless the total demand exceeds
        that share of the total capacity.
    """
    total_demand = sum(load.demand.values())
    total_capacity = sum(load.capacity.values())
    if total_capacity <= EPSILON:
        return {}
    even = total_demand / total_capacity
    fill = max(max_utilization, even) if objective == "latency" else even
    limit = {region: fill * slots for region, slots in load.capacity.items()}
    known = {o: d for o, d in load.demand.items() if o in load.capacity}
    kept = {o: min(demand, limit[o]) for o, demand in known.items()}
    room = {r: max(0.0, limit[r] - kept.get(r, 0.0)) for r in limit}
    spread = normalize(room) or normalize(load.capacity)
    rows = {UNKNOWN_ORIGIN: _site_row(normalize(load.capacity), load.sites)}
    for origin in load.sites:
        demand = known.get(origin, 0.0)
        if origin not in load.capacity or load.capacity[origin] <= EPSILON:
            shares = dict(spread)
        elif demand <= EPSILON:
            shares = {origin: 1.0}
        else:
            own = kept[origin] / demand
            shares = {r: (1.0 - own) * w for r, w in spread.items()}
            shares[origin] = shares.get(origin, 0.0) + own
        rows[origin] = _site_row(shares, load.sites)
    return rows


def _site_row(region_shares, sites):
    """Returns the weights of the sites, from the shares of their regions."""
    row = {}
    for region, share in region_shares.items():
        for site, weight in normalize(sites.get(region, {})).items():
            row[site] = row.get(site, 0.0) + share * weight
    return normalize(row)


def evacuation_grants(load, max_utilization):
    """Returns the share of each region's callers that the others could take over.

    Args:
        load: FleetLoad of one service.
        max_utilization: Largest planned utilization of a region's slots (ratio).

    Returns:
        Map of region to the share of its callers for whom the other regions have
        headroom (ratio), so that its loss does not overload any of them.
    """
    grants = {}
    total_demand = sum(load.demand.values())
    for region in load.sites:
        others = sum(c for r, c in load.capacity.items() if r != region)
        own = load.demand.get(region, 0.0)
        free = max_utilization * others - (total_demand - own)
        grants[region] = 1.0 if own <= EPSILON else min(1.0, max(0.0, free / own))
    return grants


def override_rows(rows, overrides):
    """Replaces planned weights by those that policy exceptions set.

    Args:
        rows: Map of service to origin region to site to weight; not modified.
        overrides: Map of (service, origin region) to weights, as
            `policyrules.weight_overrides` returns it.

    Returns:
        New rows.
    """
    changed = {service: dict(by_origin) for service, by_origin in rows.items()}
    for (service, region), weights in overrides.items():
        for name, by_origin in changed.items():
            if service and service != name:
                continue
            for origin in by_origin:
                if not region or region == origin:
                    by_origin[origin] = normalize(weights)
    return changed


def make_plan(current, rows, grants, policy_number, shift, now, decider, change_id):
    """Makes the next plan, within the unused part of the cap.

    Args:
        current: Plan in the store, which the new one replaces by compare-and-swap.
        rows: Target rows of all services.
        grants: Evacuation grants of all services.
        policy_number: Number of the policy in force.
        shift: Shift of the policy, with the cap and its window.
        now: Decider's clock (s since the epoch).
        decider: Name of the deciding instance.
        change_id: Unique id of the write.

    Returns:
        The next Plan, or None when the changes are too small for a write. The
        moved share is stored in the same value as the rows, so that the next
        decider subtracts it from the cap, whichever instance holds the lease. A
        decider that was paused may record a time in the past; each instance
        therefore enforces the cap on its own clock as well.
    """
    spent = prune_spent(current.spent, now, shift.window_s)
    budget = max(0.0, shift.cap - spent_share(spent))
    wanted = largest_move(current.rows, rows)
    same_keys = {s: set(r) for s, r in current.rows.items()} == {
        s: set(r) for s, r in rows.items()
    }
    grants_moved = _largest_grant_change(current.grants, grants) > shift.hysteresis
    if same_keys and wanted <= shift.hysteresis and not grants_moved:
        return None
    next_rows, moved = step_toward(current.rows, rows, budget)
    if same_keys and moved <= EPSILON and not grants_moved:
        return None
    number = current.number + 1
    if moved > 0.0:
        spent = [*spent, SpentEntry(number=number, moved=moved, decided_at=now)]
    return Plan(
        number=number,
        policy_number=policy_number,
        rows=next_rows,
        grants=grants,
        spent=spent,
        decider=decider,
        change_id=change_id,
    )


def _largest_grant_change(old, new):
    """Returns the largest change of a grant (ratio); a missing one counts as 1."""
    differences = (
        abs(share - old.get(service, {}).get(region, 1.0))
        for service, shares in new.items()
        for region, share in shares.items()
    )
    return max(differences, default=0.0)
