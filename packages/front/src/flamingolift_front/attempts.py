"""One attempt of a request: a send to one server, given up when it is overdue."""

import asyncio
import time

from flamingolift_decisions import (
    affinity,
    attempttimeout,
    backends,
    loads,
    windowbudget,
)
from flamingolift_decisions.recenttimes import median_time

from flamingolift_front import crashwatch
from flamingolift_front.eventlog import log_event
from flamingolift_front.requesttrace import SendRecord, is_repeat
from flamingolift_front.sending import CONNECT_TIMEOUT_S, Outcome, send_request
from flamingolift_front.sendresults import record_send_result
from flamingolift_front.state import response_times_for, retry_budget_for
from flamingolift_front.tries import is_unlimited, pick_server

__all__ = ["send_attempt"]


async def send_attempt(front, req, route, trace, backend, rank, deadline):
    """Sends a request to one server and records how that ended.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace of the request, to which the send is added.
        backend: Backend.
        rank: Place of the server in the object's order.
        deadline: Time at which the caller or the route stops waiting (s, monotonic).

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
        usual_ms=round(median_time(times) * 1000.0, 1),
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
    if deadline - now < median_time(times):
        return False
    budget = retry_budget_for(front, trace.service)
    instances = front.view.backends.instances
    if not windowbudget.allow_retry(budget, instances, now):
        return False
    return pick_server(front, req, route, trace, now, is_unlimited)[0] is not None
