"""Pool of idle keep-alive connections to backend servers."""

import math

from flamingolift_front import bytestream, httpcall

__all__ = [
    "IdleConnection",
    "ServerPool",
    "acquire_connection",
    "close_connections",
    "close_expired",
    "has_connection",
    "has_dropped_connections",
    "return_connection",
]

DEFAULT_IDLE_S = 4.0
"""Longest idle time of a connection whose server declares no keep-alive timeout
(s); below the usual timeout of 5 s."""
MAX_IDLE_S = 8.0
"""Longest idle time of any connection (s)."""
IDLE_MARGIN_S = 1.0
"""Time before a declared keep-alive timeout from which a connection is not reused
(s): longer than a round trip between regions plus a timer's delay."""
MAX_IDLE_PER_SERVER = 4
DROPPED_S = 3.0
"""Time for which it counts that a server closed an idle connection early (s)."""


class IdleConnection:
    """Pooled connection.

    Attributes:
        stream: ByteStream.
        address: (host, port) of the server.
        expires_at: Time after which it is not reused (s, monotonic).
    """

    __slots__ = ("address", "expires_at", "stream")

    def __init__(self, stream, address, expires_at):
        self.stream = stream
        self.address = address
        self.expires_at = expires_at


class ServerPool:
    """Idle connections of one instance.

    Attributes:
        idle: Map of server id to a list of IdleConnection, newest last.
        dropped_at: Map of server id to the time at which a connection was found that
            the server had closed before its idle time was over (s, monotonic).
        opened: Number of connections opened.
        reused: Number of requests sent on a pooled connection.
    """

    __slots__ = ("dropped_at", "idle", "opened", "reused")

    def __init__(self):
        self.idle = {}
        self.dropped_at = {}
        self.opened = 0
        self.reused = 0


def acquire_connection(pool, server_id, address, now):
    """Takes an idle connection to a server out of the pool.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        address: (host, port) of the server.
        now: Current time (s, monotonic).

    Returns:
        ByteStream, or None when there is no usable one. A connection that received
        bytes while idle is closed, since these bytes belong to no request.
    """
    idle_connections = pool.idle.get(server_id)
    while idle_connections:
        conn = idle_connections.pop()
        stream = conn.stream
        if (
            conn.address == address
            and now < conn.expires_at
            and not stream.ended
            and not stream.buffer
        ):
            pool.reused += 1
            return stream
        if stream.ended and now < conn.expires_at:
            pool.dropped_at[server_id] = now
        bytestream.abort(stream)
    return None


def has_dropped_connections(pool, server_id, now):
    """Returns whether a server lately closed an idle connection before its time.

    A server that ended does so; a path that is cut closes none.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        now: Current time (s, monotonic).
    """
    for conn in pool.idle.get(server_id, ()):
        if conn.stream.ended and now < conn.expires_at:
            return True
    return now - pool.dropped_at.get(server_id, -math.inf) < DROPPED_S


def has_connection(pool, server_id, now):
    """Returns whether there is an idle connection to a server.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        now: Current time (s, monotonic).
    """
    return any(
        now < conn.expires_at and not conn.stream.ended
        for conn in pool.idle.get(server_id, ())
    )


def return_connection(pool, server_id, address, call, response, now):
    """Returns a connection to the pool, or closes it when it cannot be reused.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        address: (host, port) of the server.
        call: HttpCall whose response was read completely.
        response: HttpResponse.
        now: Current time (s, monotonic).
    """
    idle_connections = pool.idle.setdefault(server_id, [])
    idle_s = _idle_time_s(response.headers)
    if idle_s <= 0.0 or not httpcall.is_reusable(call):
        bytestream.close(call.stream)
        return
    idle_connections.append(IdleConnection(call.stream, address, now + idle_s))
    if len(idle_connections) > MAX_IDLE_PER_SERVER:
        bytestream.close(idle_connections.pop(0).stream)


def _idle_time_s(headers):
    """Returns the longest idle time by the Keep-Alive header field (s)."""
    declared = httpcall.header(headers, "keep-alive", "")
    for part in declared.split(","):
        name, _, value = part.strip().partition("=")
        timeout_s = httpcall.parse_count(value)
        if name.lower() == "timeout" and timeout_s is not None:
            return min(MAX_IDLE_S, timeout_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def close_connections(pool, server_id):
    """Closes all idle connections to a server.

    Args:
        pool: ServerPool.
        server_id: Id of the server.

    Returns:
        Number of connections closed.
    """
    idle_connections = pool.idle.pop(server_id, ())
    for conn in idle_connections:
        bytestream.abort(conn.stream)
    return len(idle_connections)


def close_expired(pool, now):
    """Closes the idle connections that cannot be reused.

    They have expired, were closed by the server, or received bytes that belong to no
    request.

    Args:
        pool: ServerPool.
        now: Current time (s, monotonic).
    """
    for server_id, at in list(pool.dropped_at.items()):
        if now - at >= DROPPED_S:
            del pool.dropped_at[server_id]
    for server_id, idle_connections in list(pool.idle.items()):
        kept = [
            c
            for c in idle_connections
            if now < c.expires_at and not c.stream.ended and not c.stream.buffer
        ]
        for conn in idle_connections:
            if conn not in kept:
                bytestream.abort(conn.stream)
        if kept:
            pool.idle[server_id] = kept
        else:
            del pool.idle[server_id]
