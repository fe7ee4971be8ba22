"""What a request may still try: attempts, retries, and the servers to choose from."""

import time

from flamingolift_decisions import (
    affinity,
    regioncost,
    serverlimits,
    serverpaths,
    windowbudget,
)
from flamingolift_decisions.fullregions import Placing

from flamingolift_front import crashwatch, serverpool
from flamingolift_front.pathrecords import may_connect
from flamingolift_front.requesttrace import is_repeat
from flamingolift_front.state import retry_budget_for

__all__ = [
    "MAX_CONNECT_FAILURES",
    "MAX_MISDIRECTED",
    "has_tries_left",
    "is_unlimited",
    "may_retry",
    "pick_server",
    "usable_servers",
]

MIN_ATTEMPT_S = 0.1
"""Remaining time below which no retry is started (s)."""
MAX_CONNECT_FAILURES = 3
"""Failed connection attempts after which a request tries no further server."""
MAX_MISDIRECTED = 3
"""Addresses used again by other servers after which a request tries no further
server. Each is suspended, so that later requests do not meet it."""
MAX_WITHHELD = 4
"""Refused grants after which a request tries no further server that names a limit."""


def has_tries_left(front, req, route, trace):
    """Returns whether a request may be sent to another server.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace of the request.
    """
    if trace.sends and crashwatch.hold_of(front, req) is not None:
        return False
    if serverpaths.is_cut_off(front.paths, trace.service):
        return False
    if trace.placing is Placing.SHED and len(trace.withheld) >= MAX_WITHHELD:
        return False
    return (
        trace.attempts < route.max_attempts
        and trace.unreached < MAX_CONNECT_FAILURES
        and trace.misdirected < MAX_MISDIRECTED
    )


def may_retry(front, trace, deadline, now):
    """Returns whether the deadline and the retry budget allow another send.

    Args:
        front: Front.
        trace: Trace of the request, in which a spent budget is noted.
        deadline: Time at which the caller or the route stops waiting (s, monotonic).
        now: Current time (s, monotonic).
    """
    if deadline - now < MIN_ATTEMPT_S:
        return False
    if not is_repeat(trace):
        return True
    budget = retry_budget_for(front, trace.service)
    instances = front.view.backends.instances
    trace.budget_spent = not windowbudget.allow_retry(budget, instances, now)
    return not trace.budget_spent


def usable_servers(front, route, trace):
    """Returns the function of a Backend that tells whether a request may use it.

    Args:
        front: Front.
        route: Route of the request.
        trace: Trace of the request.
    """
    if not may_connect(front, trace.service):
        now = time.monotonic()
        return lambda backend: (
            route.idempotent
            and serverpool.has_connection(front.pool, backend.entry.server_id, now)
        )
    if trace.placing is Placing.SHED:
        return serverlimits.is_limited
    if len(trace.withheld) >= MAX_WITHHELD:
        return is_unlimited
    return lambda backend: True


def is_unlimited(backend):
    """Returns whether a server (Backend) names no limit."""
    return not serverlimits.is_limited(backend)


def pick_server(front, req, route, trace, now, may_use):
    """Picks the server for the next send of a request.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace of the request.
        now: Current time (s, monotonic).
        may_use: Function of a Backend; returns whether it may be picked.

    Returns:
        Tuple of the Backend, or None, and its place in the object's order.
    """
    view, region = front.view.backends, front.cfg.region
    costs = regioncost.learn_route(
        front.region_costs, route.name, view, trace.service, region, now
    )
    return affinity.pick_backend(
        view,
        front.affinity_cache,
        trace.service,
        route,
        req.object_key,
        req.request_id,
        trace.tried,
        region,
        now,
        may_use,
        costs,
        spill=trace.placing is Placing.SPILL,
    )
