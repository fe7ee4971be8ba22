"""Peers that vanish silently: the kernel drops what arrives for their socket."""

import ctypes
import socket

SO_ATTACH_FILTER = 26
RETURN_NOTHING = b"\x06\x00\x00\x00\x00\x00\x00\x00"
"""One classic BPF instruction, `BPF_RET | BPF_K` with 0: it drops each packet."""


class _FilterProgram(ctypes.Structure):
    _fields_ = [("length", ctypes.c_ushort), ("instructions", ctypes.c_char_p)]


def drop_packets(sock):
    """Makes the kernel drop what arrives for a socket, acknowledgements included."""
    program = _FilterProgram(1, RETURN_NOTHING)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))
