"""Sends one request to one backend server."""

import enum
import errno
import time

import h11
from flamingolift_decisions.regioncost import record_connect

from flamingolift_front import bytestream, httpcall, serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.httpcall import header
from flamingolift_front.pathrecords import note_connected

__all__ = [
    "CONNECT_TIMEOUT_S",
    "HANDED_ON",
    "NOT_RUN_OUTCOMES",
    "UNKNOWN_OUTCOMES",
    "CallerRequest",
    "ForwardedResponse",
    "Outcome",
    "send_request",
    "start_call",
]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a backend server (s): several round trips
between regions, and less than the usual first retransmission after 1 s."""
HANDED_ON = b"Flamingolift-Handed-On"
"""Header field of a request that another instance handed on: the number of servers
to which it may still be sent."""


_OWN_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
"""Errors of a connect that lie with this instance, which has run out of something."""


class Outcome(enum.StrEnum):
    """How one send to a backend server ended.

    NOT_RUN is a response that says so in its header, WRONG_SERVER a status 421,
    UNREACHED a failed connect, NOT_SENT a connect that was cancelled or for which the
    instance had no socket, LOST a connection that broke off or an invalid response,
    SILENT a connection whose peer stopped acknowledging, LATE a missed deadline,
    OVERDUE a send that was cancelled in favour of another server and CANCELLED a send
    whose caller disconnected.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    UNREACHED = "unreached"
    NOT_SENT = "not_sent"
    LOST = "lost"
    SILENT = "silent"
    LATE = "late"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"


UNKNOWN_OUTCOMES = frozenset(
    (Outcome.LOST, Outcome.SILENT, Outcome.LATE, Outcome.OVERDUE)
)
"""Outcomes after which it is unknown whether the server ran the request."""
NOT_RUN_OUTCOMES = frozenset(
    (Outcome.NOT_RUN, Outcome.WRONG_SERVER, Outcome.UNREACHED, Outcome.NOT_SENT)
)
"""Outcomes after which the server has not run the request."""


class CallerRequest:
    """A caller's request with its complete body.

    Attributes:
        request_id: Id of the caller's attempt.
        method: HTTP method (bytes).
        target: Request target (bytes), as received.
        headers: List of (name, value), both bytes, as received.
        body: Body (bytes or memoryview).
        host: Host of the request.
        object_key: Key of the requested object; empty when the request has none.
        received_at: Time at which the request's head arrived (s, monotonic).
        deadline_at: Time at which the caller stops waiting (s, monotonic).
        attempts_left: Number of servers to which a request that another instance
            handed on may still be sent; None for a caller's own request.
        fingerprint: Digest that equal requests share (hexadecimal); empty until it is
            needed.
        held: HeldBytes of the body, released together with the request; None without
            a body.
        spool_bytes: Part of the answer's body that is buffered before its first byte
            is passed on (bytes).
    """

    __slots__ = (
        "attempts_left",
        "body",
        "deadline_at",
        "fingerprint",
        "headers",
        "held",
        "host",
        "method",
        "object_key",
        "received_at",
        "request_id",
        "spool_bytes",
        "target",
    )

    def __init__(
        self,
        request_id,
        method,
        target,
        headers,
        body,
        host,
        object_key,
        received_at,
        deadline_at,
        attempts_left=None,
        held=None,
    ):
        self.request_id = request_id
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.host = host
        self.object_key = object_key
        self.received_at = received_at
        self.deadline_at = deadline_at
        self.attempts_left = attempts_left
        self.held = held
        self.fingerprint = ""
        self.spool_bytes = httpcall.SPOOL_BYTES


class ForwardedResponse:
    """Response of a backend server whose body may still be streaming.

    Attributes:
        response: HttpResponse.
        call: HttpCall from which the rest of the body is read; None when `response`
            is complete.
        backend: Backend that sends the rest of the body; None like `call`, and when
            another instance sends it.
        entry: BackendEntry of the backend at the send; None like `backend`.
    """

    __slots__ = ("backend", "call", "entry", "response")

    def __init__(self, response, call=None, backend=None, entry=None):
        self.response = response
        self.call = call
        self.backend = backend
        self.entry = entry


