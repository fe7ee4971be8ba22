"""Callers' HTTP/1.1 connections: one task for each, which answers in order."""

import asyncio
import collections
import contextlib
import functools
import socket
import struct
import time

import h11
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode

from flamingolift_front import bytestream, crashwatch, forwarding, httpcall, readahead
from flamingolift_front.eventlog import log_event
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.httpcall import header
from flamingolift_front.refusals import retryable_fault
from flamingolift_front.requesttrace import may_have_run
from flamingolift_front.responses import problem_response
from flamingolift_front.sending import Outcome
from flamingolift_front.sendresults import record_stream_end

__all__ = ["CallerConnection", "accept_caller", "close_idle", "end_requests"]

LINGER_S = 2.0
"""Longest time for which the rest of a refused request is taken (s)."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket resets the connection."""


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
        responding: Whether bytes of the answer to it were sent.
    """

    __slots__ = (
        "ahead",
        "arrived",
        "busy",
        "closing",
        "from_instance",
        "parser",
        "reader",
        "reading",
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
        self.responding = False


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
        answering = conn.parser.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)
        if conn.req is not None and answering:
            conn.task.cancel()


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
    bytestream.close(conn.stream)
    try:
        await bytestream.wait_closed(conn.stream)
    finally:
        front.connections.discard(conn)


async def _answer_unfinished(front, conn, codes, cause):
    """Tells a caller how a request ended that has no complete answer.

    The parser may be in a state in which it sends no more, so another one encodes the
    answer.

    Args:
        front: Front.
        conn: CallerConnection.
        codes: ResultCode of a request that did not run, and of one that may have run.
        cause: Why there is no answer of a server.
    """
    if conn.req is None or conn.stream.ended or conn.stream.transport.is_closing():
        return
    if conn.responding:
        _cut_response(front, conn, conn.req, cause)
        return
    if may_have_run(conn.trace):
        fault = Fault(codes[1], f"{cause} during the request")
    else:
        fault = retryable_fault(front, codes[0], f"{cause} before a send")
    conn.parser = _make_answering_parser(conn.req.method)
    status = RESULT_CODE_INFO[fault.code].status
    _log_request(front, conn.req, conn.trace, fault.code.name, status, cause)
    front.metrics.request_ends.labels("refused").inc()
    req, conn.req = conn.req, None
    with contextlib.suppress(ConnectionError):
        await _send_response(front, conn, problem_response(fault), req.method)


def _make_answering_parser(method):
    """Returns an h11 connection that has read a request and closes after the answer."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(method + b" / HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n")
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
    unread_requests = len(conn.ahead)
    for exchange in await readahead.drop_ahead(front, conn):
        end = "caller_left" if by_caller else "unread"
        front.metrics.requests_read.inc()
        front.metrics.request_ends.labels(end).inc()
        _log_request(front, exchange.received.ok, exchange.trace, end, 0, cause)
    if by_caller:
        return
    if conn.req is not None:
        age_ms = round((time.monotonic() - conn.req.received_at) * 1000.0, 1)
        request_id = conn.req.request_id
        log_event(
            front.log, "request_unanswered", id=request_id, cause=cause, age_ms=age_ms
        )
    unread = len(conn.stream.buffer) + len(conn.reading.trailing_data[0])
    if unread or unread_requests:
        log_event(
            front.log,
            "bytes_unread",
            bytes=unread,
            requests=unread_requests,
            cause=cause,
        )


async def _serve_one(front, conn):
    """Serves one request; returns whether the connection stays open."""
    exchange = await readahead.next_exchange(front, conn)
    received, conn.parser = exchange.received, exchange.parser
    if received.is_error():
        await _send_response(front, conn, problem_response(received.error))
        await _discard_input(conn.stream)
        return False
    if received.ok is None:
        return False
    conn.req, conn.trace, conn.responding = received.ok, exchange.trace, False
    front.metrics.requests_read.inc()
    readahead.read_ahead(front, conn)
    end = await _handle_request(front, conn, exchange)
    front.metrics.request_ends.labels(end).inc()
    conn.req = None
    return conn.parser.our_state is h11.DONE and conn.parser.their_state is h11.DONE


async def _drain_input(conn):
    """Takes what stands behind the last answer, so that the close resets nothing."""
    readahead.cancel_started(conn)
    await readahead.stop_reading(conn)
    if conn.ahead or conn.stream.buffer or conn.reading.trailing_data[0]:
        await _discard_input(conn.stream)


async def _discard_input(stream):
    """Takes the rest of a refused request, for a time.

    Closing a socket that has unread bytes resets the connection, and a caller that is
    still sending would not read its refusal.
    """
    bytestream.write_eof(stream)
    ends_at = time.monotonic() + LINGER_S
    with contextlib.suppress(TimeoutError, ConnectionError):
        while await bytestream.read_before(stream, ends_at):
            if time.monotonic() >= ends_at:
                break


async def _handle_request(front, conn, exchange):
    """Forwards a request and sends the response to the caller.

    Returns:
        "answered" with a server's response, "refused" with one of the instance, or
        "caller_left".
    """
    req, trace = conn.req, conn.trace
    if conn.stream.ended:
        await readahead.drop_exchange(front, exchange)
        _log_request(front, req, trace, "caller_left", 0)
        return "caller_left"
    try:
        with _cancelled_by_end(conn):
            result = await (exchange.task or forwarding.forward(front, req, trace))
    except asyncio.CancelledError:
        if conn.stream.ended:
            _log_request(front, req, trace, "caller_left", 0)
        raise
    if result.is_error():
        fault = result.error
        status = RESULT_CODE_INFO[fault.code].status
        _log_request(front, req, trace, fault.code.name, status, fault.detail)
        await _send_response(front, conn, problem_response(fault), req.method)
        return "refused"
    _log_request(front, req, trace, "answered", result.ok.response.status)
    await _relay_response(front, conn, req, result.ok)
    return "answered"


