"""Peers that vanish silently: their end drops all packets and answers none."""

import ctypes
import socket

__all__ = ["drop_packets", "socket_options"]

SO_ATTACH_FILTER = 26
RETURN_NOTHING = b"\x06\x00\x00\x00\x00\x00\x00\x00"
"""One classic BPF instruction, `BPF_RET | BPF_K` with 0: it drops each packet."""


class _FilterProgram(ctypes.Structure):
    _fields_ = [("length", ctypes.c_ushort), ("instructions", ctypes.c_char_p)]


def drop_packets(sock):
    """Makes the kernel drop what arrives for a socket, acknowledgements included."""
    program = _FilterProgram(1, RETURN_NOTHING)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


def socket_options(sock):
    """Returns the user timeout (ms), and idle time (s), interval (s) and count.

    The last three are those of keep-alive probes; None without them.
    """
    tcp = socket.IPPROTO_TCP
    user_timeout = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return user_timeout, None
    names = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    return user_timeout, tuple(sock.getsockopt(tcp, name) for name in names)
