"""Options of TCP sockets, which decide when a silent connection ends."""

import socket

__all__ = [
    "SLOW_READER_TIMEOUT_MS",
    "UNACKED_TIMEOUT_MS",
    "make_server_socket",
    "set_user_timeout",
]

UNACKED_TIMEOUT_MS = 600
"""TCP_USER_TIMEOUT of a connection to a backend server (ms): long enough for two
retransmissions between regions, and less than the usual deadline of a request."""
SLOW_READER_TIMEOUT_MS = 30_000
"""TCP_USER_TIMEOUT of a caller's connection (ms). On Linux it also ends the connection
of a caller that reads nothing for so long, as one that pauses a download."""


def set_user_timeout(sock, timeout_ms):
    """Sets the time after which unacknowledged bytes end a connection.

    Args:
        sock: TCP socket.
        timeout_ms: Time (ms).
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def make_server_socket(addr_info):
    """Returns a socket for a connection to a backend server, as aiohttp asks for it.

    Args:
        addr_info: Tuple that `socket.getaddrinfo` returned.
    """
    family, kind, protocol, _name, _address = addr_info
    sock = socket.socket(family, kind, protocol)
    set_user_timeout(sock, UNACKED_TIMEOUT_MS)
    return sock
