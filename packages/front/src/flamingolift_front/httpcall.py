"""HTTP/1.1 client: one request and its response on a connection."""

import asyncio
import contextlib
import re

import h11

from flamingolift_front import bytestream
from flamingolift_front.heldbytes import extend_held, hold_now
from flamingolift_front.spool import append_piece, make_spool, spooled_body

__all__ = [
    "HttpCall",
    "HttpResponse",
    "InvalidResponseError",
    "accept_any",
    "header",
    "is_reusable",
    "iter_body",
    "open_call",
    "parse_count",
    "parse_decimal",
    "read_on",
    "read_response",
    "strip_hop_headers",
]

MAX_HEAD_BYTES = 65536
"""Largest head of a response (bytes), four times the usual limit for requests."""
SPOOL_BYTES = 1 << 20
"""Largest body that is buffered completely before its first byte is passed on (bytes).
Larger ones are streamed, and their requests are not retried."""
SEND_PIECE_BYTES = bytestream.WRITE_HIGH_WATER_BYTES
"""Size of the pieces in which a body is sent (bytes)."""
UNCOUNTED_BYTES = 1 << 14
"""Size up to which a response is buffered without room in the budget (bytes), so that
small ones are retried and their connections kept under pressure, too."""
MAX_COUNT_DIGITS = 18
"""Digits of a number beyond which it is not taken for a count."""
MAX_SKIPPED_RESPONSES = 4
"""Responses to other requests that are skipped on one connection."""
MAX_SKIPPED_BYTES = MAX_SKIPPED_RESPONSES * SPOOL_BYTES
"""Body bytes of such responses that are read on one connection (bytes). Reading more
takes longer than a new connection."""
MAX_INFORMATIONAL_RESPONSES = 16
"""Informational responses (1xx) that are read before a response."""
EVENTS_PER_TURN = 32
"""Parsed pieces of responses after which other tasks of the event loop run: about
half a millisecond of work. A buffer holds tens of thousands of tiny chunks."""

_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_STATUS_LINE_START = b"HTTP/1."
_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class InvalidResponseError(Exception):
    """The response is malformed, cut short or does not belong to the request."""


class HttpResponse:
    """HTTP response.

    Attributes:
        status: HTTP status.
        reason: Reason phrase (bytes).
        headers: List of (name, value), both bytes, as received.
        body: Part of the body that has been read (bytes, or memoryview in a call that
            draws on a byte budget).
        complete: Whether `body` is the whole body.
        held: HeldBytes of `body`, or None.
    """

    __slots__ = ("body", "complete", "headers", "held", "reason", "status")

    def __init__(self, status, reason, headers, body=b"", complete=False):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.complete = complete
        self.held = None


class HttpCall:
    """State of one request on a connection.

    Attributes:
        stream: ByteStream.
        parser: h11 connection.
        request: h11 request, kept to parse further responses.
        sender: Task that sends a large body, or None.
        budget: ByteBudget of the response's body, or None.
        events: Number of pieces of responses that were parsed.
        informational: Number of informational responses that were read.
        skipped: Number of responses to other requests that were skipped.
        skipped_bytes: Size of their bodies (bytes).
    """

    __slots__ = (
        "budget",
        "events",
        "informational",
        "parser",
        "request",
        "sender",
        "skipped",
        "skipped_bytes",
        "stream",
    )

    def __init__(self, stream, parser, request):
        self.stream = stream
        self.parser = parser
        self.request = request
        self.sender = None
        self.budget = None
        self.events = 0
        self.informational = 0
        self.skipped = 0
        self.skipped_bytes = 0


def header(headers, name, default=None):
    """Returns the value of a header field as text.

    Args:
        headers: List of (name, value), both bytes.
        name: Lower-case field name.
        default: Value when the field is missing.

    Returns:
        Text of the first such field.
    """
    name = name.encode()
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return default


def parse_count(text):
    """Returns a decimal number of a header field or query, or None if it is none."""
    text = text.strip()
    # `isdecimal` alone accepts the digits of other scripts.
    is_count = text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else None


def parse_decimal(text):
    """Returns a decimal number of a header field, or None if it is none."""
    return float(text) if _DECIMAL.fullmatch(text.strip()) else None


