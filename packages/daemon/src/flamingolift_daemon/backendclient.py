"""HTTP connections to the backend servers."""

import asyncio
import errno
import itertools
import secrets

import aiohttp
from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from yarl import URL

from flamingolift_daemon.metrics import count
from flamingolift_daemon.sockets import make_server_socket

__all__ = [
    "BackendAnswer",
    "BackendClients",
    "Outcome",
    "close_answer",
    "close_clients",
    "end_to_end_headers",
    "is_complete_framing",
    "retire_connections",
    "send_request",
]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
NOT_RUN_HEADER = "Request-Outcome"
DEADLINE_HEADER = "Request-Deadline-Ms"
EXCHANGE_HEADER = "Exchange-Id"
"""Header field that a backend server may echo, so that a late or duplicate answer on
the same connection is not taken for the answer to this request."""
USABLE_STATUSES = range(200, 600)
"""Statuses of final answers that the listener for callers can encode."""
KEEP_ALIVE_S = 15.0
READ_BUFFER_BYTES = 65_536
MAX_FIELD_BYTES = 16_384


class ServerConnections:
    """An aiohttp session whose connections are retired together.

    Attributes:
        session: aiohttp session.
        echoes_exchange_id: Whether the server echoed the exchange id in its last
            answer; if not, its connections are not reused.
        in_use: Number of requests in flight on it.
        retired: Whether it gets no new requests and is closed after the last one.
    """

    __slots__ = ("echoes_exchange_id", "in_use", "retired", "session")

    def __init__(self, session):
        self.session = session
        self.echoes_exchange_id = False
        self.in_use = 0
        self.retired = False


class BackendClients:
    """Connections to all backend servers.

    Attributes:
        by_server: Map of backend server to its ServerConnections.
        host: Local IP address of the connections.
        unpooled: ServerConnections that open a new connection for each request, to
            any backend server.
        exchange_ids: Iterator of exchange ids, unique for this process.
        closed: Whether the instance has stopped and sends nothing more.
        connect_timeout_s: Timeout for a new connection (s).
        idle_read_timeout_s: Longest silence within an answer (s).
        metrics: Metrics.
    """

    __slots__ = (
        "by_server",
        "closed",
        "connect_timeout_s",
        "exchange_ids",
        "host",
        "idle_read_timeout_s",
        "metrics",
        "unpooled",
    )

    def __init__(self, host, connect_timeout_s, idle_read_timeout_s, metrics):
        self.host = host
        self.by_server = {}
        self.exchange_ids = itertools.count(secrets.randbits(62))
        self.closed = False
        self.connect_timeout_s = connect_timeout_s
        self.idle_read_timeout_s = idle_read_timeout_s
        self.metrics = metrics
        self.unpooled = ServerConnections(_make_session(host, force_close=True))


def _make_session(host, **options):
    if not options:
        options = {"keepalive_timeout": KEEP_ALIVE_S}
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            local_addr=(host, 0),
            socket_factory=make_server_socket,
            **options,
        ),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        max_field_size=MAX_FIELD_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        raise_for_status=False,
    )
    # A retry by the library would bypass the retry budget.
    session._retry_connection = False
    return session


class Outcome:
    """How a request to a backend server failed.

    Attributes:
        name: Outcome of the schema's Release message.
        sent: Whether any byte of the request may have been sent.
        fault: Fault for the caller, if this was the last attempt.
    """

    __slots__ = ("fault", "name", "sent")

    def __init__(self, name, sent, fault):
        self.name = name
        self.sent = sent
        self.fault = fault


class BackendAnswer:
    """An answer whose head has arrived; it must be closed with `close_answer`.

    Attributes:
        resp: aiohttp response.
        connections: ServerConnections that it came over.
        status: HTTP status.
        headers: List of end-to-end (name, value), decoded as Latin-1, as the listener
            for callers encodes them.
    """

    __slots__ = ("connections", "headers", "resp", "status")

    def __init__(self, resp, connections):
        self.resp = resp
        self.connections = connections
        self.status = resp.status
        received = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in resp.raw_headers
        ]
        self.headers = [
            (name, value)
            for name, value in end_to_end_headers(received)
            if name.lower() != EXCHANGE_HEADER.lower()
        ]


def end_to_end_headers(pairs):
    """Returns header fields without the hop-by-hop ones.

    Args:
        pairs: Iterable of (name, value).

    Returns:
        List of (name, value) in the same order.
    """
    pairs = list(pairs)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP | connection_options
    return [(name, value) for name, value in pairs if name.lower() not in excluded]


def is_complete_framing(resp, method):
    """Returns whether a complete body can be distinguished from a truncated one.

    Args:
        resp: aiohttp response.
        method: HTTP method of the request.
    """
    if method == "HEAD" or resp.status in (204, 304):
        return True
    if "Content-Length" in resp.headers:
        return True
    return "chunked" in resp.headers.get("Transfer-Encoding", "").lower()


def retire_connections(clients, server_id):
    """Stops reusing all open connections to a backend server.

    Args:
        clients: BackendClients.
        server_id: Backend server that did not answer, or answered wrongly, on one
            of them. Requests in flight on the others continue; later ones open new
            connections.
    """
    connections = clients.by_server.pop(server_id, None)
    if connections is None:
        return
    count(clients.metrics, "connections.retired")
    connections.retired = True


async def _release_connections(connections):
    """Records the end of a request; closes retired connections after the last one."""
    connections.in_use -= 1
    if connections.retired and connections.in_use == 0:
        await connections.session.close()


async def close_answer(answer):
    """Closes an answer; its connection is reused only if it was read to the end.

    Args:
        answer: BackendAnswer.
    """
    if not answer.resp.content.at_eof():
        answer.resp.close()
    answer.resp.release()
    await _release_connections(answer.connections)


