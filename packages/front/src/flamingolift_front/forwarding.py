"""Forwards a caller's request to backend servers, with retries."""

import asyncio
import time

from expression import Error, Ok, Result
from flamingolift_decisions import (
    admission,
    affinity,
    attempttimeout,
    availability,
    backends,
    loads,
    regioncost,
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
    serverpool,
)
from flamingolift_front.eventlog import log_event
from flamingolift_front.firstview import wait_for_policy
from flamingolift_front.pathrecords import may_connect
from flamingolift_front.refusals import quiet_fault, retryable_fault
from flamingolift_front.requesttrace import SendRecord, is_repeat, may_have_run
from flamingolift_front.sending import (
    CONNECT_TIMEOUT_S,
    UNKNOWN_OUTCOMES,
    Outcome,
    send_request,
)
from flamingolift_front.sendresults import record_send_result
from flamingolift_front.state import response_times_for, retry_budget_for
from flamingolift_front.timelimit import time_limit

__all__ = ["find_route", "forward"]

DEADLINE_GRACE_S = 0.12
"""Time after the deadline during which a response is still accepted (s): covers a
round trip between regions and the delay of the server's own deadline timer."""
MIN_ATTEMPT_S = 0.1
"""Remaining time below which no retry is started (s)."""
MAX_CONNECT_FAILURES = 3
"""Failed connection attempts after which a request tries no further server."""
MAX_MISDIRECTED = 3
"""Addresses used again by other servers after which a request tries no further
server. Each is suspended, so that later requests do not meet it."""
MAX_WITHHELD = 4
"""Refused grants after which a request tries no further server that names a limit."""
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
        return Error(_timeout_fault(front, trace))
    if deadline + DEADLINE_GRACE_S > front.exit_at:
        detail = "the instance stops before the request could end"
        return Error(retryable_fault(front, ResultCode.DRAINING, detail))
    held = await heldattempts.check_hold(front, req, trace)
    if held.is_error():
        return held
    if not serverpaths.is_cut_off(front.paths, trace.service):
        windowbudget.record_request(retry_budget_for(front, trace.service), now)
    if req.attempts_left is not None:
        return await _serve_handed_on(front, req, route, trace, deadline)
    return await _run_until(front, req, route, trace, deadline)


async def _serve_handed_on(front, req, route, trace, deadline):
    """Serves a request that another instance handed on; it goes no further."""
    front.metrics.handed_on.labels("taken").inc()
    if front.taken >= handover.MAX_TAKEN:
        detail = "too many requests of other instances"
        return Error(retryable_fault(front, ResultCode.OVERLOADED, detail))
    trace.attempts = max(0, route.max_attempts - req.attempts_left)
    front.taken += 1
    try:
        return await _run_until(front, req, route, trace, deadline)
    finally:
        front.taken -= 1


async def _run_until(front, req, route, trace, deadline):
    """Serves a request, here or on another instance, until its deadline."""
    now = time.monotonic()
    trace.shed = admission.should_shed(front.view.backends, trace.service, now)
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
        return Error(_timeout_fault(front, trace))


def _timeout_fault(front, trace):
    if trace.handed_to:
        detail = f"{trace.handed_to} did not answer before the deadline"
        return Fault(ResultCode.BACKEND_TIMEOUT, detail)
    if not may_have_run(trace):
        detail = "no server ran the request before the deadline"
        return retryable_fault(front, ResultCode.DEADLINE_BEFORE_RUN, detail)
    server_id = trace.sends[-1].server_id
    return Fault(
        ResultCode.BACKEND_TIMEOUT, f"{server_id} did not answer before the deadline"
    )


def _overload_fault(front, trace, cause, now):
    mean = loads.mean_load(front.view.backends, trace.service, now)
    detail = f"{cause}; mean load {mean:.2f}"
    return retryable_fault(front, ResultCode.OVERLOADED, detail)


