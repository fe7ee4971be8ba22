"""Sends answers to callers, and logs how their requests ended."""

import asyncio
import contextlib
import socket
import struct
import time

import h11

from flamingolift_front import bytestream, crashwatch, forwarding, httpcall, readahead
from flamingolift_front.eventlog import log_event
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.httpcall import header
from flamingolift_front.sending import Outcome
from flamingolift_front.sendresults import record_stream_end
from flamingolift_front.state import note_streamed
from flamingolift_front.viewage import view_age_ms

__all__ = [
    "cancelled_by_end",
    "cut_response",
    "log_request",
    "relay_response",
    "send_response",
]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket resets the connection."""


@contextlib.contextmanager
def cancelled_by_end(conn):
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


def log_request(front, req, trace, outcome, status, detail=""):
    """Logs the end of a request, and counts it.

    Args:
        front: Front.
        req: CallerRequest.
        trace: Trace of the request.
        outcome: Text of its end, as the field of `request_done` names it.
        status: HTTP status of the answer, 0 when there is none.
        detail: Why it was refused.
    """
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
        view_age_ms=view_age_ms(front.view),
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


async def relay_response(front, conn, req, forwarded):
    """Sends a server's response to the caller; only its framing may change.

    Args:
        front: Front.
        conn: CallerConnection.
        req: CallerRequest that it answers.
        forwarded: ForwardedResponse.

    Raises:
        ConnectionError: A response that was streamed broke off, and was cut.

    Notes:
        The route's timeout bounds the time to the response. A body that is streamed
        after it has until the caller's deadline.
    """
    if forwarded.call is None:
        await send_response(front, conn, forwarded.response, req.method)
        return
    note_streamed(front, conn.trace.route)
    cut_at = req.deadline_at + forwarding.DEADLINE_GRACE_S
    outcome = Outcome.CANCELLED
    try:
        with cancelled_by_end(conn):
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
        cut_response(front, conn, req, cause)
        raise ConnectionAbortedError("a streamed response was cut") from exc
    except asyncio.CancelledError:
        ended = conn.stream.ended
        cause = "the caller disconnected" if ended else "the instance is stopping"
        cut_response(front, conn, req, cause)
        raise
    finally:
        bytestream.abort(forwarded.call.stream)
        record_stream_end(front, forwarded.backend, outcome)


def cut_response(front, conn, req, cause):
    """Resets the caller's connection.

    Without the reset, the response would look complete to a caller for which the end
    of the connection is the end of the body.

    Args:
        front: Front.
        conn: CallerConnection.
        req: CallerRequest whose answer is cut.
        cause: Why, for the log.
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
    data = _encode_head(conn, response, headers)
    conn.responding = True
    bytestream.write(conn.stream, data)
    await _send_pieces(conn, response.body)
    # It is sent, and no longer held while the rest follows.
    response.body, response.held = b"", None
    async for chunk in httpcall.iter_body(forwarded.call):
        bytestream.write(conn.stream, conn.parser.send(h11.Data(data=chunk)))
        await bytestream.flush(conn.stream)
    bytestream.write(conn.stream, conn.parser.send(h11.EndOfMessage()))


async def send_response(front, conn, response, method=b"GET"):
    """Sends a complete response; announces the close while the instance stops.

    Requests that have arrived behind it are answered before the close.

    Args:
        front: Front.
        conn: CallerConnection.
        response: HttpResponse.
        method: HTTP method of the request (bytes).

    Raises:
        ConnectionError: The caller's connection broke off.
    """
    if conn.parser.our_state not in (h11.SEND_RESPONSE, h11.IDLE):
        return
    has_body = method != b"HEAD" and response.status not in (204, 304)
    framing = (b"content-length",) if has_body else ()
    headers = httpcall.strip_hop_headers(response.headers, framing)
    if has_body:
        headers.append((b"Content-Length", str(len(response.body)).encode()))
    body = response.body if has_body else b""
    # A larger one takes so long that requests may arrive behind it.
    is_small = len(body) <= httpcall.SEND_PIECE_BYTES
    if front.stopping and is_small and not readahead.has_requests_behind(conn):
        conn.closing = True
    if conn.closing:
        headers.append((b"Connection", b"close"))
    data = _encode_head(conn, response, headers)
    conn.responding = True
    if not is_small:
        bytestream.write(conn.stream, data)
        await _send_pieces(conn, body, is_whole=True)
        data = b""
    elif body:
        data += conn.parser.send(h11.Data(data=body))
    bytestream.write(conn.stream, data + conn.parser.send(h11.EndOfMessage()))
    await bytestream.flush(conn.stream)


async def _send_pieces(conn, body, is_whole=False):
    """Sends a part of an answer in pieces, each when the send buffer has room for it.

    Args:
        conn: CallerConnection.
        body: Bytes.
        is_whole: Whether they are the whole body, of which the rest is queued at once
            when the instance stops.
    """
    rest = memoryview(body)
    try:
        while rest:
            piece = rest[: httpcall.SEND_PIECE_BYTES]
            rest = rest[len(piece) :]
            bytestream.write(conn.stream, conn.parser.send(h11.Data(data=piece)))
            await bytestream.flush(conn.stream)
    except asyncio.CancelledError:
        if is_whole and not conn.stream.ended:
            data = conn.parser.send(h11.Data(data=rest)) if rest else b""
            data += conn.parser.send(h11.EndOfMessage())
            bytestream.write(conn.stream, data)
        raise


def _encode_head(conn, response, headers):
    head = h11.Response(
        status_code=response.status, headers=headers, reason=response.reason
    )
    return conn.parser.send(head)
