"""Callers' HTTP/1.1 connections: one task for each, one request at a time."""

import asyncio
import socket
import struct
import time

import h11
from expression import Error, Ok, Result
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode
from flamingolift_model.routing import RequestLimits

from flamingolift_front import bytestream, forwarding, httpcall
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header
from flamingolift_front.requesttrace import Trace
from flamingolift_front.responses import problem_response
from flamingolift_front.sending import CallerRequest, Outcome
from flamingolift_front.sendresults import record_stream_end

__all__ = ["CallerConnection", "accept_caller", "close_idle"]

IDLE_MARGIN_S = 1.0
"""Time after the idle timeout before a connection is closed (s), so that a request
that was sent before the timeout still finds the connection open."""
DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request without a valid deadline header field (s)."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket resets the connection."""
_RESULT_CODES = {431: ResultCode.HEADER_TOO_LARGE, 413: ResultCode.TOO_LARGE}
"""Map of the status that h11 suggests for an invalid request to its result code."""


class CallerConnection:
    """State of one caller's connection.

    Attributes:
        stream: ByteStream.
        parser: h11 connection.
        task: Task that serves the connection.
        busy: Whether a request is being received or served.
        closing: Whether the connection closes after the current response.
        req: CallerRequest that was read whole and has no complete answer yet, or
            None.
    """

    __slots__ = ("busy", "closing", "parser", "req", "stream", "task")

    def __init__(self, stream, parser):
        self.stream = stream
        self.parser = parser
        self.task = None
        self.busy = False
        self.closing = False
        self.req = None


def accept_caller(front, stream):
    """Starts the task of a new connection.

    Args:
        front: Front.
        stream: ByteStream that was accepted.
    """
    limits = _limits(front)
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
    )
    conn = CallerConnection(stream, parser)
    front.connections.add(conn)
    conn.task = asyncio.get_running_loop().create_task(_serve(front, conn))


def close_idle(front):
    """Closes the connections on which no request is in progress."""
    for conn in list(front.connections):
        if not conn.busy and not conn.stream.buffer:
            conn.task.cancel()


def _limits(front):
    table = front.view.table
    return table.limits if table is not None else RequestLimits()


async def _serve(front, conn):
    """Serves requests until the connection ends."""
    cause = "idle"
    try:
        while not conn.closing and await _serve_one(front, conn):
            conn.busy = False
            conn.parser.start_next_cycle()
    except (ConnectionError, h11.LocalProtocolError) as exc:
        cause = str(exc) or type(exc).__name__
        log_event(front.log, "caller_lost", cause=cause)
    except asyncio.CancelledError:
        # The caller disconnected, or the instance is stopping.
        cause = "cancelled"
    except Exception as exc:
        cause = repr(exc)
        log_event(front.log, "task_failed", task="caller", cause=cause)
    finally:
        _record_end(front, conn, cause)
        front.connections.discard(conn)
        bytestream.close(conn.stream)


def _record_end(front, conn, cause):
    """Records a request, or bytes of one, that this instance leaves unanswered."""
    by_caller = conn.stream.ended
    if conn.req is not None:
        end = "caller_left" if by_caller else "unanswered"
        front.metrics.request_ends.labels(end).inc()
    if by_caller:
        return
    if conn.req is not None:
        age_ms = round((time.monotonic() - conn.req.received_at) * 1000.0, 1)
        request_id = conn.req.request_id
        log_event(
            front.log, "request_unanswered", id=request_id, cause=cause, age_ms=age_ms
        )
    unread = len(conn.stream.buffer) + len(conn.parser.trailing_data[0])
    if unread:
        log_event(front.log, "bytes_unread", bytes=unread, cause=cause)


async def _serve_one(front, conn):
    """Serves one request; returns whether the connection stays open."""
    received = await _read_request(front, conn)
    if received.is_error():
        await _send_response(front, conn, problem_response(received.error))
        return False
    if received.ok is None:
        return False
    conn.req = received.ok
    front.metrics.requests_read.inc()
    end = await _handle_request(front, conn, conn.req)
    front.metrics.request_ends.labels(end).inc()
    conn.req = None
    return conn.parser.our_state is h11.DONE and conn.parser.their_state is h11.DONE


async def _read_request(front, conn) -> Result:
    """Reads one request.

    Returns:
        Ok with a CallerRequest, Ok with None when the caller closed the connection
        or left it idle for too long, or Error with a Fault.
    """
    limits = _limits(front)
    idle_s = limits.idle_timeout_ms / 1000.0 + IDLE_MARGIN_S
    try:
        async with asyncio.timeout(idle_s) as timer:
            head = await _read_head(conn, timer, limits)
    except TimeoutError:
        if not conn.busy:
            return Ok(None)
        return Error(
            Fault(ResultCode.REQUEST_TIMEOUT, "the request head did not arrive in time")
        )
    except h11.RemoteProtocolError as exc:
        if not conn.busy:
            return Ok(None)
        code = _RESULT_CODES.get(exc.error_status_hint, ResultCode.BAD_REQUEST)
        return Error(Fault(code, str(exc)))
    if head is None:
        return Ok(None)
    received_at = time.monotonic()
    if _head_size(head) > limits.max_header_bytes:
        return Error(
            Fault(
                ResultCode.HEADER_TOO_LARGE, "the request head exceeds max_header_bytes"
            )
        )
    try:
        async with asyncio.timeout(idle_s):
            body = await _read_body(conn, limits.max_body_bytes)
    except TimeoutError:
        return Error(
            Fault(ResultCode.REQUEST_TIMEOUT, "the request body did not arrive in time")
        )
    except h11.RemoteProtocolError as exc:
        return Error(Fault(ResultCode.BAD_REQUEST, str(exc)))
    if body is None:
        return Error(
            Fault(ResultCode.TOO_LARGE, "the request body exceeds max_body_bytes")
        )
    return _build_request(front, head, body, received_at)