def strip_hop_headers(headers, extra=()):
    """Removes the hop-by-hop header fields (RFC 9110, section 7.6.1).

    Args:
        headers: List of (name, value), both bytes.
        extra: Further lower-case names to remove (bytes).

    Returns:
        New list of (name, value).
    """
    dropped = set(_HOP_HEADERS)
    dropped.update(extra)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def _new_parser(request):
    """Returns an h11 connection and the encoded head of the request."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    return parser, parser.send(request)


def open_call(stream, method, target, headers, body):
    """Sends a request.

    Args:
        stream: ByteStream of an idle connection.
        method: HTTP method (bytes).
        target: Request target (bytes), sent unchanged.
        headers: List of (name, value), both bytes, with the framing of the body.
        body: Whole body (bytes or memoryview).

    Returns:
        HttpCall. A task sends what is left of a large body while the response is read,
        since a server may respond before it has read the request.
    """
    request = h11.Request(method=method, target=target, headers=headers)
    parser, data = _new_parser(request)
    call = HttpCall(stream, parser, request)
    if len(body) <= SEND_PIECE_BYTES:
        if body:
            data += parser.send(h11.Data(data=body))
        bytestream.write(stream, data + parser.send(h11.EndOfMessage()))
        return call
    bytestream.write(stream, data)
    sending = _send_body(stream, parser, memoryview(body))
    call.sender = asyncio.get_running_loop().create_task(sending)
    return call


async def _send_body(stream, parser, body):
    """Sends a body in pieces, each when the send buffer has room for it."""
    # Whoever reads the response sees that the connection broke off.
    with contextlib.suppress(ConnectionError):
        for start in range(0, len(body), SEND_PIECE_BYTES):
            await bytestream.flush(stream)
            if stream.transport.is_closing():
                return
            piece = body[start : start + SEND_PIECE_BYTES]
            bytestream.write(stream, parser.send(h11.Data(data=piece)))
        bytestream.write(stream, parser.send(h11.EndOfMessage()))


def _stop_sending(call):
    """Ends the sending of a body whose response is complete; nobody reads the rest."""
    if call.sender is not None:
        call.sender.cancel()


async def _next_event(call):
    call.events += 1
    if call.events % EVENTS_PER_TURN == 0:
        await asyncio.sleep(0)
    while True:
        try:
            event = call.parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise InvalidResponseError(str(exc)) from exc
        if event is not h11.NEED_DATA:
            return event
        if call.parser.their_state is h11.SEND_RESPONSE:
            _check_status_line_start(call.parser.trailing_data[0])
        call.parser.receive_data(await bytestream.read(call.stream))


def _check_status_line_start(received):
    """Rejects bytes that cannot become a response, without waiting for a line end."""
    start = received[: len(_STATUS_LINE_START)]
    if not _STATUS_LINE_START.startswith(start):
        raise InvalidResponseError(f"no status line: {start!r}")


async def _read_head(call):
    while True:
        event = await _next_event(call)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise InvalidResponseError("the connection ended without a response")
        call.informational += 1
        if call.informational > MAX_INFORMATIONAL_RESPONSES:
            raise InvalidResponseError("too many informational responses")


def accept_any(_status, _headers):
    """Takes any response for the expected one, for servers that answer in order."""
    return True


async def read_response(call, matches, spool_bytes=SPOOL_BYTES):
    """Reads the response to a request.

    Args:
        call: HttpCall.
        matches: Function of a response's status and headers; returns False for a
            response to another request, which is skipped.
        spool_bytes: Largest body that is buffered completely (bytes).

    Returns:
        HttpResponse. When its body is larger than `spool_bytes`, the rest is read
        with `iter_body`.

    Raises:
        InvalidResponseError: The response is malformed or cut short.
        ConnectionError: The connection broke off.
    """
    while True:
        head = await _read_head(call)
        headers = list(head.headers.raw_items())
        if matches(head.status_code, headers):
            break
        await _skip_response(call)
    response = HttpResponse(head.status_code, bytes(head.reason), headers)
    await read_on(call, response, spool_bytes)
    return response


async def read_on(call, response, spool_bytes):
    """Reads more of a response's body.

    Args:
        call: HttpCall.
        response: HttpResponse that is not complete.
        spool_bytes: Largest body that is buffered completely (bytes). Without room in
            the budget, less is.

    Raises:
        InvalidResponseError: The response is malformed or cut short.
        ConnectionError: The connection broke off.
    """
    body = make_spool(spool_bytes + 2 * SEND_PIECE_BYTES, response.body)
    if response.held is None and call.budget is not None:
        response.held = hold_now(call.budget)
    async for chunk in iter_body(call):
        append_piece(body, chunk)
        if body.used > spool_bytes or not _has_room(response, body.used, chunk):
            break
    else:
        response.complete = True
        _stop_sending(call)
    response.body = spooled_body(body)
    if call.budget is None:
        response.body = bytes(response.body)


def _has_room(response, size, chunk):
    """Counts a chunk of a body as held; returns whether more may be buffered."""
    if response.held is None or extend_held(response.held, len(chunk)):
        return True
    return size <= UNCOUNTED_BYTES


async def iter_body(call):
    """Yields the rest of a response's body.

    Args:
        call: HttpCall.

    Yields:
        Bytes; the iterator ends only after the whole body.

    Raises:
        InvalidResponseError: The response is malformed or cut short.
        ConnectionError: The connection broke off.
    """
    while True:
        event = await _next_event(call)
        if isinstance(event, h11.Data):
            yield bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return
        else:
            raise InvalidResponseError("the response ended early")


async def _skip_response(call):
    """Reads a response to another request and prepares for the next response."""
    call.skipped += 1
    if call.skipped > MAX_SKIPPED_RESPONSES:
        raise InvalidResponseError("too many responses to other requests")
    async for chunk in iter_body(call):
        call.skipped_bytes += len(chunk)
        if call.skipped_bytes > MAX_SKIPPED_BYTES:
            raise InvalidResponseError("a response to another request is too large")
    rest, closed = call.parser.trailing_data
    call.parser, _unsent = _new_parser(_without_body(call.request))
    call.parser.send(h11.EndOfMessage())
    if rest:
        call.parser.receive_data(rest)
    if closed:
        call.parser.receive_data(b"")


def _without_body(request):
    """Returns a request without body whose responses are parsed in the same way."""
    headers = [(b"Host", b"-")]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def is_reusable(call):
    """Returns whether the connection may carry another request.

    Args:
        call: HttpCall whose response was read completely.
    """
    stream = call.stream
    rest, closed = call.parser.trailing_data
    return (
        call.skipped == 0
        and call.parser.our_state is h11.DONE
        and call.parser.their_state is h11.DONE
        and not rest
        and not closed
        and not stream.ended
        and not stream.buffer
        and stream.transport.get_write_buffer_size() == 0
    )