async def close_clients(clients):
    """Closes all connections; requests in flight end with an unknown outcome."""
    clients.closed = True
    for connections in [*clients.by_server.values(), clients.unpooled]:
        await connections.session.close()


def _connections_to(clients, server_id):
    connections = clients.by_server.get(server_id)
    if connections is None:
        connections = ServerConnections(_make_session(clients.host))
        clients.by_server[server_id] = connections
    return connections


async def send_request(
    clients, slot, method, target, headers, body, *, timeout_s, unpooled=False
) -> Result:
    """Sends a request to the backend server of a slot and awaits the answer's head.

    Args:
        clients: BackendClients.
        slot: Slot on the backend server.
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: List of end-to-end (name, value).
        body: Bytes, an asynchronous iterator of bytes, or None.
        timeout_s: Time left for the head of the answer (s).
        unpooled: Whether to open a new connection even if one could be reused.

    Returns:
        Ok with a BackendAnswer, or Error with an Outcome. A request counts as not
        sent only if no connection was opened or the server answered that it did
        not run.

    Notes:
        HTTP/1.1 does not say which request an answer belongs to. A connection is
        reused only to a server that echoes the exchange id, and each answer must
        then echo the id of its own request.
    """
    if clients.closed:
        fault = Fault(ResultCode.DRAINING, "the instance has stopped")
        return Error(Outcome("cancelled", False, fault))
    if timeout_s <= 0.0:
        fault = Fault(ResultCode.DEADLINE_BEFORE_RUN, "no time was left")
        return Error(Outcome("cancelled", False, fault))
    pooled = _connections_to(clients, slot.server_id)
    connections = (
        pooled if pooled.echoes_exchange_id and not unpooled else clients.unpooled
    )
    exchange_id = f"{next(clients.exchange_ids):x}"
    url = URL(f"http://{slot.host}:{slot.port}{target}", encoded=True)
    timeout = aiohttp.ClientTimeout(
        sock_connect=min(clients.connect_timeout_s, timeout_s),
        sock_read=clients.idle_read_timeout_s,
    )
    request_headers = [
        *headers,
        (DEADLINE_HEADER, str(int(timeout_s * 1000))),
        (EXCHANGE_HEADER, exchange_id),
    ]
    connections.in_use += 1
    checked = None
    try:
        resp = await asyncio.wait_for(
            connections.session.request(
                method,
                url,
                headers=request_headers,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ),
            timeout_s,
        )
        checked = _check_head(slot, method, resp, connections)
        if not _is_own_answer(resp, exchange_id, connections, pooled):
            checked = Error(_mismatched_answer(clients, slot, resp))
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        fault = Fault(ResultCode.NO_BACKEND, f"{slot.server_id}: {exc}", 1000)
        return Error(Outcome("refused_connection", False, fault))
    except TimeoutError:
        return Error(_late_answer(clients, slot, connections is pooled))
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        if getattr(exc, "errno", None) == errno.ETIMEDOUT:
            return Error(_late_answer(clients, slot, connections is pooled))
        detail = f"{slot.server_id}: {type(exc).__name__}"
        fault = Fault(ResultCode.BACKEND_FAILED, detail)
        return Error(Outcome("crashed", True, fault))
    finally:
        if checked is None or checked.is_error():
            await _release_connections(connections)
    return checked


def _late_answer(clients, slot, is_pooled):
    """Returns the Outcome for a server that did not answer, or not acknowledge."""
    if is_pooled:
        retire_connections(clients, slot.server_id)
    detail = f"{slot.server_id} did not answer in time"
    return Outcome("timeout", True, Fault(ResultCode.BACKEND_TIMEOUT, detail))


def _is_own_answer(resp, exchange_id, connections, pooled):
    """Returns whether an answer belongs to the request that was sent.

    Args:
        resp: aiohttp response.
        exchange_id: Exchange id of the request.
        connections: ServerConnections that the answer came over.
        pooled: ServerConnections of the server, which record whether it echoes.
    """
    echoed = resp.headers.get(EXCHANGE_HEADER)
    pooled.echoes_exchange_id = echoed == exchange_id
    if echoed is None:
        # A new connection has carried no other request.
        return connections is not pooled
    return echoed == exchange_id


def _mismatched_answer(clients, slot, resp):
    """Returns the Outcome for an answer that belongs to another request."""
    resp.close()
    count(clients.metrics, "answers.crossed")
    retire_connections(clients, slot.server_id)
    detail = f"{slot.server_id}: the answer belongs to another request"
    return Outcome("ok", True, Fault(ResultCode.BACKEND_FAILED, detail))


def _check_head(slot, method, resp, connections):
    """Returns Ok with a BackendAnswer, or Error with an Outcome if it is rejected."""
    if resp.status == 503 and resp.headers.get(NOT_RUN_HEADER) == "not-run":
        resp.close()
        detail = f"{slot.server_id} shed the request"
        return Error(
            Outcome("not_run", False, Fault(ResultCode.OVERLOADED, detail, 1000))
        )
    if resp.status not in USABLE_STATUSES:
        resp.close()
        detail = f"{slot.server_id}: the answer has status {resp.status}"
        return Error(Outcome("ok", True, Fault(ResultCode.BACKEND_FAILED, detail)))
    if not is_complete_framing(resp, method):
        resp.close()
        detail = f"{slot.server_id}: the answer has no length and is not chunked"
        fault = Fault(ResultCode.BACKEND_FAILED, detail)
        return Error(Outcome("ok", True, fault))
    return Ok(BackendAnswer(resp, connections))
