"""Buffers for bodies, whose memory the process returns when they are discarded."""

import mmap

__all__ = ["Spool", "append_piece", "make_spool", "spooled_body"]

SMALL_BYTES = 1 << 16
"""Size up to which a body is kept in the interpreter's own memory (bytes). That of
larger ones would leave gaps of a size that fits few others."""


class Spool:
    """Bytes of a body that has arrived in part.

    Attributes:
        data: bytearray, or mmap for a large body.
        used: Number of bytes that have arrived.
        expected: Size for which memory is mapped at least (bytes); pages that stay
            empty take none.
    """

    __slots__ = ("data", "expected", "used")

    def __init__(self, expected):
        self.data = bytearray()
        self.used = 0
        self.expected = expected


def make_spool(expected, body=b""):
    """Returns a Spool that begins with a body's first bytes.

    Args:
        expected: Size that it is likely to have at most (bytes).
        body: First bytes.
    """
    spool = Spool(expected)
    append_piece(spool, body)
    return spool


def append_piece(spool, piece):
    """Adds the next bytes of a body.

    Args:
        spool: Spool.
        piece: Bytes.
    """
    used = spool.used + len(piece)
    if used > max(SMALL_BYTES, len(spool.data)):
        data = mmap.mmap(-1, max(spool.expected, used + used // 2), mmap.MAP_PRIVATE)
        data[: spool.used] = spool.data[: spool.used]
        spool.data = data
    spool.data[spool.used : used] = piece
    spool.used = used


def spooled_body(spool):
    """Returns what has arrived, as bytes or as a memoryview."""
    if isinstance(spool.data, mmap.mmap):
        return memoryview(spool.data)[: spool.used]
    return bytes(spool.data)
