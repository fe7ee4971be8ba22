"""Records the result of a send: metrics, response times and the server's health."""

import time

from flamingolift_decisions import backends, loads, regioncost
from flamingolift_decisions.recenttimes import record_time

from flamingolift_front import httpcall, limitgrants, servernotices, serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header
from flamingolift_front.pathrecords import note_answered, note_unreached
from flamingolift_front.sending import Outcome
from flamingolift_front.state import response_times_for

__all__ = ["record_send_result", "record_stream_end"]

_UNREACHED = frozenset((Outcome.UNREACHED, Outcome.SILENT))
_NO_ANSWER = frozenset((Outcome.LATE, Outcome.OVERDUE))


def record_send_result(front, trace, backend, send, forwarded, started):
    """Records the end of a send.

    Args:
        front: Front.
        trace: Trace of the request, to which the send is added.
        backend: Backend that it went to.
        send: SendRecord with its outcome.
        forwarded: ForwardedResponse, or None when there was no response.
        started: Time of the send (s, monotonic).

    Notes:
        While the body of a response is still streaming, the request keeps counting as
        in flight until `record_stream_end` is called.
    """
    if forwarded is None or forwarded.call is None:
        backend.in_flight -= 1
    elapsed_s = time.monotonic() - started
    send.elapsed_ms = round(elapsed_s * 1000.0, 1)
    trace.sends.append(send)
    if send.outcome is Outcome.ANSWERED:
        record_time(response_times_for(front, trace.route), elapsed_s)
        regioncost.record_work(
            front.region_costs,
            trace.route,
            backend.entry.region,
            send.cached,
            1 if send.reused else 2,
            elapsed_s,
        )
    front.metrics.sends.labels(trace.service, send.outcome.value).inc()
    if send.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
        _record_outcome(front, backend, send, forwarded)


def _record_outcome(front, backend, send, forwarded):
    """Updates the server's load, or suspends it after failures."""
    outcome, now = send.outcome, time.monotonic()
    if forwarded is not None:
        note_answered(front, backend.entry.service)
    if outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        if forwarded.call is None:
            backends.record_answer(backend)
        headers = forwarded.response.headers
        _record_load(front, backend, outcome, headers, now)
        named = header(headers, front.header_names.limit)
        limitgrants.observe_answer(front, backend, named, now)
        servernotices.observe_answer(front, send, forwarded.response, now)
        return
    # A connection that was idle may have lost its path since, without a sign of it.
    silent = outcome in _UNREACHED or (outcome in _NO_ANSWER and send.reused)
    is_connect = outcome is Outcome.UNREACHED
    is_cut_off = silent and note_unreached(front, backend, now, is_connect)
    _record_failure(front, backend, outcome, now, is_cut_off)


def record_stream_end(front, backend, outcome):
    """Records how the body of a streamed response ended.

    Args:
        front: Front.
        backend: Backend that sent it; None when another instance did.
        outcome: ANSWERED after the whole body, LOST when the server broke it off,
            LATE at the deadline, or CANCELLED when the caller did not take it.
    """
    if backend is None:
        return
    backend.in_flight -= 1
    if outcome is Outcome.ANSWERED:
        backends.record_answer(backend)
    elif outcome is not Outcome.CANCELLED:
        _record_failure(front, backend, outcome, time.monotonic())


def _record_failure(front, backend, outcome, now, is_cut_off=False):
    """Suspends a server after too many failures, unless the instance is cut off.

    Connections that are open may live on while new ones are refused; a server that
    failed resets them itself.
    """
    server_id = backend.entry.server_id
    suspension_s = 0.0
    if not is_cut_off:
        suspension_s = _suspend(front, backend, outcome, now)
    stays_open = outcome in _NO_ANSWER and not suspension_s
    if not stays_open and outcome is not Outcome.UNREACHED:
        serverpool.close_connections(front.pool, server_id)
    log_event(
        front.log,
        "server_failed",
        server=server_id,
        outcome=outcome.value,
        suspended_s=round(suspension_s, 2),
    )


def _suspend(front, backend, outcome, now):
    """Returns the time for which a server is suspended for a failure (s)."""
    view = front.view.backends
    if outcome is Outcome.LOST:
        return backends.record_lost_answer(view, backend, now)
    if outcome in _NO_ANSWER:
        return backends.record_timeout(view, backend, now)
    return backends.suspend_backend(view, backend, now)


def _record_load(front, backend, outcome, headers, now):
    """Records the load that a server reports; one that rejects a request is full."""
    if outcome is Outcome.NOT_RUN:
        slots = max(1, backend.entry.slots)
        loads.record_load(backend, slots, slots, now)
    report = header(headers, front.header_names.load, "")
    counts = [httpcall.parse_count(part) for part in report.split(",")]
    if len(counts) >= 2 and None not in counts[:2]:
        # The server's report still counts the answered request as running.
        own_request = int(outcome is Outcome.ANSWERED)
        running = max(0, counts[0] - own_request)
        loads.record_load(backend, running, counts[1], now)
