"""Tells which process holds a TCP connection, by the kernel's socket diagnostics."""

import contextlib
import os
import pathlib
import socket
import struct

__all__ = ["holds_connection"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFF
NO_COOKIE = 0xFFFFFFFF
INODE_OFFSET = 84
"""Offset of the inode in an answer: header, inet_diag_msg up to `idiag_inode`."""


def holds_connection(pid, port, peer_port):
    """Returns whether a process holds one end of a connection on loopback.

    Args:
        pid: Process id.
        port: TCP port of this end.
        peer_port: TCP port of the other end.
    """
    inode = _find_inode(port, peer_port)
    folder = pathlib.Path(f"/proc/{pid}/fd")
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(folder / name) == f"socket:[{inode}]":
                    return True
    return False


def _find_inode(port, peer_port):
    """Returns the inode of a connection's socket, 0 if there is none."""
    host = struct.pack("!4s12x", socket.inet_aton("127.0.0.1"))
    ends = struct.pack("!HH", port, peer_port) + host + host
    socket_id = ends + struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    family = (socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    body = struct.pack("=BBBBI", *family) + socket_id
    kind = (SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.send(struct.pack("=IHHII", 16 + len(body), *kind) + body)
        answer = link.recv(4096)
    if len(answer) < INODE_OFFSET + 4:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]
