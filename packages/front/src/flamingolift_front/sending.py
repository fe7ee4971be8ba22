"""Sends one request to one backend server."""

import enum
import time

import h11

from flamingolift_front import bytestream, httpcall, serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header

__all__ = ["UNKNOWN_OUTCOMES", "CallerRequest", "Outcome", "Reply", "send_request"]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a backend server (s): several round trips
between regions, and less than the usual first retransmission after 1 s."""


class Outcome(enum.StrEnum):
    """How one send to a backend server ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    UNREACHED = "unreached"
    LOST = "lost"
    SILENT = "silent"
    LATE = "late"
    OVERDUE = "overdue"
    CANCELLED = "cancelled"


UNKNOWN_OUTCOMES = frozenset(
    (Outcome.LOST, Outcome.SILENT, Outcome.LATE, Outcome.OVERDUE)
)
"""Ends of a send after which the request may have run."""


class CallerRequest:
    """A caller's request, read whole.

    Attributes:
        request_id: Id of the caller's attempt.
        method: HTTP method (bytes).
        target: Request target (bytes), as received.
        headers: List of (name, value), both bytes, as received.
        body: Body (bytes).
        host: Host of the request.
        object_key: Object that the request concerns; empty when not named.
        received_at: Time at which the request's head arrived (s, monotonic).
        deadline_at: Time at which the caller stops waiting (s, monotonic).
    """

    __slots__ = (
        "body",
        "deadline_at",
        "headers",
        "host",
        "method",
        "object_key",
        "received_at",
        "request_id",
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


class Reply:
    """An answer together with the call that may still bring the rest of it.

    Attributes:
        answer: HttpResponse.
        call: HttpCall; None when the answer is complete.
        release: Function that gives up the rest of the answer.
    """

    __slots__ = ("answer", "call", "release")

    def __init__(self, answer, call=None, release=None):
        self.answer = answer
        self.call = call
        self.release = release


async def send_request(front, req, route, backend, ends_at):
    """Sends a request to a server and reads its answer.

    Args:
        front: Front.
        req: CallerRequest.
        route: Route of the request.
        backend: Backend.
        ends_at: Time until which the answer is of use (s, monotonic).

    Returns:
        Tuple of an Outcome and a Reply, which is None when there is no answer.
    """
    entry = backend.entry
    address = (entry.host, entry.port)
    now = time.monotonic()
    stream = None
    if route.idempotent:
        stream = serverpool.take(front.pool, entry.server_id, address, now)
    if stream is None:
        try:
            stream = await bytestream.connect(*address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return Outcome.UNREACHED, None
        front.pool.opened += 1
    finished = False
    try:
        call = _open(front, req, stream, entry, ends_at)
        answer = await httpcall.read_response(call, _belongs_to(front, req))
        finished = True
    except (ConnectionError, httpcall.InvalidResponseError) as exc:
        log_event(
            front.log,
            "answer_lost",
            id=req.request_id,
            server=entry.server_id,
            cause=str(exc) or type(exc).__name__,
        )
        silent = isinstance(exc, bytestream.SilentPathError)
        return Outcome.SILENT if silent else Outcome.LOST, None
    finally:
        if not finished:
            bytestream.abort(stream)
    if not answer.complete:
        return Outcome.ANSWERED, Reply(answer, call, _release(backend, stream))
    keep_at = time.monotonic()
    serverpool.keep(front.pool, entry.server_id, address, call, answer, keep_at)
    return _classify(front, answer), Reply(answer)


def _release(backend, stream):
    def release():
        backend.in_flight -= 1
        bytestream.abort(stream)

    return release


def _classify(front, answer):
    if answer.status == 421:
        return Outcome.WRONG_SERVER
    if header(answer.headers, front.names.not_run) is not None:
        return Outcome.NOT_RUN
    return Outcome.ANSWERED


def _belongs_to(front, req):
    """Returns the test of whether an answer belongs to the request."""
    names = front.names

    def belongs(status, headers):
        echoed = header(headers, names.request_id)
        if echoed is not None:
            return echoed == req.request_id
        # Servers may reject a request before they read its id.
        return status == 421 or header(headers, names.not_run) is not None

    return belongs


def _open(front, req, stream, entry, ends_at):
    names = front.names
    left_ms = max(1, int((ends_at - time.monotonic()) * 1000.0))
    own = (
        b"content-length",
        b"expect",
        names.deadline_ms.encode(),
        names.expected_server.encode(),
    )
    headers = httpcall.strip_hop_headers(req.headers, own)
    if req.body or header(req.headers, "content-length") is not None:
        headers.append((b"Content-Length", str(len(req.body)).encode()))
    headers.append((_title(names.deadline_ms), str(left_ms).encode()))
    headers.append((_title(names.expected_server), entry.server_id.encode()))
    try:
        return httpcall.open_call(stream, req.method, req.target, headers, req.body)
    except h11.LocalProtocolError as exc:
        raise httpcall.InvalidResponseError(f"request cannot be sent: {exc}") from exc


def _title(name):
    return name.title().encode()
