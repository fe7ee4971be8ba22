"""TCP ports for processes that are started by tests, benchmark and demo."""

import contextlib
import random
import socket

__all__ = ["free_ports"]

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""End of the range, below the ports of outgoing connections."""


class PortCursor:
    """Place of the next port to hand out.

    Attributes:
        next_port: TCP port; the start is random, so that two test runs rarely meet.
    """

    __slots__ = ("next_port",)

    def __init__(self):
        self.next_port = random.randrange(FIRST_PORT, LAST_PORT)


_CURSOR = PortCursor()


def free_ports(count):
    """Returns TCP ports that are free now and were not returned before.

    Notes:
        A process listens some time after its port was picked. Ports below the range of
        outgoing connections are not taken by those meanwhile, and ports are handed out
        in turn, so that no other process of the same run is given one of them.

    Args:
        count: Number of ports.
    """
    found = []
    while len(found) < count:
        port = _CURSOR.next_port
        _CURSOR.next_port = port + 1 if port + 1 < LAST_PORT else FIRST_PORT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("0.0.0.0", port))
            found.append(port)
    return found
