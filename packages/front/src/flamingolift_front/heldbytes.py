"""Bytes of the front's byte budget, counted as long as an object refers to them."""

import asyncio
import contextlib

from flamingolift_decisions import bytebudget

from flamingolift_front import bytestream

__all__ = ["HeldBytes", "extend_held", "hold_now", "hold_when_free", "shrink_held"]


class HeldBytes:
    """Bytes that count as held until this object is no longer referred to.

    The object that owns the memory refers to it, so that each way in which the memory
    becomes free also releases the bytes.

    Attributes:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
    """

    __slots__ = ("budget", "is_body", "size")

    def __init__(self, budget, size, is_body):
        self.budget = budget
        self.size = size
        self.is_body = is_body

    def __del__(self):
        bytebudget.release(self.budget, self.size, self.is_body)


def hold_now(budget):
    """Returns HeldBytes of no bytes yet, for `extend_held`.

    Args:
        budget: ByteBudget.
    """
    return HeldBytes(budget, 0, is_body=False)


def extend_held(held, size):
    """Holds more bytes of an answer if there is room.

    Args:
        held: HeldBytes.
        size: Number of additional bytes.

    Returns:
        Whether they are held.
    """
    if not bytebudget.may_buffer(held.budget, size):
        return False
    _take(held, size)
    return True


def _take(held, size):
    bytebudget.hold(held.budget, size, held.is_body)
    held.size += size


def shrink_held(held, size):
    """Releases bytes that turned out not to be needed.

    Args:
        held: HeldBytes.
        size: Number of bytes that are still held.
    """
    surplus, held.size = held.size - size, size
    bytebudget.release(held.budget, surplus, held.is_body)


async def hold_when_free(budget, size, is_body, ends_at, stream):
    """Waits until the budget has room for bytes, behind earlier claims of their kind.

    Args:
        budget: ByteBudget.
        size: Number of bytes.
        is_body: Whether they belong to a large body.
        ends_at: End of the wait (s, monotonic).
        stream: ByteStream of the caller, whose leaving ends the wait.

    Returns:
        HeldBytes, or None when there was no room in time.
    """
    held = HeldBytes(budget, 0, is_body)
    if not budget.claims and bytebudget.may_hold(budget, size, is_body):
        _take(held, size)
        return held
    is_over = asyncio.Event()

    def take():
        held.size = size
        is_over.set()

    claim = bytebudget.claim(budget, size, is_body, take)
    try:
        with (
            contextlib.suppress(TimeoutError),
            bytestream.calling_at_end(stream, is_over.set),
        ):
            async with asyncio.timeout_at(ends_at):
                await is_over.wait()
    finally:
        bytebudget.abandon_claim(budget, claim)
    return held if held.size else None
