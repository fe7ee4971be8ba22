"""Why a request is handled as it is, in sentences for reading out to a caller."""

from flamingolift_decisions.affinity import rank_backends
from flamingolift_decisions.backends import eligible_backends, is_cold
from flamingolift_decisions.routetable import match_route

__all__ = ["explain_routing"]

MAX_SERVERS = 4
"""Servers of an object's order that are named."""


def explain_routing(table, view, cache, host, path, object_key, now):
    """Explains what the policy and its exceptions mean for a request.

    Args:
        table: RouteTable in force, or None.
        view: BackendView.
        cache: AffinityCache.
        host: Host of the request.
        path: Path of the request.
        object_key: Name of the object; empty for none.
        now: Current time (s, monotonic).

    Returns:
        List of sentences: the default policy, then each exception with its
        reason, then the servers for the object.
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
    for part in route.services:
        sentences += _explain_servers(view, cache, part.service, route, object_key, now)
    return sentences


def _explain_servers(view, cache, service, route, object_key, now):
    warm, cold = eligible_backends(view, service, route, now)
    known = view.by_service.get(service, ())
    usable = {b.entry.server_id for b in [*warm, *cold]}
    sentences = [f"{service} has {len(known)} servers, {len(warm)} of them in use."]
    if object_key and known:
        order = rank_backends(cache, view, service, object_key)
        named = sorted(known, key=lambda b: order[b.entry.server_id])[:MAX_SERVERS]
        told = [f"{b.entry.server_id} ({_condition(b, usable, now)})" for b in named]
        sentences.append(f"Object {object_key} prefers {', '.join(told)}.")
    return sentences


def _condition(backend, usable, now):
    if backend.entry.state == "leaving":
        return "leaving"
    if now < backend.suspended_until:
        return "suspended after failures"
    if is_cold(backend, now):
        return "cold"
    return "in use" if backend.entry.server_id in usable else "out of service"