async def _run_attempts(front, req, route, trace, deadline):
    """Runs attempts until one is final; returns a Result as `forward` does."""
    last = None
    while _has_tries_left(front, req, route, trace):
        now = time.monotonic()
        # Another instance may have sent the request before.
        is_first = not (trace.sends or trace.attempts)
        if not (is_first or _may_retry(front, trace, deadline, now)):
            break
        may_use = _usable_servers(front, route, trace)
        backend, rank = _pick(front, req, route, trace, now, may_use)
        if backend is None:
            break
        if serverlimits.is_limited(backend):
            if not await limitgrants.obtain_grant(front, backend, trace):
                continue
            if not _may_still_send(front, route, trace, backend, deadline):
                continue
        entry = backend.entry
        outcome, forwarded = await _send(
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
        else Error(_final_fault(front, route, trace, deadline))
    )


def _may_still_send(front, route, trace, backend, deadline):
    """Returns whether a request may be sent after the wait for its grant."""
    now = time.monotonic()
    if trace.sends and not _may_retry(front, trace, deadline, now):
        return False
    warm, cold = backends.eligible_backends(
        front.view.backends, trace.service, route, now
    )
    return backend in warm or backend in cold


def _has_tries_left(front, req, route, trace):
    if trace.sends and crashwatch.hold_of(front, req) is not None:
        return False
    if serverpaths.is_cut_off(front.paths, trace.service):
        return False
    if trace.shed and len(trace.withheld) >= MAX_WITHHELD:
        return False
    return (
        trace.attempts < route.max_attempts
        and trace.unreached < MAX_CONNECT_FAILURES
        and trace.misdirected < MAX_MISDIRECTED
    )


def _usable_servers(front, route, trace):
    """Returns the function of a Backend that tells whether a request may use it."""
    if not may_connect(front, trace.service):
        now = time.monotonic()
        return lambda backend: (
            route.idempotent
            and serverpool.has_connection(front.pool, backend.entry.server_id, now)
        )
    if trace.shed:
        return serverlimits.is_limited
    if len(trace.withheld) >= MAX_WITHHELD:
        return _is_unlimited
    return lambda backend: True


def _is_unlimited(backend):
    return not serverlimits.is_limited(backend)


def _pick(front, req, route, trace, now, may_use):
    """Returns the Backend for the next send, or None, and its rank."""
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
    )


def _may_retry(front, trace, deadline, now):
    """Returns whether the deadline and the retry budget allow another send."""
    if deadline - now < MIN_ATTEMPT_S:
        return False
    if not is_repeat(trace):
        return True
    budget = retry_budget_for(front, trace.service)
    return windowbudget.allow_retry(budget, front.view.backends.instances, now)


def _is_retryable(route, forwarded):
    response = forwarded.response
    return (
        route.idempotent
        and forwarded.call is None
        and (response.status in RETRIED_STATUSES)
    )


def _final_fault(front, route, trace, deadline):
    """Returns the Fault of a request for which there is no response."""
    if any(send.outcome in UNKNOWN_OUTCOMES for send in trace.sends):
        return Fault(ResultCode.BACKEND_FAILED, "no server sent a complete response")
    if not may_connect(front, trace.service):
        detail = f"no server of {trace.service} is reached from this instance"
        return retryable_fault(front, ResultCode.CUT_OFF, detail)
    view, now = front.view.backends, time.monotonic()
    if trace.unreached >= MAX_CONNECT_FAILURES:
        detail = "no server accepted a connection"
        return retryable_fault(front, ResultCode.NO_BACKEND, detail)
    if trace.misdirected >= MAX_MISDIRECTED:
        detail = "other servers answered at the addresses of the service"
        return retryable_fault(front, ResultCode.NO_BACKEND, detail)
    if trace.shed:
        return _overload_fault(front, trace, "load shedding", now)
    warm, cold = backends.eligible_backends(view, trace.service, route, now)
    if warm or cold:
        withheld = sum(backends.is_withheld(b, now) for b in [*warm, *cold])
        cause = (
            f"all servers are full, {len(warm)} in use and {len(cold)} cold,"
            f" {withheld} of them at their limit"
        )
        return _overload_fault(front, trace, cause, now)
    quiet_s = availability.quiet_time_s(view, trace.service, now)
    if quiet_s is not None:
        return quiet_fault(front, quiet_s, deadline - now)
    if trace.unreached:
        detail = "no server accepted a connection"
    else:
        detail = "; ".join(e.reason for e in view.evacuations.values())
    return retryable_fault(front, ResultCode.NO_BACKEND, detail or "no server is known")


