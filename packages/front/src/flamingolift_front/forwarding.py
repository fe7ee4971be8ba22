"""Forwards a caller's request to backend servers, with retries."""

import time

from expression import Error, Ok, Result
from flamingolift_decisions import (
    backends,
    fullregions,
    routetable,
    serverlimits,
    serverpaths,
    windowbudget,
)
from flamingolift_model import Fault, ResultCode

from flamingolift_front import (
    crashwatch,
    handover,
    heldattempts,
    limitgrants,
)
from flamingolift_front.attempts import send_attempt
from flamingolift_front.failures import final_fault, timeout_fault
from flamingolift_front.firstview import wait_for_policy
from flamingolift_front.refusals import retryable_fault
from flamingolift_front.requesttrace import is_repeat
from flamingolift_front.sending import UNKNOWN_OUTCOMES, Outcome
from flamingolift_front.state import retry_budget_for
from flamingolift_front.timelimit import time_limit
from flamingolift_front.tries import (
    has_tries_left,
    may_retry,
    pick_server,
    usable_servers,
)

__all__ = ["DEADLINE_GRACE_S", "find_route", "forward", "run_until"]

DEADLINE_GRACE_S = 0.12
"""Time after the deadline during which a response is still accepted (s): covers a
round trip between regions and the delay of the server's own deadline timer."""
RETRIED_STATUSES = frozenset((500, 502, 503))
"""Response statuses after which an idempotent request is retried."""


def find_route(table, req):
    """Returns the route of a request, or None.

    Args:
        table: RouteTable, or None before the first policy.
        req: CallerRequest.
    """
    if table is None:
        return None
    path = req.target.partition(b"?")[0].decode("latin-1")
    return routetable.match_route(table, req.host, path)


async def forward(front, req, trace) -> Result:
    """Sends a request to a backend server and retries it where that is allowed.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace; receives the routing decisions and the sends.

    Returns:
        Ok with a ForwardedResponse, or Error with a Fault.
    """
    if not await wait_for_policy(front, req):
        detail = "no routing policy has been read yet"
        return Error(retryable_fault(front, ResultCode.NOT_READY, detail))
    table = front.view.table
    trace.policy = table.number
    route = find_route(table, req)
    if route is None:
        return Error(Fault(ResultCode.NO_ROUTE, f"policy {table.number}"))
    trace.route = route.name
    trace.service = routetable.pick_service(route, req.request_id) or ""
    now = time.monotonic()
    deadline = min(req.deadline_at, req.received_at + route.timeout_ms / 1000.0)
    if deadline <= now:
        return Error(timeout_fault(front, trace))
    if deadline + DEADLINE_GRACE_S > front.exit_at:
        detail = "the instance stops before the request could end"
        return Error(retryable_fault(front, ResultCode.DRAINING, detail))
    held = await heldattempts.check_hold(front, req, trace, deadline)
    if held.is_error():
        return held
    if not serverpaths.is_cut_off(front.paths, trace.service):
        windowbudget.record_request(retry_budget_for(front, trace.service), now)
    if req.attempts_left is not None:
        return await _serve_handed_on(front, req, route, trace, deadline)
    return await run_until(front, req, route, trace, deadline)


async def _serve_handed_on(front, req, route, trace, deadline):
    """Serves a request that another instance handed on; it goes no further."""
    front.metrics.handed_on.labels("taken").inc()
    if front.taken >= handover.MAX_TAKEN:
        detail = "too many requests of other instances"
        return Error(retryable_fault(front, ResultCode.OVERLOADED, detail))
    trace.attempts = max(0, route.max_attempts - req.attempts_left)
    front.taken += 1
    try:
        return await run_until(front, req, route, trace, deadline)
    finally:
        front.taken -= 1


async def run_until(front, req, route, trace, deadline):
    """Serves a request, here or on another instance, until its deadline.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace with the sends so far.
        deadline: Earlier of the caller's deadline and the route's timeout (s,
            monotonic).

    Returns:
        Result as `forward` returns it.
    """
    now = time.monotonic()
    trace.placing = fullregions.place_request(
        front.view.backends, trace.service, route, front.cfg.region, now
    )
    try:
        async with time_limit(deadline + DEADLINE_GRACE_S):
            result = await _run_attempts(front, req, route, trace, deadline)
            if result.is_ok():
                return result
            code = result.error.code
            if not handover.may_hand_on(front, req, route, trace, code, deadline):
                return result
            handed_on = await handover.hand_on(front, req, route, trace, deadline)
            return handed_on.default_value(result)
    except TimeoutError:
        return Error(timeout_fault(front, trace))


async def _run_attempts(front, req, route, trace, deadline):
    """Runs attempts until one is final; returns a Result as `forward` does."""
    last = None
    while has_tries_left(front, req, route, trace):
        now = time.monotonic()
        # Another instance may have sent the request before.
        is_first = not (trace.sends or trace.attempts)
        if not (is_first or may_retry(front, trace, deadline, now)):
            break
        may_use = usable_servers(front, route, trace)
        backend, rank = pick_server(front, req, route, trace, now, may_use)
        if backend is None:
            break
        if serverlimits.is_limited(backend):
            if not await limitgrants.obtain_grant(front, backend, trace):
                continue
            if not _may_still_send(front, route, trace, backend, deadline):
                continue
        entry = backend.entry
        outcome, forwarded = await send_attempt(
            front, req, route, trace, backend, rank, deadline
        )
        if outcome in (Outcome.UNREACHED, Outcome.NOT_SENT):
            if is_repeat(trace):
                windowbudget.cancel_retry(retry_budget_for(front, trace.service))
            trace.unreached += 1
            continue
        if outcome is Outcome.WRONG_SERVER:
            trace.misdirected += 1
            continue
        trace.attempts += 1
        if outcome is Outcome.LOST:
            await heldattempts.note_lost(front, req, trace, entry)
        if outcome is Outcome.ANSWERED:
            last = forwarded
            if forwarded.call is None and forwarded.response.status < 500:
                crashwatch.note_success(front, req)
            if not _is_retryable(route, forwarded):
                return Ok(forwarded)
        elif outcome in UNKNOWN_OUTCOMES and not route.idempotent:
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, "the response was lost"))
    return (
        Ok(last)
        if last is not None
        else Error(final_fault(front, route, trace, deadline))
    )


def _may_still_send(front, route, trace, backend, deadline):
    """Returns whether a request may be sent after the wait for its grant."""
    now = time.monotonic()
    if trace.sends and not may_retry(front, trace, deadline, now):
        return False
    warm, cold = backends.eligible_backends(
        front.view.backends, trace.service, route, now
    )
    return backend in warm or backend in cold


def _is_retryable(route, forwarded):
    response = forwarded.response
    return (
        route.idempotent
        and forwarded.call is None
        and (response.status in RETRIED_STATUSES)
    )
