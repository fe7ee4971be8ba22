"""Callers' HTTP/1.1 connections: one task for each, which answers in order."""

import asyncio
import collections
import contextlib
import functools
import time

import h11
from expression import Error
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode

from flamingolift_front import (
    answering,
    bytestream,
    forwarding,
    handoverfields,
    readahead,
)
from flamingolift_front.earlyanswers import read_early_answer
from flamingolift_front.eventlog import log_event
from flamingolift_front.refusals import retryable_fault
from flamingolift_front.requesttrace import may_have_run
from flamingolift_front.responses import problem_response

__all__ = [
    "CallerConnection",
    "accept_caller",
    "close_idle",
    "drain_connections",
    "end_requests",
]

MAX_DRAINED_REQUESTS = 16
"""Requests of a connection that are read once the listeners are closed. A caller that
always has sent more would never be told of the stop."""
_ANSWERED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
"""States of a parser that has encoded a complete answer."""
LINGER_S = 2.0
"""Longest time for which unread input is taken before a close (s)."""


class CallerConnection:
    """State of one caller's connection.

    Attributes:
        stream: ByteStream.
        parser: h11 connection that encodes the current answer.
        reading: h11 connection that reads the next request, or that read the last one.
        reader: Task that reads requests before their turn, or None.
        ahead: Deque of the Exchange objects of the requests that it read.
        arrived: Event that is set when it has read a request, or ends.
        turn: Event that is set while a request whose turn it is is being read.
        task: Task that serves the connection.
        busy: Whether a request is being received or served.
        from_instance: Whether another instance hands requests on over it.
        closing: Whether the connection closes after the current response, or when
            no request has arrived.
        req: CallerRequest that is being answered, or None.
        trace: Trace of that request.
        end: How that request ends, as `request_ends` counts it.
        drained: Number of requests that were read since the listeners are closed.
        discarded: Number of bytes that were taken behind the last answer.
        responding: Whether bytes of the answer to it were sent.
        refused: Whether a request that could not be read was refused.
    """

    __slots__ = (
        "ahead",
        "arrived",
        "busy",
        "closing",
        "discarded",
        "drained",
        "end",
        "from_instance",
        "parser",
        "reader",
        "reading",
        "refused",
        "req",
        "responding",
        "stream",
        "task",
        "trace",
        "turn",
    )

    def __init__(self, stream, parser, from_instance):
        self.stream = stream
        self.parser = parser
        self.reading = parser
        self.reader = None
        self.ahead = collections.deque()
        self.arrived = asyncio.Event()
        self.turn = asyncio.Event()
        self.from_instance = from_instance
        self.task = None
        self.busy = False
        self.closing = False
        self.req = None
        self.trace = None
        self.end = ""
        self.drained = 0
        self.discarded = 0
        self.responding = False
        self.refused = False


def accept_caller(front, stream, from_instance=False):
    """Starts the task of a new connection.

    Args:
        front: Front.
        stream: ByteStream that was accepted.
        from_instance: Whether another instance hands requests on over it.
    """
    parser = h11.Connection(h11.SERVER)
    conn = CallerConnection(stream, parser, from_instance)
    front.connections.add(conn)
    stream.on_data = lambda _size: readahead.read_ahead(front, conn)
    stream.on_end = functools.partial(readahead.cancel_started, conn)
    conn.task = asyncio.get_running_loop().create_task(_serve(front, conn))


def close_idle(front):
    """Lets the connections close on which no request is in progress or has arrived."""
    for conn in list(front.connections):
        if not (conn.busy or conn.closing or conn.stream.buffer):
            conn.closing = True
            bytestream.wake(conn.stream)


def end_requests(front):
    """Ends the requests in progress; their callers are told that it stops.

    An answer that waits in the send buffer as a whole is left to be sent.
    """
    for conn in list(front.connections):
        if _is_unanswered(conn) or conn.ahead:
            conn.task.cancel()


def drain_connections(front):
    """Lets the connections end with what has arrived on them.

    Args:
        front: Front, whose listeners are closed.
    """
    front.draining = True
    close_idle(front)


def _is_unanswered(conn):
    """Returns whether the current request has no complete answer yet."""
    return conn.req is not None and conn.parser.our_state not in _ANSWERED_STATES


