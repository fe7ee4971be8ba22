"""Hands a request on to another instance that reaches the backend servers.

The instance that receives it serves it itself or refuses it. Only after a refusal that
says so, or a failed connect, is the request handed on to a further instance.
"""

import time

from expression import Error, Nothing, Ok, Option, Some
from flamingolift_decisions import windowbudget
from flamingolift_model import Fault, ResultCode
from flamingolift_wire.problems import REQUEST_OUTCOMES

from flamingolift_front import (
    bytestream,
    crashwatch,
    handoverfields,
    helperlist,
    httpcall,
    servernotices,
    serverpool,
)
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header
from flamingolift_front.pathrecords import may_connect
from flamingolift_front.requesttrace import is_repeat, may_have_run
from flamingolift_front.sending import (
    HANDED_ON,
    ForwardedResponse,
    start_call,
)
from flamingolift_front.state import retry_budget_for

__all__ = ["MAX_TAKEN", "hand_on", "may_hand_on"]

MAX_TAKEN = 128
"""Requests of other instances that an instance runs at the same time."""
MAX_HELPERS = 3
"""Instances that are tried for a request."""
CONNECT_TIMEOUT_S = 0.3
"""Longest time for a connection to an instance (s)."""
RETURN_MARGIN_S = 0.08
"""Part of the remaining time that is kept for the way back (s)."""
MIN_TIME_S = 0.15
"""Remaining time below which a request is not handed on (s)."""
_DECLINED = frozenset(
    str(code.value)
    for code in (
        ResultCode.CUT_OFF,
        ResultCode.INTERNAL_NOT_RUN,
        ResultCode.MEMORY_FULL,
        ResultCode.NO_BACKEND,
        ResultCode.DRAINING,
        ResultCode.NOT_READY,
    )
)
"""Result codes of an instance that cannot serve a request which others may serve."""
_VIEW_DIFFERS = frozenset(
    str(code.value)
    for code in (
        ResultCode.BAD_REQUEST,
        ResultCode.HEADER_TOO_LARGE,
        ResultCode.NO_ROUTE,
        ResultCode.REQUEST_TIMEOUT,
        ResultCode.TOO_LARGE,
    )
)
"""Result codes of an instance that does not allow a request which this one allows: it
has another policy in force, or another build. Its refusal is not the caller's."""
_OVERLOADED = str(ResultCode.OVERLOADED.value)
_NOT_RUN = REQUEST_OUTCOMES["no"]


def may_hand_on(front, req, route, trace, code, deadline):
    """Returns whether a request that would end refused may be handed on.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace with the sends so far.
        code: ResultCode with which the request would end.
        deadline: Earlier of the caller's deadline and the route's timeout (s,
            monotonic).
    """
    if req.attempts_left is not None or trace.attempts >= route.max_attempts:
        return False
    now = time.monotonic()
    if deadline - now < MIN_TIME_S:
        return False
    if not route.idempotent and may_have_run(trace):
        return False
    if crashwatch.hold_of(front, req) is not None:
        return False
    budget = retry_budget_for(front, trace.service)
    instances = front.view.backends.instances
    if is_repeat(trace) and not windowbudget.allow_retry(budget, instances, now):
        return False
    if not may_connect(front, trace.service):
        return True
    if code is not ResultCode.NO_BACKEND:
        return False
    known = front.view.backends.by_service.get(trace.service, ())
    return trace.unreached > 0 or any(now < b.suspended_until for b in known)


