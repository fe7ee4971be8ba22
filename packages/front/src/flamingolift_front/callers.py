"""Callers' HTTP/1.1 connections: one task for each, one request at a time."""

import asyncio
import socket
import struct
import time

import h11
from flamingolift_model import RESULT_CODE_INFO

from flamingolift_front import bytestream, forwarding, httpcall
from flamingolift_front.eventlog import log_event
from flamingolift_front.requestreading import read_request
from flamingolift_front.requesttrace import Trace
from flamingolift_front.responses import problem_response
from flamingolift_front.sending import Outcome
from flamingolift_front.sendresults import record_stream_end

__all__ = ["CallerConnection", "accept_caller", "close_idle"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket resets the connection."""


class CallerConnection:
    """State of one caller's connection.

    Attributes:
        stream: ByteStream.
        parser: h11 connection.
        max_header_bytes: Largest head that the parser takes (bytes); None before the
            first request.
        task: Task that serves the connection.
        busy: Whether a request is being received or served.
        from_instance: Whether another instance hands requests on over it.
        closing: Whether the connection closes after the current response.
        req: CallerRequest that was read whole and has no complete answer yet, or
            None.
    """

    __slots__ = (
        "busy",
        "closing",
        "from_instance",
        "max_header_bytes",
        "parser",
        "req",
        "stream",
        "task",
    )

    def __init__(self, stream, parser, from_instance):
        self.stream = stream
        self.parser = parser
        self.from_instance = from_instance
        self.max_header_bytes = None
        self.task = None
        self.busy = False
        self.closing = False
        self.req = None


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
    conn.task = asyncio.get_running_loop().create_task(_serve(front, conn))


def close_idle(front):
    """Closes the connections on which no request is in progress."""
    for conn in list(front.connections):
        if not conn.busy and not conn.stream.buffer:
            conn.task.cancel()


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
    received = await read_request(front, conn)
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
        handed_to=trace.handed_to,
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
