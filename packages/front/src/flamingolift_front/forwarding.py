"""Carries one request to a backend server and brings back its answer."""

import asyncio
import time

from expression import Error, Ok, Result
from flamingolift_decisions import (
    admission,
    affinity,
    attempttimeout,
    backends,
    loads,
    routetable,
    windowbudget,
)
from flamingolift_model import Fault, ResultCode

from flamingolift_front.eventlog import log_event
from flamingolift_front.requesttrace import SendRecord
from flamingolift_front.sending import UNKNOWN_OUTCOMES, Outcome, send_request
from flamingolift_front.sendresults import note_send
from flamingolift_front.state import answer_times_for, budget_for

__all__ = ["forward"]

LATE_MARGIN_S = 0.12
"""Time beyond the deadline in which a server's own last answer may arrive (s):
a round trip between regions and the server's timer."""
MIN_ATTEMPT_S = 0.1
"""Time left below which no further attempt starts (s)."""
MAX_UNREACHED = 3
"""Servers tried for one request that do not accept a connection."""
RETRY_AFTER_S = (0.2, 0.6)
"""Range of the time after which a refused caller may return (s); drawn at
random, so that callers refused together do not return together."""
RETRIED_STATUSES = frozenset((500, 502, 503))
"""Failures of a server that an idempotent request is sent again after."""


async def forward(front, req, trace) -> Result:
    """Sends a request to a backend server, and again where that is allowed.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace, filled in.

    Returns:
        Ok with a Reply, or Error with a Fault.
    """
    table = front.view.table
    if table is None:
        return Error(_refusal(front, ResultCode.NOT_READY, "no policy yet"))
    trace.policy = table.number
    path = req.target.partition(b"?")[0].decode("latin-1")
    route = routetable.match_route(table, req.host, path)
    if route is None:
        return Error(Fault(ResultCode.NO_ROUTE, f"policy {table.number}"))
    trace.route = route.name
    trace.service = routetable.pick_service(route, req.request_id) or ""
    now = time.monotonic()
    windowbudget.record_request(budget_for(front, trace.service), now)
    if admission.should_shed(front.view.backends, trace.service, now):
        return Error(_overloaded(front, trace, "the queues are long", now))
    ends_at = min(req.deadline_at, req.received_at + route.timeout_ms / 1000.0)
    try:
        async with asyncio.timeout(ends_at + LATE_MARGIN_S - time.monotonic()):
            return await _attempt_all(front, req, route, trace, ends_at)
    except TimeoutError:
        return Error(_timeout_fault(trace))


def _timeout_fault(trace):
    if not trace.sends:
        return Fault(ResultCode.DEADLINE_BEFORE_RUN, "no server was reached in time")
    server_id = trace.sends[-1].server_id
    return Fault(ResultCode.BACKEND_TIMEOUT, f"{server_id} did not answer in time")


def _refusal(front, code, detail):
    pause_ms = front.rng.uniform(*RETRY_AFTER_S) * 1000.0
    return Fault(code, detail, retry_after_ms=pause_ms)


def _overloaded(front, trace, why, now):
    usual = loads.mean_load(front.view.backends, trace.service, now)
    detail = f"{why}; usual load {usual:.2f}"
    return _refusal(front, ResultCode.OVERLOADED, detail)


async def _attempt_all(front, req, route, trace, ends_at):
    """Sends until an answer is final; returns a Result as `forward` does."""
    last = None
    while trace.attempts < route.max_attempts and trace.unreached < MAX_UNREACHED:
        now = time.monotonic()
        if trace.sends and not _may_send_again(front, trace, ends_at, now):
            break
        backend, place = _pick(front, req, route, trace, now)
        if backend is None:
            break
        outcome, reply = await _send(front, req, route, trace, backend, place, ends_at)
        if outcome is Outcome.UNREACHED:
            trace.unreached += 1
            continue
        trace.attempts += 1
        if trace.attempts > 1:
            budget = budget_for(front, trace.service)
            windowbudget.record_retry(budget, time.monotonic())
        if outcome is Outcome.ANSWERED:
            last = reply
            if not _worth_repeating(route, reply):
                return Ok(reply)
        elif outcome in UNKNOWN_OUTCOMES and not route.idempotent:
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, "the answer was lost"))
    return Ok(last) if last is not None else Error(_final_fault(front, route, trace))