async def send_request(front, req, route, backend, deadline, send):
    """Sends a request to a server and reads its response.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        backend: Backend.
        deadline: Earlier of the caller's deadline and the route's timeout (s,
            monotonic).
        send: SendRecord, which tells whether the request was sent even when this
            function is cancelled.

    Returns:
        Tuple of an Outcome and a ForwardedResponse, which is None when there is no
        response.
    """
    entry = backend.entry
    address = (entry.host, entry.port)
    now = time.monotonic()
    stream, is_reused = None, True
    if route.idempotent:
        stream = serverpool.acquire_connection(
            front.pool, entry.server_id, address, now
        )
    if stream is None:
        try:
            stream = await bytestream.connect(*address, CONNECT_TIMEOUT_S)
            connect_s = time.monotonic() - now
        except (OSError, TimeoutError) as exc:
            if getattr(exc, "errno", None) not in _OWN_ERRORS:
                return Outcome.UNREACHED, None
            cause = str(exc)
            log_event(front.log, "no_socket", id=req.request_id, cause=cause)
            return Outcome.NOT_SENT, None
        front.pool.opened += 1
        note_connected(front, entry.service)
        record_connect(front.region_costs, entry.region, connect_s)
        is_reused = False
    finished = False
    send.sent, send.reused = True, is_reused
    try:
        expected = _title_case(front.header_names.expected_server)
        field = (expected, entry.server_id.encode())
        call = start_call(front, req, stream, deadline, field)
        matches = _response_matcher(front, req, is_reused)
        response = await httpcall.read_response(call, matches, req.spool_bytes)
        finished = True
    except (ConnectionError, httpcall.InvalidResponseError) as exc:
        log_event(
            front.log,
            "answer_lost",
            id=req.request_id,
            server=entry.server_id,
            cause=str(exc) or type(exc).__name__,
            fingerprint=fingerprint_of(req),
            in_flight=backend.in_flight,
        )
        silent = isinstance(exc, bytestream.PeerTimeoutError)
        return Outcome.SILENT if silent else Outcome.LOST, None
    finally:
        if not finished:
            bytestream.abort(stream)
    if not response.complete:
        return Outcome.ANSWERED, ForwardedResponse(response, call, backend, entry)
    returned_at = time.monotonic()
    serverpool.return_connection(
        front.pool, entry.server_id, address, call, response, returned_at
    )
    return _classify(front, response), ForwardedResponse(response)


def _classify(front, response):
    if response.status == 421:
        return Outcome.WRONG_SERVER
    if header(response.headers, front.header_names.not_run) is not None:
        return Outcome.NOT_RUN
    return Outcome.ANSWERED


def _response_matcher(front, req, is_reused):
    """Returns a predicate on status and headers: whether they answer the request.

    The predicate raises InvalidResponseError for a refusal that may belong to an
    earlier request of a reused connection.
    """
    names = front.header_names

    def matches(status, headers):
        echoed = header(headers, names.request_id)
        if echoed is not None:
            return echoed == req.request_id
        # A server may reject a request before it reads the request's id.
        refuses = status == 421 or header(headers, names.not_run) is not None
        if refuses and is_reused:
            raise httpcall.InvalidResponseError("a refusal without a request id")
        return refuses

    return matches


def start_call(front, req, stream, deadline, field):
    """Sends a request, with the time that is left.

    Args:
        front: Front.
        req: CallerRequest.
        stream: ByteStream of an idle connection.
        deadline: Time at which the answer is no longer useful (s, monotonic).
        field: Header field (name, value), both bytes, that concerns this send only.

    Returns:
        HttpCall.

    Raises:
        InvalidResponseError: The request cannot be sent.
    """
    names = front.header_names
    remaining_ms = max(1, int((deadline - time.monotonic()) * 1000.0))
    replaced = (
        b"content-length",
        b"expect",
        names.deadline_ms.encode(),
        names.expected_server.encode(),
        HANDED_ON.lower(),
    )
    headers = httpcall.strip_hop_headers(req.headers, replaced)
    if req.body or header(req.headers, "content-length") is not None:
        headers.append((b"Content-Length", str(len(req.body)).encode()))
    headers.append((_title_case(names.deadline_ms), str(remaining_ms).encode()))
    headers.append(field)
    try:
        call = httpcall.open_call(stream, req.method, req.target, headers, req.body)
    except h11.LocalProtocolError as exc:
        raise httpcall.InvalidResponseError(f"request cannot be sent: {exc}") from exc
    call.budget = front.byte_budget
    return call


def _title_case(name):
    return name.title().encode()
