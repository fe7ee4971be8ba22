"""Weights of the sites from load, capacity and the policy's objective."""

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


class FleetLoad:
    """Demand and capacity of one service, as last reported.

    Attributes:
        demand: Map of origin region to the busy slots its callers cause.
        capacity: Map of region to usable slots.
        sites: Map of region to a map of site to its share of the region.
    """

    __slots__ = ("capacity", "demand", "sites")

    def __init__(self, demand, capacity, sites):
        self.demand = demand
        self.capacity = capacity
        self.sites = sites


def default_rows(services, regions, sites_by_region):
    """Returns the rows that hold without any measurement.

    Args:
        services: List of service names.
        regions: List of region names.
        sites_by_region: Map of region to a map of site to weight.

    Returns:
        Rows that keep each origin in its own region, and callers of unknown
        origin spread evenly over all sites.
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
    """Adds up the load reports of one service.

    Args:
        reports: List of LoadReport, one for each failure domain.
        service: Service name.
        sites_by_region: Map of region to a map of site to weight.
        now: Decider's clock (s since the epoch).
        stale_after_s: Age at which a report counts as absent (s).

    Returns:
        FleetLoad, or None when any failure domain's report is absent: a partial
        sum would read as a drop in demand.
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
    """Returns the rows of one service that the objective asks for.

    Args:
        load: FleetLoad of the service.
        objective: "latency" fills each region up to `max_utilization` with its
            own callers before any leave; "headroom" evens out the regions' use.
        max_utilization: Largest planned use of a region's slots (ratio).

    Returns:
        Map of origin region to site to weight. Each region's planned load is at
        most `max_utilization` of its capacity, as far as the total allows.
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
    """Splits each region's share over its sites."""
    row = {}
    for region, share in region_shares.items():
        for site, weight in normalize(sites.get(region, {})).items():
            row[site] = row.get(site, 0.0) + share * weight
    return normalize(row)


def evacuation_grants(load, max_utilization):
    """Returns how much of each region the others could take over.

    Args:
        load: FleetLoad of one service.
        max_utilization: Largest planned use of a region's slots (ratio).

    Returns:
        Map of region to the share of its callers for whom the other regions have
        headroom (ratio), so that no region is overloaded when it is lost.
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
    """Returns rows with the exceptions' weights in place of the planned ones.

    Args:
        rows: Service to origin region to site to weight; left unchanged.
        overrides: Map of (service, origin region) to weights, as
            `policyrules.weight_overrides` returns it.
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
    """Makes the next plan within what is left of the cap.

    Args:
        current: Plan in the store; the new one replaces it by compare-and-swap.
        rows: Target rows of all services.
        grants: Evacuation grants of all services.
        policy_number: Number of the policy in force.
        shift: Shift limits of the policy.
        now: Decider's clock (s since the epoch).
        decider: Name of the deciding instance.
        change_id: Unique id of the write.

    Returns:
        The next Plan, or None when nothing worth a write has changed. What was
        moved is entered in the same value as the rows, so that a later decider
        subtracts it, whoever holds the lease. A decider that pauses enters an old
        time; the cap itself is held by each instance.
    """
    spent = prune_spent(current.spent, now, shift.window_s)
    budget = max(0.0, shift.cap - spent_share(spent))
    wanted = largest_move(current.rows, rows)
    same_shape = {s: set(r) for s, r in current.rows.items()} == {
        s: set(r) for s, r in rows.items()
    }
    grants_moved = _largest_difference(current.grants, grants) > shift.hysteresis
    if same_shape and wanted <= shift.hysteresis and not grants_moved:
        return None
    next_rows, moved = step_toward(current.rows, rows, budget)
    if same_shape and moved <= EPSILON and not grants_moved:
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


def _largest_difference(old, new):
    """Returns the largest change of any grant (ratio)."""
    differences = (
        abs(share - old.get(service, {}).get(region, 1.0))
        for service, shares in new.items()
        for region, share in shares.items()
    )
    return max(differences, default=0.0)