async def _serve(front, conn):
    """Serves requests until the connection ends."""
    cause = "idle"
    try:
        while await _serve_one(front, conn) and not conn.closing:
            conn.busy = bool(conn.ahead or conn.reader)
        await _drain_input(conn)
    except asyncio.CancelledError:
        # The caller disconnected, or the instance is stopping.
        cause = "cancelled"
        codes = (ResultCode.DRAINING, ResultCode.BACKEND_FAILED)
        await _answer_unfinished(front, conn, codes, "the instance stopped")
    except Exception as exc:
        if isinstance(exc, ConnectionError) and conn.stream.transport.is_closing():
            cause = str(exc) or type(exc).__name__
            log_event(front.log, "caller_lost", cause=cause)
        else:
            cause = repr(exc)
            log_event(front.log, "task_failed", task="caller", cause=cause)
            codes = (ResultCode.INTERNAL_NOT_RUN, ResultCode.INTERNAL)
            await _answer_unfinished(front, conn, codes, cause)
    finally:
        await _record_end(front, conn, cause)
        await _close(front, conn)


async def _close(front, conn):
    """Closes a connection, which counts as open until its last bytes have left."""
    conn.closing = True
    # Their memory counts as held until nothing refers to them.
    conn.req = None
    conn.ahead.clear()
    bytestream.close(conn.stream)
    try:
        await bytestream.wait_closed(conn.stream)
    finally:
        front.connections.discard(conn)


async def _answer_unfinished(front, conn, codes, cause):
    """Tells a caller how its requests ended that were read and have no answer.

    Each end of a connection that its caller did not cause passes here. An answer that
    has begun cannot be taken back, so that its connection is reset.

    Args:
        front: Front.
        conn: CallerConnection.
        codes: ResultCode of a request that did not run, and of one that may have run.
        cause: Why there is no answer of a server.
    """
    if conn.stream.ended or conn.stream.transport.is_closing():
        return
    if _is_unanswered(conn) and conn.responding:
        answering.cut_response(front, conn, conn.req, cause)
        return
    bytestream.hold_input(conn.stream)
    await readahead.stop_reading(conn)
    try:
        if _is_unanswered(conn):
            fault = _end_fault(front, conn.trace, codes, cause)
            await _send_end(front, conn, conn.req, conn.trace, Error(fault))
        elif conn.req is not None:
            front.metrics.request_ends.labels(conn.end).inc()
        conn.req = None
        async for exchange in readahead.take_unanswered(front, conn):
            conn.parser = exchange.parser
            await _answer_waiting(front, conn, exchange, codes, cause)
        await _drain_input(conn)
    except ConnectionError as exc:
        log_event(front.log, "caller_lost", cause=str(exc) or type(exc).__name__)
    except Exception as exc:
        # The answers behind would take the place of this one.
        log_event(front.log, "task_failed", task="last answers", cause=repr(exc))
        bytestream.abort(conn.stream)


async def _answer_waiting(front, conn, exchange, codes, cause):
    """Answers a request whose turn does not come any more."""
    received, trace = exchange.received, exchange.trace
    if received.is_error():
        await answering.send_response(front, conn, problem_response(received.error))
        conn.refused = True
        return
    front.metrics.requests_read.inc()
    result = await readahead.early_result(front, exchange)
    if result is not None:
        try:
            await _send_end(front, conn, received.ok, trace, result)
            return
        except h11.LocalProtocolError as exc:
            if conn.responding:
                raise
            log_event(front.log, "task_failed", task="caller", cause=repr(exc))
            front.metrics.requests_read.inc()
    fault = _end_fault(front, trace, codes, cause)
    await _send_end(front, conn, received.ok, trace, Error(fault))


def _end_fault(front, trace, codes, cause):
    """Returns the Fault of a request that has no answer of a server."""
    if may_have_run(trace):
        return Fault(codes[1], f"{cause} during the request")
    return retryable_fault(front, codes[0], f"{cause} before a send")


async def _send_end(front, conn, req, trace, result):
    """Sends the answer to a request of a connection that is about to end.

    The request's own parser may be in a state in which it sends no more, so that
    another one encodes the answer.
    """
    if conn.parser.our_state is not h11.SEND_RESPONSE:
        conn.parser = _make_answering_parser(req.method)
    if result.is_ok():
        response = result.ok.response
        outcome, end, detail = "answered", "answered", ""
    else:
        response, detail = problem_response(result.error), result.error.detail
        outcome, end = result.error.code.name, "refused"
    conn.closing = not readahead.has_requests_behind(conn)
    conn.responding = False
    answering.log_request(front, req, trace, outcome, response.status, detail)
    conn.end = "unanswered"
    try:
        await answering.send_response(front, conn, response, req.method)
        conn.end = end
    except ConnectionError:
        conn.end = "caller_left"
        raise
    finally:
        front.metrics.request_ends.labels(conn.end).inc()