async def _read_head(conn, timer, limits):
    """Returns the h11 request, or None when the caller closed an idle connection."""
    while True:
        event = conn.parser.next_event()
        if isinstance(event, h11.Request):
            conn.busy = True
            return event
        if isinstance(event, h11.ConnectionClosed):
            return None
        data = await bytestream.read(conn.stream)
        if data and not conn.busy:
            conn.busy = True
            loop = asyncio.get_running_loop()
            timer.reschedule(loop.time() + limits.header_timeout_ms / 1000.0)
        conn.parser.receive_data(data)


def _head_size(head):
    """Returns the smallest size that a request's head has on the wire (bytes)."""
    fields = sum(len(n) + len(v) + len(b": \r\n") for n, v in head.headers.raw_items())
    return len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n") + fields


async def _read_body(conn, max_bytes):
    """Returns the body (bytes), or None when it exceeds the limit."""
    body = bytearray()
    while True:
        event = conn.parser.next_event()
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_bytes:
                return None
        elif isinstance(event, h11.EndOfMessage):
            return bytes(body)
        else:
            if conn.parser.they_are_waiting_for_100_continue:
                continue_event = h11.InformationalResponse(status_code=100, headers=[])
                bytestream.write(conn.stream, conn.parser.send(continue_event))
            conn.parser.receive_data(await bytestream.read(conn.stream))


def _build_request(front, head, body, received_at) -> Result:
    headers = list(head.headers.raw_items())
    names = front.header_names
    request_id = header(headers, names.request_id)
    if not request_id:
        return Error(Fault(ResultCode.BAD_REQUEST, f"{names.request_id} is missing"))
    remaining_ms = httpcall.parse_count(header(headers, names.deadline_ms, ""))
    remaining_s = DEFAULT_DEADLINE_S if remaining_ms is None else remaining_ms / 1000.0
    return Ok(
        CallerRequest(
            request_id,
            bytes(head.method),
            bytes(head.target),
            headers,
            body,
            header(headers, "host", ""),
            _cookie(headers, names.object_cookie),
            received_at,
            received_at + remaining_s,
        )
    )


def _cookie(headers, name):
    """Returns the value of a cookie, empty when it is missing."""
    for part in header(headers, "cookie", "").split(";"):
        key, _, value = part.strip().partition("=")
        if key.lower() == name:
            return value
    return ""


async def _handle_request(front, conn, req):
    """Forwards a request and sends the response to the caller.

    Returns:
        "answered" with a server's response, "refused" with one of the instance, or
        "caller_left".
    """
    trace = Trace()
    task = asyncio.current_task()
    conn.stream.on_end = task.cancel
    if conn.stream.ended:
        return "caller_left"
    try:
        result = await forwarding.forward(front, req, trace)
    except asyncio.CancelledError:
        _log_request(front, req, trace, "caller_left", 0)
        raise
    finally:
        conn.stream.on_end = None
    if result.is_error():
        fault = result.error
        status = RESULT_CODE_INFO[fault.code].status
        _log_request(front, req, trace, fault.code.name, status, fault.detail)
        await _send_response(front, conn, problem_response(fault), req.method)
        return "refused"
    _log_request(front, req, trace, "answered", result.ok.response.status)
    await _relay_response(front, conn, req, result.ok)
    return "answered"


def _log_request(front, req, trace, outcome, status, detail=""):
    elapsed_s = time.monotonic() - req.received_at
    front.metrics.requests.labels(trace.route, outcome).inc()
    front.metrics.latency.labels(trace.service).observe(elapsed_s)
    log_event(
        front.log,
        "request_done",
        failure=outcome != "answered" or status >= 500,
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
        detail=detail,
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
    conn.stream.on_end = asyncio.current_task().cancel
    outcome = Outcome.CANCELLED
    try:
        async with asyncio.timeout(cut_at - time.monotonic()):
            await _stream_response(front, conn, forwarded)
        outcome = Outcome.ANSWERED
    except (ConnectionError, TimeoutError, httpcall.InvalidResponseError) as exc:
        late = isinstance(exc, TimeoutError)
        if not conn.stream.ended and not late:
            outcome = Outcome.LOST
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
        conn.stream.on_end = None
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
    data = _encode_head(
        front, conn, response, httpcall.strip_hop_headers(response.headers)
    )
    bytestream.write(conn.stream, data + conn.parser.send(h11.Data(data=response.body)))
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
    bytestream.write(conn.stream, data + conn.parser.send(h11.EndOfMessage()))
    await bytestream.flush(conn.stream)


def _encode_head(front, conn, response, headers):
    """Encodes a response's head; announces the close while the instance stops."""
    if front.stopping:
        conn.closing = True
        headers.append((b"Connection", b"close"))
    head = h11.Response(
        status_code=response.status, headers=headers, reason=response.reason
    )
    return conn.parser.send(head)
