"""Explanation of how a request is routed, in sentences to be read out to a caller."""

from flamingolift_decisions.affinity import rank_backends
from flamingolift_decisions.availability import why_unused
from flamingolift_decisions.backends import eligible_backends, is_cold
from flamingolift_decisions.regioncost import (
    DEFAULT_COSTS,
    region_weight,
    round_trip,
)
from flamingolift_decisions.routetable import match_route
from flamingolift_decisions.serverpaths import is_cut_off

__all__ = ["explain_routing"]

MAX_SERVERS = 4
"""Largest number of an object's servers that an explanation names."""


def explain_routing(
    table, view, cache, paths, region, host, path, object_key, now, learnt, holds=()
):
    """Explains how the policy and its exceptions route a request.

    Args:
        table: RouteTable in force, or None.
        view: BackendView.
        cache: AffinityCache.
        paths: ServerPaths.
        region: Region of this instance.
        host: Host of the request.
        path: Path of the request.
        object_key: Name of the object; empty for none.
        now: Current time (s, monotonic).
        learnt: RegionCosts of this instance.
        holds: List of the Hold of the requests that are held.

    Returns:
        List of sentences: the default policy, then each evacuation with its
        reason, the requests that are held, the other regions that weigh less than at
        first, then the servers of each service and those that the object prefers.
    """
    if table is None:
        return ["No policy is in force yet."]
    route = match_route(table, host, path)
    if route is None:
        return [f"Policy {table.number} has no route for {host}{path}."]
    parts = [f"{p.service} (weight {p.weight:g})" for p in route.services]
    sentences = [
        f"By policy {table.number}, the default for all callers, {host}{path} belongs"
        f" to route {route.name} and goes to {', '.join(parts)}."
    ]
    if route.home_regions:
        homes = ", ".join(route.home_regions)
        sentences.append(f"It may only be served in {homes}.")
    for evacuation in view.evacuations.values():
        sentences.append(f"Exception: {evacuation.reason}.")
    services = {part.service for part in route.services}
    for hold in [h for h in holds if not h.service or h.service in services]:
        sentences.append(
            f"Exception: request {hold.fingerprint} is held for"
            f" {max(0.0, hold.until - now):.0f} s: {hold.reason}."
        )
    costs = learnt.routes.get(route.name, DEFAULT_COSTS)
    for other in costs.steps:
        weight, trip_ms = region_weight(costs, other), round_trip(learnt, other) * 1e3
        sentences.append(
            f"A server in {other} weighs {weight:.2f} of one in {region} for this"
            f" route: the round trip takes {trip_ms:.0f} ms."
        )
    for part in route.services:
        sentences += _explain_servers(
            view, cache, part.service, route, object_key, region, now, costs
        )
        if is_cut_off(paths, part.service):
            cut_off_s = now - paths.cut_off_at[part.service]
            sentences.append(
                f"This instance has reached no server of {part.service} for"
                f" {cut_off_s:.1f} s and hands requests on to other instances."
            )
    return sentences


def _explain_servers(view, cache, service, route, object_key, region, now, costs):
    warm, cold = eligible_backends(view, service, route, now)
    known = view.by_service.get(service, ())
    usable = {b.entry.server_id for b in [*warm, *cold]}
    sentences = [f"{service} has {len(known)} servers, {len(warm)} of them in use."]
    if object_key and known:
        order = rank_backends(cache, view, service, object_key, region, costs)
        named = sorted(known, key=lambda b: order[b.entry.server_id])[:MAX_SERVERS]
        described = [
            f"{b.entry.server_id} ({_condition(view, b, usable, now)})" for b in named
        ]
        sentences.append(f"Object {object_key} prefers {', '.join(described)}.")
    return sentences


def _condition(view, backend, usable, now):
    reason = why_unused(view, backend, now)
    if reason is not None:
        return reason.value
    if is_cold(backend, now):
        return "cold"
    return "in use" if backend.entry.server_id in usable else "out of service"