def _pick(front, req, route, trace, now):
    """Returns the Backend for the next send, or None, and its place."""
    return affinity.pick_backend(
        front.view.backends,
        front.orders,
        trace.service,
        route,
        req.object_key,
        req.request_id,
        trace.tried,
        front.cfg.region,
        now,
    )


def _may_send_again(front, trace, ends_at, now):
    """Returns whether another send is due after the first one."""
    if ends_at - now < MIN_ATTEMPT_S:
        return False
    if trace.attempts == 0:
        return True
    budget = budget_for(front, trace.service)
    return windowbudget.allow_retry(budget, front.view.backends.instances, now)


def _worth_repeating(route, reply):
    answer = reply.answer
    return (
        route.idempotent and reply.call is None and (answer.status in RETRIED_STATUSES)
    )


def _final_fault(front, route, trace):
    """Returns the Fault of a request that no server answered."""
    if any(send.outcome in UNKNOWN_OUTCOMES for send in trace.sends):
        return Fault(ResultCode.BACKEND_FAILED, "no server answered whole")
    view, now = front.view.backends, time.monotonic()
    warm, cold = backends.eligible_backends(view, trace.service, route, now)
    if warm or cold:
        why = f"all servers are full, {len(warm)} in use and {len(cold)} cold"
        return _overloaded(front, trace, why, now)
    if trace.unreached:
        detail = "no server accepted a connection"
    else:
        detail = "; ".join(e.reason for e in view.evacuations.values())
    return _refusal(front, ResultCode.NO_BACKEND, detail or "no server is known")


async def _send(front, req, route, trace, backend, place, ends_at):
    """Sends a request to one server; returns a tuple of Outcome and Reply."""
    started = time.monotonic()
    server_id = backend.entry.server_id
    send = SendRecord(server_id, place, loads.estimate_load(backend, started))
    trace.tried.add(server_id)
    backends.record_send(front.view.backends, backend, started)
    if not trace.sends:
        front.metrics.first_sends.labels(trace.service, place == 0).inc()
    try:
        send.outcome, reply = await _send_patiently(
            front, req, route, trace, backend, ends_at
        )
    except asyncio.CancelledError:
        # The caller left, or the server did not even answer at the deadline.
        if time.monotonic() >= ends_at:
            send.outcome = Outcome.LATE
        note_send(front, trace, backend, send, None, started)
        raise
    except Exception:
        send.outcome = Outcome.LOST
        note_send(front, trace, backend, send, None, started)
        raise
    note_send(front, trace, backend, send, reply, started)
    return send.outcome, reply


async def _send_patiently(front, req, route, trace, backend, ends_at):
    """Sends a request, and gives it up for another server once it is overdue."""
    times = answer_times_for(front, route.name)
    started = time.monotonic()
    wait_s = attempttimeout.attempt_timeout(times)
    if not route.idempotent or wait_s >= ends_at - started:
        return await send_request(front, req, route, backend, ends_at)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as timer:

            def switch():
                if _may_switch(front, req, route, trace, times, ends_at):
                    timer.reschedule(loop.time())

            handle = loop.call_later(wait_s, switch)
            try:
                return await send_request(front, req, route, backend, ends_at)
            finally:
                handle.cancel()
    except TimeoutError:
        if not timer.expired():
            raise
    log_event(
        front.log,
        "send_overdue",
        id=req.request_id,
        server=backend.entry.server_id,
        waited_ms=round((time.monotonic() - started) * 1000.0, 1),
        usual_ms=round(attempttimeout.median_answer_time(times) * 1000.0, 1),
    )
    return Outcome.OVERDUE, None


def _may_switch(front, req, route, trace, times, ends_at):
    """Returns whether another server may still answer a request in time."""
    now = time.monotonic()
    if trace.attempts + 1 >= route.max_attempts:
        return False
    if ends_at - now < attempttimeout.median_answer_time(times):
        return False
    budget = budget_for(front, trace.service)
    instances = front.view.backends.instances
    if not windowbudget.allow_retry(budget, instances, now):
        return False
    return _pick(front, req, route, trace, now)[0] is not None
