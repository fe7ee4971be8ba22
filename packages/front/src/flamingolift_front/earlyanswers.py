"""Answers to requests that were started before their turn, and kept in part."""

import time

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_front import (
    bytestream,
    crashwatch,
    forwarding,
    heldattempts,
    httpcall,
    serverpool,
)
from flamingolift_front.eventlog import log_event
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.sending import ForwardedResponse, Outcome
from flamingolift_front.sendresults import record_stream_end
from flamingolift_front.timelimit import time_limit

__all__ = ["read_early_answer"]

MIN_READ_S = 0.3
"""Time from a request's turn in which the rest of its answer is read (s), when the
answers before it took longer than its route's timeout."""


async def read_early_answer(front, req, trace, forwarded) -> Result:
    """Reads on an answer of which only a part was kept until its turn.

    An answer that broke off meanwhile is replaced by that of another server, as it
    would be if the request had been sent at its turn.

    Args:
        front: Front.
        req: CallerRequest of a route that is idempotent.
        trace: Trace of the request.
        forwarded: ForwardedResponse that is not complete.

    Returns:
        Result as `forwarding.forward` returns it.
    """
    req.spool_bytes = httpcall.SPOOL_BYTES
    end, exc = await _read_on(front, req, forwarded)
    if end is Outcome.ANSWERED and not forwarded.response.complete:
        return Ok(forwarded)
    record_stream_end(front, forwarded.backend, end)
    if end is Outcome.ANSWERED:
        if forwarded.response.status < 500:
            crashwatch.note_success(front, req)
        _keep_connection(front, forwarded)
        return Ok(ForwardedResponse(forwarded.response))
    if end is Outcome.LATE:
        detail = "the answer was not complete before the deadline"
        return Error(Fault(ResultCode.BACKEND_TIMEOUT, detail))
    _log_loss(front, req, forwarded, exc)
    return await _replace_lost(front, req, trace, forwarded)


async def _read_on(front, req, forwarded):
    """Reads as much of an answer as is read before its first byte is passed on.

    Returns:
        Tuple of an Outcome (ANSWERED, LATE or LOST) and the exception of a loss. The
        connection of one that is not ANSWERED is closed.
    """
    stream, is_read = forwarded.call.stream, False
    try:
        async with time_limit(_read_until(front, req)):
            await httpcall.read_on(
                forwarded.call, forwarded.response, httpcall.SPOOL_BYTES
            )
        is_read = True
        return Outcome.ANSWERED, None
    except TimeoutError:
        return Outcome.LATE, None
    except (ConnectionError, httpcall.InvalidResponseError) as exc:
        return Outcome.LOST, exc
    except BaseException:
        record_stream_end(front, forwarded.backend, Outcome.CANCELLED)
        raise
    finally:
        if not is_read:
            bytestream.abort(stream)


def _read_until(front, req):
    """Returns the time until which an answer is read on (s, monotonic)."""
    deadline = req.deadline_at
    route = forwarding.find_route(front.view.table, req)
    if route is not None:
        deadline = min(deadline, req.received_at + route.timeout_ms / 1000.0)
    deadline += forwarding.DEADLINE_GRACE_S
    return max(deadline, time.monotonic() + MIN_READ_S)


def _keep_connection(front, forwarded):
    """Returns the connection of a complete answer to its pool."""
    if forwarded.backend is None:
        bytestream.close(forwarded.call.stream)
        return
    entry = forwarded.entry
    serverpool.return_connection(
        front.pool,
        entry.server_id,
        (entry.host, entry.port),
        forwarded.call,
        forwarded.response,
        time.monotonic(),
    )


def _log_loss(front, req, forwarded, exc):
    backend = forwarded.backend
    log_event(
        front.log,
        "answer_lost",
        id=req.request_id,
        server="" if backend is None else forwarded.entry.server_id,
        cause=str(exc) or type(exc).__name__,
        fingerprint=fingerprint_of(req),
        in_flight=0 if backend is None else backend.in_flight,
    )


async def _replace_lost(front, req, trace, forwarded):
    """Sends an idempotent request again whose answer broke off; returns a Result."""
    failed = Error(Fault(ResultCode.BACKEND_FAILED, "the answer broke off"))
    route = forwarding.find_route(front.view.table, req)
    if forwarded.backend is None or route is None or not route.idempotent:
        return failed
    trace.sends[-1].outcome = Outcome.LOST
    deadline = min(req.deadline_at, req.received_at + route.timeout_ms / 1000.0)
    if deadline <= time.monotonic():
        return failed
    try:
        async with time_limit(deadline + forwarding.DEADLINE_GRACE_S):
            await heldattempts.note_lost(front, req, trace, forwarded.entry)
    except TimeoutError:
        return failed
    result = await forwarding.run_until(front, req, route, trace, deadline)
    # Without another answer, what is known is that a server has run the request.
    return result if result.is_ok() else failed