def _make_answering_parser(method):
    """Returns an h11 connection that has read a request."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(method + b" / HTTP/1.1\r\nHost: -\r\n\r\n")
    while not isinstance(parser.next_event(), h11.EndOfMessage):
        pass
    return parser


async def _record_end(front, conn, cause):
    """Records requests, and bytes of them, that this instance leaves unanswered."""
    # The caller also closes its side once an answer has announced the close.
    is_announced = conn.closing and conn.req is None
    by_caller = conn.stream.ended and not is_announced
    if conn.req is not None:
        end = "caller_left" if by_caller else "unanswered"
        front.metrics.request_ends.labels(end).inc()
    dropped = await readahead.drop_ahead(front, conn)
    for exchange in dropped:
        end = "caller_left" if by_caller else "unread"
        front.metrics.requests_read.inc()
        front.metrics.request_ends.labels(end).inc()
        answering.log_request(
            front, exchange.received.ok, exchange.trace, end, 0, cause
        )
    if by_caller:
        return
    if conn.req is not None:
        age_ms = round((time.monotonic() - conn.req.received_at) * 1000.0, 1)
        request_id = conn.req.request_id
        log_event(
            front.log, "request_unanswered", id=request_id, cause=cause, age_ms=age_ms
        )
    unread = len(conn.stream.buffer) + len(conn.reading.trailing_data[0])
    unread += conn.discarded
    if unread or dropped:
        log_event(
            front.log,
            "bytes_unread",
            bytes=unread,
            requests=len(dropped),
            cause=cause,
        )


async def _serve_one(front, conn):
    """Serves one request; returns whether the connection stays open."""
    exchange = await readahead.next_exchange(front, conn)
    received, conn.parser = exchange.received, exchange.parser
    if received.is_error():
        await answering.send_response(front, conn, problem_response(received.error))
        conn.refused = True
        return False
    if received.ok is None:
        return False
    conn.req, conn.trace, conn.responding = received.ok, exchange.trace, False
    conn.drained += front.draining
    if conn.drained > MAX_DRAINED_REQUESTS:
        bytestream.hold_input(conn.stream)
    front.metrics.requests_read.inc()
    readahead.read_ahead(front, conn)
    await _handle_request(front, conn, exchange)
    front.metrics.request_ends.labels(conn.end).inc()
    conn.req = None
    return conn.parser.our_state is h11.DONE and conn.parser.their_state is h11.DONE


async def _drain_input(conn):
    """Takes what the caller still sends behind the last answer, for a time.

    Closing a socket that has unread bytes resets the connection, and a caller that is
    still sending would not read its last answer.
    """
    readahead.cancel_started(conn)
    await readahead.stop_reading(conn)
    unread = conn.ahead or conn.stream.buffer or conn.reading.trailing_data[0]
    if not (unread or conn.refused or conn.stream.held):
        return
    bytestream.release_input(conn.stream)
    bytestream.write_eof(conn.stream)
    ends_at = time.monotonic() + LINGER_S
    with contextlib.suppress(TimeoutError, ConnectionError):
        while data := await bytestream.read_before(conn.stream, ends_at):
            conn.discarded += len(data)
            if time.monotonic() >= ends_at:
                break


async def _handle_request(front, conn, exchange):
    """Forwards a request, sends the response to the caller, and sets `conn.end`."""
    req, trace = conn.req, conn.trace
    if conn.stream.ended:
        conn.end = "caller_left"
        await readahead.drop_exchange(front, exchange)
        answering.log_request(front, req, trace, "caller_left", 0)
        return
    try:
        with answering.cancelled_by_end(conn):
            result = await (exchange.task or forwarding.forward(front, req, trace))
            if trace.early and result.is_ok() and result.ok.call is not None:
                result = await read_early_answer(front, req, trace, result.ok)
    except asyncio.CancelledError:
        if conn.stream.ended:
            answering.log_request(front, req, trace, "caller_left", 0)
        raise
    if result.is_error():
        conn.end, fault = "refused", result.error
        status = RESULT_CODE_INFO[fault.code].status
        answering.log_request(front, req, trace, fault.code.name, status, fault.detail)
        response = problem_response(fault)
        if conn.from_instance:
            handoverfields.write_fields(response, trace, is_own=True)
        await answering.send_response(front, conn, response, req.method)
        return
    conn.end = "answered"
    if conn.from_instance:
        handoverfields.write_fields(result.ok.response, trace)
    answering.log_request(front, req, trace, "answered", result.ok.response.status)
    await answering.relay_response(front, conn, req, result.ok)