async def _send(front, req, route, trace, backend, rank, deadline):
    """Sends a request to one server.

    Returns:
        Tuple of an Outcome and a ForwardedResponse, which is None when there is no
        response.
    """
    started = time.monotonic()
    server_id = backend.entry.server_id
    load = loads.estimate_load(backend, started)
    send = SendRecord(server_id, rank, load, backend.entry.started_ms)
    send.cached = bool(req.object_key) and rank < affinity.CACHING_SERVERS
    trace.tried.add(server_id)
    backends.record_send(front.view.backends, backend, started)
    if is_repeat(trace):
        windowbudget.record_retry(retry_budget_for(front, trace.service), started)
    if not trace.sends:
        front.metrics.first_sends.labels(trace.service, rank == 0).inc()
    try:
        send.outcome, forwarded = await _send_with_attempt_timeout(
            front, req, route, trace, backend, deadline, send
        )
    except asyncio.CancelledError:
        # The caller disconnected, or the deadline passed without a response.
        send.outcome = _outcome_of_cancelled(send, started, deadline)
        record_send_result(front, trace, backend, send, None, started)
        raise
    except Exception:
        send.outcome = Outcome.LOST
        record_send_result(front, trace, backend, send, None, started)
        raise
    record_send_result(front, trace, backend, send, forwarded, started)
    return send.outcome, forwarded


def _outcome_of_cancelled(send, started, deadline):
    """Returns the outcome of a send that is cancelled."""
    now = time.monotonic()
    if send.sent:
        return Outcome.LATE if now >= deadline else Outcome.CANCELLED
    # A connect that has just begun says nothing about the server.
    is_failed = now >= deadline and now - started >= CONNECT_TIMEOUT_S / 2
    return Outcome.UNREACHED if is_failed else Outcome.NOT_SENT


async def _send_with_attempt_timeout(front, req, route, trace, backend, deadline, send):
    """Sends a request, and cancels it once another server is worth trying.

    An idempotent request that takes much longer than the route's usual response
    time is cancelled with the outcome OVERDUE, so that it is retried elsewhere.
    """
    times = response_times_for(front, route.name)
    started = time.monotonic()
    wait_s = attempttimeout.attempt_timeout(times)
    if not route.idempotent or wait_s >= deadline - started:
        return await send_request(front, req, route, backend, deadline, send)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as timer:

            def cancel_if_overdue():
                if _may_try_another(front, req, route, trace, times, deadline):
                    timer.reschedule(loop.time())

            handle = loop.call_later(wait_s, cancel_if_overdue)
            try:
                return await send_request(front, req, route, backend, deadline, send)
            finally:
                handle.cancel()
    except TimeoutError:
        if not timer.expired():
            raise
    if not send.sent:
        return Outcome.UNREACHED, None
    log_event(
        front.log,
        "send_overdue",
        id=req.request_id,
        server=backend.entry.server_id,
        waited_ms=round((time.monotonic() - started) * 1000.0, 1),
        usual_ms=round(attempttimeout.median_answer_time(times) * 1000.0, 1),
    )
    return Outcome.OVERDUE, None


def _may_try_another(front, req, route, trace, times, deadline):
    """Returns whether a cancelled send could be followed by another one.

    The route's attempts, the time to the deadline, the retry budget and an eligible
    server have to allow it.
    """
    now = time.monotonic()
    if trace.attempts + 1 >= route.max_attempts:
        return False
    if crashwatch.hold_of(front, req) is not None:
        return False
    if deadline - now < attempttimeout.median_answer_time(times):
        return False
    budget = retry_budget_for(front, trace.service)
    instances = front.view.backends.instances
    if not windowbudget.allow_retry(budget, instances, now):
        return False
    return _pick(front, req, route, trace, now, _is_unlimited)[0] is not None