async def hand_on(front, req, route, trace, deadline) -> Option:
    """Hands a request on to an instance that reaches its service.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        trace: Trace; receives the instance.
        deadline: Earlier of the caller's deadline and the route's timeout (s,
            monotonic).

    Returns:
        Some with a Result as `forwarding.forward` returns it, or Nothing when the
        request was not handed on, since no such instance is known, accepts a
        connection or allows it, and when an instance refuses a request that an own
        send may have run.
    """
    was_sent = may_have_run(trace)
    tried, declined = set(), Nothing
    while len(tried) < MAX_HELPERS and deadline - time.monotonic() > MIN_TIME_S:
        entry = await helperlist.find_helper(
            front, trace.service, route, tried, deadline - MIN_TIME_S
        )
        if entry is None:
            break
        tried.add(entry.instance_id)
        try:
            stream = await _connect(front, route, entry)
        except (OSError, TimeoutError) as exc:
            _record_failure(front, req, entry, "unreached", exc)
            continue
        trace.handed_to = entry.instance_id
        result, attempts = await _exchange(
            front, req, route, trace, entry, stream, deadline
        )
        # A refusal knows nothing of the sends before it.
        refused = Nothing if was_sent and _is_not_run(front, result) else Some(result)
        code = _own_field(front, result, "result-code")
        if not _may_go_on(route, trace, code, attempts):
            return refused
        # Until it is sent again, the request runs nowhere but by an own send.
        trace.handed_to = ""
        if code not in _VIEW_DIFFERS:
            declined = refused
            helperlist.forget_helper(front, entry.instance_id)
    front.metrics.handed_on.labels("no_helper").inc()
    return declined


def _may_go_on(route, trace, code, attempts):
    """Returns whether a request may be handed on to a further instance.

    Args:
        route: Route of the request.
        trace: Trace, which receives the attempts.
        code: Result code in the answer of the last instance (text); None when the
            answer is a server's, or there is none.
        attempts: Number of servers that received the request there; None when that is
            not known.
    """
    if code is None:
        return False
    trace.attempts += attempts or 0
    if trace.attempts >= route.max_attempts:
        return False
    # Without the number, a further instance might exceed the route's attempts.
    if code == _OVERLOADED:
        return attempts is not None
    return code in _DECLINED or code in _VIEW_DIFFERS


def _is_not_run(front, result):
    """Returns whether an instance refuses a request as not run."""
    return _own_field(front, result, "request-outcome") == _NOT_RUN


def _own_field(front, result, name):
    """Returns a header field of an instance's own response, or None.

    A server's response, which names the request, is never taken for one.
    """
    if result.is_error():
        return None
    headers = result.ok.response.headers
    if header(headers, front.header_names.request_id) is not None:
        return None
    return header(headers, name)


async def _connect(front, route, entry):
    """Returns a connection; a kept one only for a request that may run again."""
    address = (entry.host, entry.handover_port)
    if route.idempotent:
        now = time.monotonic()
        stream = serverpool.acquire_connection(
            front.helper_pool, entry.instance_id, address, now
        )
        if stream is not None:
            return stream
    return await bytestream.connect(*address, CONNECT_TIMEOUT_S, keepalive=True)


def _record_failure(front, req, entry, result, exc):
    helperlist.forget_helper(front, entry.instance_id)
    front.metrics.handed_on.labels(result).inc()
    cause = str(exc) or type(exc).__name__
    peer = entry.instance_id
    log_event(front.log, "hand_on_failed", id=req.request_id, peer=peer, cause=cause)


async def _exchange(front, req, route, trace, entry, stream, deadline):
    """Sends the request and reads the response.

    Returns:
        Tuple of a Result as `hand_on` returns it, and the number of servers that
        received the request; None when that is not known.
    """
    attempts_left = str(route.max_attempts - trace.attempts).encode()
    finished = False
    try:
        call = start_call(
            front,
            req,
            stream,
            deadline - RETURN_MARGIN_S,
            (HANDED_ON, attempts_left),
        )
        response = await httpcall.read_response(call, httpcall.accept_any)
        finished = True
    except (ConnectionError, httpcall.InvalidResponseError) as exc:
        _record_failure(front, req, entry, "lost", exc)
        detail = f"the connection to {entry.instance_id} was lost"
        code = ResultCode.OUTCOME_UNKNOWN
        if route.idempotent:
            code = ResultCode.BACKEND_FAILED
        return Error(Fault(code, detail)), None
    finally:
        if not finished:
            bytestream.abort(stream)
    front.metrics.handed_on.labels("answered").inc()
    served_by, now = handoverfields.take_fields(response), time.monotonic()
    peer = entry.instance_id
    servernotices.observe_passed_on(front, served_by, response, peer, now)
    if not response.complete:
        return Ok(ForwardedResponse(response, call)), served_by.attempts
    address = (entry.host, entry.handover_port)
    serverpool.return_connection(front.helper_pool, peer, address, call, response, now)
    return Ok(ForwardedResponse(response)), served_by.attempts
