"""Byte budget of a process: what its buffers may hold together.

Each reader and buffer of a size that a peer decides holds its bytes in the budget, so
that the process stays within its memory whatever callers, backend servers and other
instances send at the same time. Requests' bodies may fill only a part of it: the rest
is kept for answers, without which no body is ever released.
"""

import math

__all__ = ["ByteBudget", "hold", "may_hold", "release"]

BODY_SHARE = 0.75
"""Part of the budget that requests' bodies may fill (ratio)."""


class ByteBudget:
    """Bytes that the buffers of a process hold.

    Attributes:
        limit_bytes: Bytes that they may hold together; infinite without a limit.
        body_bytes: Bytes of requests' bodies that are held.
        other_bytes: Bytes of all other kinds that are held.
        peak_bytes: Largest sum of both so far.
    """

    __slots__ = ("body_bytes", "limit_bytes", "other_bytes", "peak_bytes")

    def __init__(self, limit_bytes=math.inf):
        self.limit_bytes = limit_bytes
        self.body_bytes = 0
        self.other_bytes = 0
        self.peak_bytes = 0


def may_hold(budget, size, is_body=False):
    """Returns whether the budget has room for more bytes.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a request's body.

    Examples:
        >>> budget = ByteBudget(100)
        >>> may_hold(budget, 80), may_hold(budget, 80, is_body=True)
        (True, False)
    """
    if is_body and budget.body_bytes + size > budget.limit_bytes * BODY_SHARE:
        return False
    return budget.body_bytes + budget.other_bytes + size <= budget.limit_bytes


def hold(budget, size, is_body=False):
    """Counts bytes as held; a caller asks `may_hold` before.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a request's body.
    """
    if is_body:
        budget.body_bytes += size
    else:
        budget.other_bytes += size
    held = budget.body_bytes + budget.other_bytes
    budget.peak_bytes = max(budget.peak_bytes, held)


def release(budget, size, is_body=False):
    """Counts bytes as no longer held.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a request's body.
    """
    if is_body:
        budget.body_bytes -= size
    else:
        budget.other_bytes -= size
