"""One HTTP/1.1 request and its answer on a connection."""

import h11

from flamingolift_front import bytestream

__all__ = [
    "HttpCall",
    "HttpResponse",
    "InvalidResponseError",
    "header",
    "is_reusable",
    "open_call",
    "read_pieces",
    "read_response",
    "strip_hop_headers",
]

MAX_HEAD_BYTES = 65536
"""Largest head of an answer (bytes), four times the usual limit of requests."""
SPOOL_BYTES = 1 << 20
"""Largest answer that is complete before its first byte is passed on (bytes)."""
MAX_SKIPPED_ANSWERS = 4
"""Answers to other requests that are skipped on one connection."""

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
    """The answer is malformed, cut short or does not belong to the request."""


class HttpResponse:
    """HttpResponse of a server.

    Attributes:
        status: HTTP status.
        reason: Reason phrase (bytes).
        headers: List of (name, value), both bytes, as received.
        body: What was read of the body (bytes).
        complete: Whether `body` is the whole body.
    """

    __slots__ = ("body", "complete", "headers", "reason", "status")

    def __init__(self, status, reason, headers, body=b"", complete=False):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.complete = complete


class HttpCall:
    """State of one request on a connection.

    Attributes:
        stream: ByteStream.
        parser: h11 connection.
        request: h11 request, kept to parse further answers.
        skipped: Answers to other requests that were skipped.
    """

    __slots__ = ("parser", "request", "skipped", "stream")

    def __init__(self, stream, parser, request):
        self.stream = stream
        self.parser = parser
        self.request = request
        self.skipped = 0


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


def strip_hop_headers(headers, also=()):
    """Removes the header fields that concern one connection only.

    Args:
        headers: List of (name, value), both bytes.
        also: Further lower-case names to remove (bytes).

    Returns:
        New list of (name, value).
    """
    dropped = set(_HOP_HEADERS)
    dropped.update(also)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def _new_parser(request, body):
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    data = parser.send(request)
    if body:
        data += parser.send(h11.Data(data=body))
    return parser, data + parser.send(h11.EndOfMessage())


def open_call(stream, method, target, headers, body):
    """Sends a request.

    Args:
        stream: ByteStream of an idle connection.
        method: HTTP method (bytes).
        target: Request target (bytes), sent unchanged.
        headers: List of (name, value), both bytes, with the framing of the body.
        body: Whole body (bytes).

    Returns:
        HttpCall.
    """
    request = h11.Request(method=method, target=target, headers=headers)
    parser, data = _new_parser(request, body)
    bytestream.write(stream, data)
    return HttpCall(stream, parser, request)


async def _next_event(call):
    while True:
        try:
            event = call.parser.next_event()
        except h11.RemoteProtocolError as exc:
            raise InvalidResponseError(str(exc)) from exc
        if event is not h11.NEED_DATA:
            return event
        call.parser.receive_data(await bytestream.read(call.stream))


async def _read_head(call):
    while True:
        event = await _next_event(call)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise InvalidResponseError("the connection ended without an answer")


async def read_response(call, belongs, spool_bytes=SPOOL_BYTES):
    """Reads the answer to a request.

    Args:
        call: HttpCall.
        belongs: Function of the answer's status and headers; False for an answer
            to another request, which is skipped.
        spool_bytes: Largest body that is read whole (bytes).

    Returns:
        HttpResponse. When its body is larger than `spool_bytes`, the rest is read
        with `read_pieces`.

    Raises:
        InvalidResponseError: The answer is malformed or cut short.
        ConnectionError: The connection broke off.
    """
    while True:
        head = await _read_head(call)
        headers = list(head.headers.raw_items())
        if belongs(head.status_code, headers):
            break
        await _skip_answer(call)
    answer = HttpResponse(head.status_code, bytes(head.reason), headers)
    body = bytearray()
    async for piece in read_pieces(call):
        body += piece
        if len(body) > spool_bytes:
            answer.body = bytes(body)
            return answer
    answer.body = bytes(body)
    answer.complete = True
    return answer


async def read_pieces(call):
    """Yields the rest of an answer's body.

    Args:
        call: HttpCall.

    Yields:
        Bytes; the iterator ends only after the whole body.

    Raises:
        InvalidResponseError: The answer is malformed or cut short.
        ConnectionError: The connection broke off.
    """
    while True:
        event = await _next_event(call)
        if isinstance(event, h11.Data):
            yield bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return
        else:
            raise InvalidResponseError("the answer ended early")


async def _skip_answer(call):
    call.skipped += 1
    if call.skipped > MAX_SKIPPED_ANSWERS:
        raise InvalidResponseError("too many answers to other requests")
    async for _piece in read_pieces(call):
        pass
    rest, closed = call.parser.trailing_data
    call.parser, _unsent = _new_parser(_without_body(call.request), b"")
    if rest:
        call.parser.receive_data(rest)
    if closed:
        call.parser.receive_data(b"")


def _without_body(request):
    """Returns a request that parses answers alike and needs no body."""
    headers = [(b"Host", b"-")]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def is_reusable(call):
    """Returns whether the connection may carry another request.

    Args:
        call: HttpCall whose answer was read whole.
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
