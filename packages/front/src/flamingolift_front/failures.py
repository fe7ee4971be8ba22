"""Faults of requests that got no response from a server."""

import time

from flamingolift_decisions import availability, backends, loads
from flamingolift_decisions.fullregions import Placing
from flamingolift_model import Fault, ResultCode

from flamingolift_front.pathrecords import may_connect
from flamingolift_front.refusals import quiet_fault, retryable_fault
from flamingolift_front.requesttrace import may_have_run
from flamingolift_front.sending import UNKNOWN_OUTCOMES
from flamingolift_front.tries import MAX_CONNECT_FAILURES, MAX_MISDIRECTED

__all__ = ["final_fault", "timeout_fault"]


def timeout_fault(front, trace):
    """Returns the Fault of a request whose time has passed.

    Args:
        front: Front.
        trace: Trace of the request.
    """
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


def final_fault(front, route, trace, deadline):
    """Returns the Fault of a request that has no try left.

    Args:
        front: Front.
        route: Route of the request.
        trace: Trace of the request.
        deadline: Time at which the caller or the route stops waiting (s, monotonic).
    """
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
    if trace.placing is Placing.SHED:
        return _overload_fault(front, trace, "load shedding", now)
    if trace.budget_spent:
        return _overload_fault(front, trace, "the retry budget is spent", now)
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


def _overload_fault(front, trace, cause, now):
    mean = loads.mean_load(front.view.backends, trace.service, now)
    detail = f"{cause}; mean load {mean:.2f}"
    return retryable_fault(front, ResultCode.OVERLOADED, detail)
