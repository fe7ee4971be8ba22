"""Bounds on the requests of all control connections that have not been answered.

Ordinary requests are not counted, so that they are served however many bytes other
connections hold.
"""

from flamingolift_decisions import bytebudget

from flamingolift_front import bytestream
from flamingolift_front.eventlog import log_event

__all__ = ["RequestBytes", "count_bytes", "restart_count"]

UNCOUNTED_BYTES = 2048
"""Bytes of each request that are not counted: those of a look-up or a poll."""


class RequestBytes:
    """Bytes of the request that one control connection is receiving.

    Attributes:
        received: Bytes that have arrived since the last answer.
        held: Part of them that is held in the budgets.
    """

    __slots__ = ("held", "received")

    def __init__(self):
        self.received = 0
        self.held = 0


def restart_count(front, request, received):
    """Releases the bytes of a request that was answered, or whose connection ends.

    Args:
        front: Front.
        request: RequestBytes.
        received: Bytes of the next request that have arrived.
    """
    for budget in _budgets(front):
        bytebudget.release(budget, request.held)
    request.held, request.received = 0, received


def count_bytes(front, stream, request, size):
    """Counts bytes that arrived, and ends the connection when they are too many.

    Args:
        front: Front.
        stream: ByteStream.
        request: RequestBytes.
        size: Number of bytes.
    """
    request.received += size
    more = request.received - UNCOUNTED_BYTES - request.held
    if more <= 0 or stream.transport.is_closing():
        return
    if all(bytebudget.may_hold(budget, more) for budget in _budgets(front)):
        _hold(front, request, more)
        return
    log_event(
        front.log,
        "control_request_refused",
        peer=bytestream.peer_host(stream),
        bytes=request.received,
        held=front.control_budget.other_bytes,
    )
    stream.buffer.clear()
    bytestream.abort(stream)


def _budgets(front):
    return (front.control_budget, front.byte_budget)


def _hold(front, request, size):
    for budget in _budgets(front):
        bytebudget.hold(budget, size)
    request.held += size
