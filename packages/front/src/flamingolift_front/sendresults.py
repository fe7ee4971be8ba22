"""What the end of a send teaches an instance about the server."""

import time

from flamingolift_decisions import attempttimeout, backends, loads

from flamingolift_front import serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header
from flamingolift_front.sending import Outcome
from flamingolift_front.state import answer_times_for

__all__ = ["note_send"]


def note_send(front, trace, backend, send, reply, started):
    """Accounts for the end of a send.

    Args:
        front: Front.
        trace: Trace of the request, to which the send is added.
        backend: Backend that it went to.
        send: SendRecord with its outcome.
        reply: Reply, or None when there was no answer.
        started: Time of the send (s, monotonic).
    """
    if reply is None or reply.call is None:
        backend.in_flight -= 1
    elapsed_s = time.monotonic() - started
    send.elapsed_ms = round(elapsed_s * 1000.0, 1)
    trace.sends.append(send)
    if send.outcome is Outcome.ANSWERED:
        attempttimeout.record_answer_time(
            answer_times_for(front, trace.route), elapsed_s
        )
    front.metrics.sends.labels(trace.service, send.outcome.value).inc()
    if send.outcome is not Outcome.CANCELLED:
        _learn(front, backend, send.outcome, reply)


def _learn(front, backend, outcome, reply):
    """Takes over what a send says of the server."""
    now = time.monotonic()
    view, server_id = front.view.backends, backend.entry.server_id
    if outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        backends.record_answer(backend)
        _read_load(front, backend, outcome, reply.answer.headers, now)
        return
    if outcome is Outcome.LOST:
        pause_s = backends.record_lost_answer(view, backend, now)
    elif outcome in (Outcome.LATE, Outcome.OVERDUE):
        pause_s = backends.record_timeout(view, backend, now)
    else:
        pause_s = backends.suspend_backend(view, backend, now)
    if outcome not in (Outcome.LATE, Outcome.OVERDUE) or pause_s:
        serverpool.retire_server(front.pool, server_id)
    log_event(
        front.log,
        "server_failed",
        server=server_id,
        outcome=outcome.value,
        suspended_s=round(pause_s, 2),
    )


def _read_load(front, backend, outcome, headers, now):
    """Takes over a server's load; one that rejects a request is full."""
    if outcome is Outcome.NOT_RUN:
        slots = max(1, backend.entry.slots)
        loads.record_load(backend, slots, slots, now)
    parts = header(headers, front.names.load, "").split(",")
    if len(parts) >= 2 and parts[0].strip().isdigit() and parts[1].strip().isdigit():
        # A request that was answered still counts among those that run.
        answered = int(outcome is Outcome.ANSWERED)
        running = max(0, int(parts[0]) - answered)
        loads.record_load(backend, running, int(parts[1]), now)
