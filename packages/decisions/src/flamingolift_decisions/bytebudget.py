"""Byte budget of a process: what its buffers may hold together.

Each reader and buffer of a size that a peer decides holds its bytes in the budget, so
that the process stays within its memory whatever callers, backend servers and other
instances send at the same time. Large bodies of requests may fill only a part of it:
the rest is kept for small ones, which do not wait for the large ones, and for answers,
without which no body is ever released.
"""

import collections
import math

__all__ = [
    "ByteBudget",
    "ByteClaim",
    "abandon_claim",
    "budget_for",
    "can_ever_hold",
    "claim",
    "hold",
    "may_buffer",
    "may_hold",
    "release",
]

BODY_SHARE = 0.75
"""Part of the budget that large bodies of requests may fill (ratio)."""
ANSWER_SHARE = 0.5
"""Part of the budget up to which answers may be buffered (ratio)."""
SMALL_SHARE = 0.1
"""Part of the budget that answers and large bodies leave to small bodies (ratio)."""
RESERVED_BYTES = 80_000_000
"""Memory of the interpreter, the code, the view and the decoding of a configuration of
9,000 routes (bytes). The peak of these is 51 MB."""
MIN_BUDGET_SHARE = 0.25
"""Part of the memory limit that the budget has at least (ratio)."""
BYTES_PER_MB = 1_000_000


class ByteBudget:
    """Bytes that the buffers of a process hold.

    Attributes:
        limit_bytes: Bytes that they may hold together; infinite without a limit.
        body_bytes: Bytes of large bodies of requests that are held.
        other_bytes: Bytes of all other kinds that are held.
        peak_bytes: Largest sum of both so far.
        claims: Deque of the ByteClaim objects that wait for room, oldest first.
    """

    __slots__ = ("body_bytes", "claims", "limit_bytes", "other_bytes", "peak_bytes")

    def __init__(self, limit_bytes=math.inf):
        self.limit_bytes = limit_bytes
        self.body_bytes = 0
        self.other_bytes = 0
        self.peak_bytes = 0
        self.claims = collections.deque()


class ByteClaim:
    """Bytes that wait until the budget has room for them.

    Attributes:
        size: Number of bytes.
        is_body: Whether they belong to a large body.
        on_room: Function without arguments, called when the bytes are held.
    """

    __slots__ = ("is_body", "on_room", "size")

    def __init__(self, size, is_body, on_room):
        self.size = size
        self.is_body = is_body
        self.on_room = on_room


def budget_for(memory_limit_mb):
    """Returns the ByteBudget of a process.

    Args:
        memory_limit_mb: Memory that the process may use (MB); 0 when unknown.

    Examples:
        >>> budget_for(222).limit_bytes
        142000000
        >>> budget_for(0).limit_bytes
        inf
    """
    if not memory_limit_mb:
        return ByteBudget()
    limit_bytes = int(memory_limit_mb * BYTES_PER_MB)
    least = int(limit_bytes * MIN_BUDGET_SHARE)
    return ByteBudget(max(least, limit_bytes - RESERVED_BYTES))


def _share(budget, is_body):
    return budget.limit_bytes * BODY_SHARE if is_body else budget.limit_bytes


def can_ever_hold(budget, size, is_body=False):
    """Returns whether the budget has room for bytes once it is empty.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
    """
    return size <= _share(budget, is_body)


def may_hold(budget, size, is_body=False):
    """Returns whether the budget has room for more bytes.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.

    Examples:
        >>> budget = ByteBudget(100)
        >>> may_hold(budget, 80), may_hold(budget, 80, is_body=True)
        (True, False)
    """
    if not is_body:
        return _fits(budget, size, 1.0)
    if budget.body_bytes + size > _share(budget, is_body):
        return False
    return _fits(budget, size, 1.0 - SMALL_SHARE)


def may_buffer(budget, size):
    """Returns whether the budget has room for more bytes of answers.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
    """
    if budget.other_bytes + size > budget.limit_bytes * ANSWER_SHARE:
        return False
    return _fits(budget, size, 1.0 - SMALL_SHARE)


def _fits(budget, size, share):
    held = budget.body_bytes + budget.other_bytes
    return held + size <= budget.limit_bytes * share


def hold(budget, size, is_body=False):
    """Counts bytes as held; a caller asks `may_hold` before.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
    """
    if is_body:
        budget.body_bytes += size
    else:
        budget.other_bytes += size
    held = budget.body_bytes + budget.other_bytes
    budget.peak_bytes = max(budget.peak_bytes, held)


def claim(budget, size, is_body, on_room):
    """Lets bytes wait for room, behind earlier claims of the same kind.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
        on_room: Function without arguments, called when the bytes are held.

    Returns:
        ByteClaim.
    """
    waiting = ByteClaim(size, is_body, on_room)
    budget.claims.append(waiting)
    _grant_claims(budget)
    return waiting


def abandon_claim(budget, waiting):
    """Removes a claim whose bytes are not held yet; the next ones may have room then.

    Args:
        budget: ByteBudget.
        waiting: ByteClaim.
    """
    if waiting in budget.claims:
        budget.claims.remove(waiting)
        _grant_claims(budget)


def release(budget, size, is_body=False):
    """Counts bytes as no longer held, and holds those of the claims that fit now.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
    """
    if is_body:
        budget.body_bytes -= size
    else:
        budget.other_bytes -= size
    _grant_claims(budget)


def _grant_claims(budget):
    """Holds the bytes of claims in their order, each kind up to the first without room.

    A large body that waits does not keep small ones waiting.
    """
    blocked = set()
    for waiting in list(budget.claims):
        # A release within `on_room`, or by the garbage collector, may have granted it.
        if waiting.is_body in blocked or waiting not in budget.claims:
            continue
        if not may_hold(budget, waiting.size, waiting.is_body):
            blocked.add(waiting.is_body)
            continue
        budget.claims.remove(waiting)
        hold(budget, waiting.size, waiting.is_body)
        waiting.on_room()
