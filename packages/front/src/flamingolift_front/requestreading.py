"""Reads callers' requests from their connections, within the limits of the policy."""

import time

import h11
from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.routing import RequestLimits

from flamingolift_front import bytestream, httpcall
from flamingolift_front.bodyreading import read_body
from flamingolift_front.httpcall import header
from flamingolift_front.sending import HANDED_ON, CallerRequest

__all__ = ["IDLE_MARGIN_S", "read_request"]

IDLE_MARGIN_S = 1.0
"""Time after the idle timeout before a connection is closed (s), so that a request
that was sent before the timeout still finds the connection open."""
DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request without a valid deadline header field (s)."""
HANDED_ON_BYTES = 256
"""Size of the header fields that an instance adds to a request that it hands on."""
_RESULT_CODES = {431: ResultCode.HEADER_TOO_LARGE, 413: ResultCode.TOO_LARGE}
"""Map of the status that h11 suggests for an invalid request to its result code."""
_HANDED_ON = HANDED_ON.decode().lower()


def _current_limits(front):
    """Returns the RequestLimits in force."""
    table = front.view.table
    return table.limits if table is not None else RequestLimits()


async def read_request(front, conn) -> Result:
    """Reads one request; its parser is then the connection's `reading`.

    Args:
        front: Front.
        conn: CallerConnection.

    Returns:
        Ok with a CallerRequest, Ok with None when the caller closed the connection
        or left it idle for too long, or when its input is held and the rest of a
        request is missing, or Error with a Fault.
    """
    if not await _wait_for_request(front, conn):
        return Ok(None)
    conn.busy = bool(conn.reading.trailing_data[0] or conn.stream.buffer)
    conn.closing = False
    # A policy may have changed the limits while the connection was idle.
    limits = _current_limits(front)
    conn.reading = _next_parser(conn, limits)
    try:
        head = await _read_head(conn, limits)
    except bytestream.InputHeldError:
        return Ok(None)
    except TimeoutError:
        return Error(
            Fault(ResultCode.REQUEST_TIMEOUT, "the request head did not arrive in time")
        )
    except h11.RemoteProtocolError as exc:
        code = _RESULT_CODES.get(exc.error_status_hint, ResultCode.BAD_REQUEST)
        return Error(Fault(code, str(exc)))
    if head is None:
        return Ok(None)
    received_at = time.monotonic()
    if _head_size(head) > _max_head_bytes(conn, limits):
        return Error(
            Fault(
                ResultCode.HEADER_TOO_LARGE, "the request head exceeds max_header_bytes"
            )
        )
    idle_s, deadline_at = _idle_time(limits), _deadline(front, head, received_at)
    try:
        body = await read_body(front, conn, head, limits, idle_s, deadline_at)
    except TimeoutError:
        return Error(
            Fault(ResultCode.REQUEST_TIMEOUT, "the request body did not arrive in time")
        )
    except bytestream.InputHeldError:
        return Ok(None)
    except h11.RemoteProtocolError as exc:
        return Error(Fault(ResultCode.BAD_REQUEST, str(exc)))
    if body.is_error():
        return body
    return _build_request(front, conn, head, body.ok, received_at, deadline_at)


def _deadline(front, head, received_at):
    """Returns the time at which the caller stops waiting (s, monotonic)."""
    name = front.header_names.deadline_ms
    text = header(list(head.headers.raw_items()), name, "")
    remaining_ms = httpcall.parse_count(text)
    remaining_s = DEFAULT_DEADLINE_S if remaining_ms is None else remaining_ms / 1000.0
    return received_at + remaining_s


def _idle_time(limits):
    return limits.idle_timeout_ms / 1000.0 + IDLE_MARGIN_S


async def _wait_for_request(front, conn):
    """Returns whether a request began, or the caller left, within the idle time.

    The wait ends earlier when the connection is to close.
    """
    if conn.reading.trailing_data[0]:
        return True
    idle_since = time.monotonic()
    while True:
        ends_at = idle_since + _idle_time(_current_limits(front))
        if conn.closing:
            ends_at = idle_since
        if await bytestream.wait_readable_before(conn.stream, ends_at):
            return True
        if conn.closing:
            return False
        if time.monotonic() >= idle_since + _idle_time(_current_limits(front)):
            return False


def _next_parser(conn, limits):
    """Returns a parser of the next request, which has the bytes behind the last one."""
    received, _ended = conn.reading.trailing_data
    max_bytes = _max_head_bytes(conn, limits)
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
    if received:
        parser.receive_data(received)
    return parser


def _max_head_bytes(conn, limits):
    allowance = HANDED_ON_BYTES if conn.from_instance else 0
    return limits.max_header_bytes + allowance


async def _read_head(conn, limits):
    """Returns the h11 request, or None when the caller closed an idle connection."""
    ends_at = time.monotonic() + limits.header_timeout_ms / 1000.0
    while True:
        event = conn.reading.next_event()
        if isinstance(event, h11.Request):
            return event
        if isinstance(event, h11.ConnectionClosed):
            return None
        conn.reading.receive_data(await bytestream.read_more(conn.stream, ends_at))


def _head_size(head):
    """Returns the smallest size that a request's head has on the wire (bytes)."""
    fields = sum(len(n) + len(v) + len(b": \r\n") for n, v in head.headers.raw_items())
    return len(head.method) + len(head.target) + len(b"  HTTP/1.1\r\n") + fields


def _build_request(front, conn, head, body, received_at, deadline_at) -> Result:
    if head.method == b"CONNECT":
        # Its answer would open a tunnel, of which no server knows here.
        return Error(Fault(ResultCode.BAD_REQUEST, "CONNECT is not supported"))
    headers = list(head.headers.raw_items())
    names = front.header_names
    attempts_left = None
    if conn.from_instance:
        attempts_left = httpcall.parse_count(header(headers, _HANDED_ON, ""))
        if attempts_left is None:
            return Error(Fault(ResultCode.BAD_REQUEST, f"{_HANDED_ON} is missing"))
    request_id = header(headers, names.request_id)
    if not request_id:
        return Error(Fault(ResultCode.BAD_REQUEST, f"{names.request_id} is missing"))
    data, held = body
    return Ok(
        CallerRequest(
            request_id,
            bytes(head.method),
            bytes(head.target),
            headers,
            data,
            header(headers, "host", ""),
            _cookie(headers, names.object_cookie),
            received_at,
            deadline_at,
            attempts_left,
            held,
        )
    )


def _cookie(headers, name):
    """Returns the value of a cookie, empty when it is missing."""
    for part in header(headers, "cookie", "").split(";"):
        key, _, value = part.strip().partition("=")
        if key.lower() == name:
            return value
    return ""