@contextlib.contextmanager
def _cancelled_by_end(conn):
    """Cancels the current task, besides what was started early, when the caller leaves.

    Args:
        conn: CallerConnection that the task serves.
    """
    on_end, task = conn.stream.on_end, asyncio.current_task()

    def cancel():
        on_end()
        task.cancel()

    conn.stream.on_end = cancel
    try:
        yield
    finally:
        conn.stream.on_end = on_end


def _log_request(front, req, trace, outcome, status, detail=""):
    elapsed_s = time.monotonic() - req.received_at
    front.metrics.requests.labels(trace.route, outcome).inc()
    front.metrics.latency.labels(trace.service).observe(elapsed_s)
    failure = outcome != "answered" or status >= 500
    log_event(
        front.log,
        "request_done",
        failure=failure,
        id=req.request_id,
        outcome=outcome,
        status=status,
        route=trace.route,
        service=trace.service,
        policy=trace.policy,
        revision=front.view.revision,
        elapsed_ms=round(elapsed_s * 1000.0, 1),
        sends=[_encode_send(send) for send in trace.sends],
        withheld=trace.withheld,
        handed_to=trace.handed_to,
        early=trace.early,
        waited_ms=trace.waited_ms,
        detail=detail,
        fingerprint=fingerprint_of(req) if failure and trace.sends else "",
    )


def _encode_send(send):
    return [send.server_id, send.rank, send.load, send.outcome.value, send.elapsed_ms]


async def _relay_response(front, conn, req, forwarded):
    """Sends a server's response to the caller; only its framing may change.

    Notes:
        The route's timeout bounds the time to the response. A body that is streamed
        after it has until the caller's deadline.
    """
    if forwarded.call is None:
        await _send_response(front, conn, forwarded.response, req.method)
        return
    cut_at = req.deadline_at + forwarding.DEADLINE_GRACE_S
    outcome = Outcome.CANCELLED
    try:
        with _cancelled_by_end(conn):
            async with asyncio.timeout(cut_at - time.monotonic()):
                await _stream_response(front, conn, forwarded)
        outcome = Outcome.ANSWERED
        if forwarded.response.status < 500:
            crashwatch.note_success(front, req)
    except (ConnectionError, TimeoutError, httpcall.InvalidResponseError) as exc:
        late = isinstance(exc, TimeoutError)
        if not conn.stream.ended and not late:
            outcome = Outcome.LOST
            if forwarded.entry is not None:
                crashwatch.note_lost(front, req, forwarded.entry)
        elif not conn.stream.ended and conn.stream.writable is None:
            outcome = Outcome.LATE
        cause = "the deadline passed" if late else str(exc) or type(exc).__name__
        _cut_response(front, conn, req, cause)
        raise ConnectionAbortedError("a streamed response was cut") from exc
    except asyncio.CancelledError:
        ended = conn.stream.ended
        cause = "the caller disconnected" if ended else "the instance is stopping"
        _cut_response(front, conn, req, cause)
        raise
    finally:
        bytestream.abort(forwarded.call.stream)
        record_stream_end(front, forwarded.backend, outcome)


def _cut_response(front, conn, req, cause):
    """Resets the caller's connection.

    Without the reset, the response would look complete to a caller for which the end
    of the connection is the end of the body.
    """
    log_event(front.log, "answer_cut", id=req.request_id, cause=cause)
    sock = conn.stream.transport.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    bytestream.abort(conn.stream)


async def _stream_response(front, conn, forwarded):
    response = forwarded.response
    # The transfer coding of the server's response overrides its length (RFC 9112).
    coded = header(response.headers, "transfer-encoding") is not None
    framing = (b"content-length",) if coded else ()
    headers = httpcall.strip_hop_headers(response.headers, framing)
    data = _encode_head(front, conn, response, headers)
    data += conn.parser.send(h11.Data(data=response.body))
    conn.responding = True
    bytestream.write(conn.stream, data)
    async for chunk in httpcall.iter_body(forwarded.call):
        bytestream.write(conn.stream, conn.parser.send(h11.Data(data=chunk)))
        await bytestream.flush(conn.stream)
    bytestream.write(conn.stream, conn.parser.send(h11.EndOfMessage()))


async def _send_response(front, conn, response, method=b"GET"):
    """Sends a complete response."""
    if conn.parser.our_state not in (h11.SEND_RESPONSE, h11.IDLE):
        return
    has_body = method != b"HEAD" and response.status not in (204, 304)
    framing = (b"content-length",) if has_body else ()
    headers = httpcall.strip_hop_headers(response.headers, framing)
    if has_body:
        headers.append((b"Content-Length", str(len(response.body)).encode()))
    data = _encode_head(front, conn, response, headers)
    if response.body and has_body:
        data += conn.parser.send(h11.Data(data=response.body))
    data += conn.parser.send(h11.EndOfMessage())
    conn.responding = True
    bytestream.write(conn.stream, data)
    await bytestream.flush(conn.stream)


def _encode_head(front, conn, response, headers):
    """Encodes a response's head; announces the close while the instance stops.

    Requests that were started early are answered before the close.
    """
    if front.stopping and all(exchange.task is None for exchange in conn.ahead):
        conn.closing = True
        headers.append((b"Connection", b"close"))
    head = h11.Response(
        status_code=response.status, headers=headers, reason=response.reason
    )
    return conn.parser.send(head)
