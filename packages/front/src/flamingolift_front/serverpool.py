"""Idle connections to backend servers."""

from flamingolift_front import bytestream, httpcall

__all__ = [
    "IdleConnection",
    "ServerPool",
    "close_expired",
    "keep",
    "retire_server",
    "take",
]

DEFAULT_IDLE_S = 4.0
"""Longest idle time of a connection whose server declares none (s); below the
usual keep-alive timeout of 5 s."""
MAX_IDLE_S = 8.0
"""Longest idle time of any connection (s)."""
IDLE_MARGIN_S = 1.0
"""Time before a declared timeout from which a connection is not reused (s):
more than a round trip between regions and a timer's delay."""
MAX_IDLE_PER_SERVER = 4


class IdleConnection:
    """Connection that waits for its next request.

    Attributes:
        stream: ByteStream.
        address: (host, port) of the server.
        usable_until: Time after which it is not used again (s, monotonic).
    """

    __slots__ = ("address", "stream", "usable_until")

    def __init__(self, stream, address, usable_until):
        self.stream = stream
        self.address = address
        self.usable_until = usable_until


class ServerPool:
    """Idle connections of an instance.

    Attributes:
        idle: Map of server id to a list of IdleConnection, newest last.
        opened: Connections opened so far.
        reused: Requests sent on an idle connection so far.
    """

    __slots__ = ("idle", "opened", "reused")

    def __init__(self):
        self.idle = {}
        self.opened = 0
        self.reused = 0


def take(pool, server_id, address, now):
    """Takes an idle connection to a server.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        address: (host, port) of the server.
        now: Current time (s, monotonic).

    Returns:
        ByteStream, or None when there is no usable one. Connections on which
        bytes arrived while idle belong to no request and are closed.
    """
    waiting = pool.idle.get(server_id)
    while waiting:
        conn = waiting.pop()
        stream = conn.stream
        if (
            conn.address == address
            and now < conn.usable_until
            and not stream.ended
            and not stream.buffer
        ):
            pool.reused += 1
            return stream
        bytestream.abort(stream)
    return None


def keep(pool, server_id, address, call, answer, now):
    """Keeps a connection for later, or closes it.

    Args:
        pool: ServerPool.
        server_id: Id of the server.
        address: (host, port) of the server.
        call: HttpCall whose answer was read whole.
        answer: HttpResponse.
        now: Current time (s, monotonic).
    """
    waiting = pool.idle.setdefault(server_id, [])
    idle_s = _idle_time_s(answer.headers)
    if idle_s <= 0.0 or not httpcall.is_reusable(call):
        bytestream.close(call.stream)
        return
    waiting.append(IdleConnection(call.stream, address, now + idle_s))
    if len(waiting) > MAX_IDLE_PER_SERVER:
        bytestream.close(waiting.pop(0).stream)


def _idle_time_s(headers):
    """Returns how long a connection may idle by the Keep-Alive field (s)."""
    declared = httpcall.header(headers, "keep-alive", "")
    for part in declared.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return min(MAX_IDLE_S, float(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def retire_server(pool, server_id):
    """Closes all idle connections to a server.

    Args:
        pool: ServerPool.
        server_id: Id of the server.

    Returns:
        Number of connections closed.
    """
    waiting = pool.idle.pop(server_id, ())
    for conn in waiting:
        bytestream.abort(conn.stream)
    return len(waiting)


def close_expired(pool, now):
    """Closes the idle connections that will not be used again.

    Args:
        pool: ServerPool.
        now: Current time (s, monotonic).
    """
    for server_id, waiting in list(pool.idle.items()):
        kept = [c for c in waiting if now < c.usable_until and not c.stream.ended]
        for conn in waiting:
            if conn not in kept:
                bytestream.abort(conn.stream)
        if kept:
            pool.idle[server_id] = kept
        else:
            del pool.idle[server_id]
