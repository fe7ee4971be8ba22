"""Reads the bodies of callers' requests into memory that the byte budget counts."""

import asyncio
import math
import mmap
import time

import h11
from expression import Error, Ok, Result
from flamingolift_decisions import bytebudget
from flamingolift_model import Fault, ResultCode

from flamingolift_front import bytestream
from flamingolift_front.heldbytes import hold_when_free, shrink_held
from flamingolift_front.httpcall import header
from flamingolift_front.refusals import retryable_fault

__all__ = ["Body", "read_body"]

SMALL_BODY_BYTES = 1 << 16
"""Size up to which a body does not wait for large ones (bytes)."""
ROOM_WAIT_SHARE = 0.5
"""Part of a request's remaining time for which it waits for memory (ratio). The rest
is left for its body and the answer."""
MAX_ROOM_WAIT_S = 2.0
"""Longest time for which a request waits for memory (s), so that one whose caller says
that it waits for long does not hold up the others."""


class Body:
    """Body of a request, as far as it was read.

    Attributes:
        declared: Size by the Content-Length (bytes); None when it is not known.
        data: Buffer; an mmap for a large body, whose memory the process returns as
            soon as nothing refers to it.
        used: Number of bytes in the buffer.
        capacity: Number of bytes for which the buffer has room.
        held: HeldBytes; None while there are none.
    """

    __slots__ = ("capacity", "data", "declared", "held", "used")

    def __init__(self, declared):
        self.declared = declared
        self.data = bytearray()
        self.used = 0
        self.capacity = 0
        self.held = None


async def read_body(front, conn, head, limits, idle_s, deadline_at) -> Result:
    """Reads the body of a request; waits while there is no memory for it.

    Args:
        front: Front.
        conn: CallerConnection.
        head: h11 request.
        limits: RequestLimits.
        idle_s: Time that a caller has to send the body (s).
        deadline_at: Time at which the caller stops waiting (s, monotonic).

    Returns:
        Ok with a tuple of the body (bytes or memoryview) and its HeldBytes, which is
        None for no body; or Error with a Fault of a request that did not run.

    Raises:
        TimeoutError: The body did not arrive in time.
        RemoteProtocolError: The body is malformed.
        ConnectionError: The connection broke off.
        InputHeldError: No more input is taken, and the body is not complete.
    """
    body = Body(_declared_size(head))
    if (body.declared or 0) > limits.max_body_bytes:
        return _too_large()
    ends_at = time.monotonic() + idle_s
    while True:
        event = conn.reading.next_event()
        if isinstance(event, h11.EndOfMessage):
            return Ok(_finish(body))
        is_data = isinstance(event, h11.Data)
        is_asking = not is_data and conn.reading.they_are_waiting_for_100_continue
        if is_asking:
            # It follows the answers to the earlier requests.
            await _wait_for_turn(conn)
        needed = body.used + len(event.data) if is_data else body.declared or 0
        if needed > limits.max_body_bytes:
            return _too_large()
        if needed > body.capacity:
            fault = await _make_room(front, conn, body, needed, limits, deadline_at)
            if fault is not None:
                return Error(fault)
            ends_at = time.monotonic() + idle_s
        if is_data:
            body.data[body.used : needed] = event.data
            body.used = needed
            continue
        if is_asking:
            ends_at = time.monotonic() + idle_s
            if conn.turn.is_set() and not conn.stream.held:
                _send_continue(conn)
        conn.reading.receive_data(await bytestream.read_more(conn.stream, ends_at))


def _too_large():
    return Error(Fault(ResultCode.TOO_LARGE, "the request body exceeds max_body_bytes"))


def _declared_size(head):
    """Returns the size of a body (bytes), or None when the head does not tell."""
    headers = list(head.headers.raw_items())
    if header(headers, "transfer-encoding") is not None:
        return None
    return int(header(headers, "content-length", "0"))


async def _make_room(front, conn, body, needed, limits, deadline_at):
    """Holds memory for a body; returns a Fault when there is none in time.

    All memory of a large body is held before its first bytes are kept, so that no body
    that has a part of its memory waits for one that has another part.
    """
    budget = front.byte_budget
    size = body.declared
    if size is None:
        size = _largest_size(budget, limits, needed)
    is_large = size > SMALL_BODY_BYTES
    if needed > size or not bytebudget.can_ever_hold(budget, size, is_large):
        return _refuse(front, "the body is larger than the instance's share for bodies")
    now = time.monotonic()
    wait_s = max(0.0, min(MAX_ROOM_WAIT_S, (deadline_at - now) * ROOM_WAIT_SHARE))
    if not bytebudget.may_hold(budget, size, is_large):
        front.metrics.memory_waits.inc()
    # What a chunked body has so far must not take the memory that it waits for.
    body.held = None
    held = await hold_when_free(budget, size, is_large, now + wait_s, conn.stream)
    if held is None:
        return _refuse(front, "no memory for the body became free in time")
    data = mmap.mmap(-1, size, mmap.MAP_PRIVATE) if is_large else bytearray()
    data[: body.used] = body.data[: body.used]
    body.data, body.capacity, body.held = data, size, held
    return None


def _largest_size(budget, limits, needed):
    """Returns the size that is held for a body of unknown size (bytes)."""
    if needed <= SMALL_BODY_BYTES:
        return min(SMALL_BODY_BYTES, limits.max_body_bytes)
    share = budget.limit_bytes * bytebudget.BODY_SHARE
    return math.floor(min(limits.max_body_bytes, share))


def _refuse(front, detail):
    front.metrics.memory_refusals.inc()
    return retryable_fault(front, ResultCode.MEMORY_FULL, detail)


def _finish(body):
    """Returns a body that was read whole, and its HeldBytes."""
    if body.held is not None and body.capacity > body.used:
        shrink_held(body.held, body.used)
    if isinstance(body.data, mmap.mmap):
        return memoryview(body.data)[: body.used], body.held
    return bytes(body.data), body.held


async def _wait_for_turn(conn):
    """Waits until a request's turn has come, or more of it arrives unasked."""
    arrives = asyncio.ensure_future(bytestream.wait_readable(conn.stream))
    comes = asyncio.ensure_future(conn.turn.wait())
    try:
        await asyncio.wait({arrives, comes}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        arrives.cancel()
        comes.cancel()
        await asyncio.wait({arrives, comes})


def _send_continue(conn):
    """Asks for the body of a request, unless it comes unasked."""
    if not conn.stream.buffer:
        continue_event = h11.InformationalResponse(status_code=100, headers=[])
        bytestream.write(conn.stream, conn.reading.send(continue_event))
