"""Reads requests that arrive behind one that is not answered yet, and starts them."""

import asyncio
import contextlib
import time

import h11
from expression import Error
from flamingolift_decisions import earlystarts
from flamingolift_model import Fault, ResultCode

from flamingolift_front import bytestream, forwarding
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.eventlog import log_event
from flamingolift_front.requestreading import read_request
from flamingolift_front.requesttrace import Trace
from flamingolift_front.sending import Outcome
from flamingolift_front.sendresults import record_stream_end

__all__ = [
    "Exchange",
    "cancel_started",
    "drop_ahead",
    "drop_exchange",
    "early_result",
    "has_requests_behind",
    "next_exchange",
    "read_ahead",
    "stop_reading",
    "take_unanswered",
]


class Exchange:
    """A request of a caller's connection, and what becomes of it.

    Attributes:
        parser: h11 connection that read the request and encodes its answer.
        received: Result of reading it, as `read_request` returns it.
        trace: Trace of the request.
        task: Task that forwards it since before its turn, or None.
        size: Size of the request's body and header fields (bytes).
    """

    __slots__ = ("parser", "received", "size", "task", "trace")

    def __init__(self, parser, received):
        self.parser = parser
        self.received = received
        self.trace = Trace()
        self.task = None
        self.size = 0


def has_requests_behind(conn):
    """Returns whether requests, or parts of one, have arrived behind the current one.

    Args:
        conn: CallerConnection.
    """
    unread = conn.stream.buffer or conn.reading.trailing_data[0]
    return bool(conn.ahead or conn.reader or unread)


async def next_exchange(front, conn):
    """Returns the Exchange whose turn it is.

    Args:
        front: Front.
        conn: CallerConnection whose earlier requests are answered.
    """
    if not conn.ahead:
        conn.turn.set()
    while not conn.ahead:
        if conn.reader is None:
            exchange = await _read_exchange(front, conn)
            break
        conn.arrived.clear()
        await conn.arrived.wait()
    else:
        exchange = conn.ahead.popleft()
        _record_wait(exchange)
    conn.turn.clear()
    return exchange


def _record_wait(exchange):
    if exchange.received.is_ok():
        waited_s = time.monotonic() - exchange.received.ok.received_at
        exchange.trace.waited_ms = round(waited_s * 1000.0, 1)


async def _read_exchange(front, conn):
    received = await read_request(front, conn)
    return Exchange(conn.reading, received)


def read_ahead(front, conn):
    """Starts a task that reads the requests behind the current one, if any arrived.

    Args:
        front: Front.
        conn: CallerConnection with a request that is being answered.
    """
    if conn.req is not None and conn.reader is None and _may_read(conn):
        conn.reader = start_task(front, _read_ahead(front, conn))


def _may_read(conn):
    has_bytes = conn.stream.buffer or conn.reading.trailing_data[0]
    # A request that closes the connection, or that is invalid, is the last one.
    return (
        bool(has_bytes)
        and not conn.closing
        and conn.reading.their_state in (h11.IDLE, h11.DONE)
        and all(exchange.received.is_ok() for exchange in conn.ahead)
        and earlystarts.may_read_ahead([exchange.size for exchange in conn.ahead])
    )


async def _read_ahead(front, conn):
    """Reads requests as long as their bytes arrive."""
    try:
        # Without the caller, there is nothing to read; the connection's task sees it.
        with contextlib.suppress(ConnectionError):
            while _may_read(conn):
                exchange = await _read_exchange(front, conn)
                if exchange.received.is_ok() and exchange.received.ok is None:
                    return
                conn.ahead.append(exchange)
                _start_early(front, conn, exchange)
                conn.arrived.set()
    except Exception as exc:
        log_event(front.log, "task_failed", task="read ahead", cause=repr(exc))
        # The answers behind would take the place of that to the failed request.
        fault = Fault(ResultCode.INTERNAL_NOT_RUN, "the request could not be read")
        conn.ahead.append(Exchange(conn.reading, Error(fault)))
    finally:
        conn.reader = None
        conn.arrived.set()


def _start_early(front, conn, exchange):
    """Sends a request to a server before its turn, where that is allowed."""
    if exchange.received.is_error() or conn.stream.ended:
        return
    req = exchange.received.ok
    exchange.size = len(req.body) + sum(len(n) + len(v) for n, v in req.headers)
    route = forwarding.find_route(front.view.table, req)
    is_behind_stream = _is_behind_stream(front, conn, exchange)
    if earlystarts.may_start_early(route, front.stopping, is_behind_stream):
        req.spool_bytes = earlystarts.EARLY_ANSWER_BYTES
        exchange.trace.early = True
        call = forwarding.forward(front, req, exchange.trace)
        exchange.task = start_task(front, call)


def _is_behind_stream(front, conn, exchange):
    """Returns whether an answer before a request's own is likely to be streamed."""
    if not front.streamed_routes:
        return False
    before = [conn.req, *(e.received.ok for e in conn.ahead if e is not exchange)]
    table = front.view.table
    routes = [forwarding.find_route(table, req) for req in before if req is not None]
    return any(r is not None and r.name in front.streamed_routes for r in routes)


def cancel_started(conn):
    """Cancels the requests that were sent to servers before their turn.

    Args:
        conn: CallerConnection.
    """
    for exchange in conn.ahead:
        if exchange.task is not None:
            exchange.task.cancel()


async def stop_reading(conn):
    """Ends the task that reads requests before their turn.

    Args:
        conn: CallerConnection.
    """
    if conn.reader is not None:
        conn.reader.cancel()
        await asyncio.wait([conn.reader])


async def take_unanswered(front, conn):
    """Yields the requests that were read whole and wait for their turn, in order.

    One that was started early and is still at work is cancelled. Requests that have
    arrived and were not parsed yet are among them; no more is taken from the socket.

    Args:
        front: Front.
        conn: CallerConnection whose current request has ended, with its input held.

    Yields:
        Exchange; its task, if any, is done.
    """
    while conn.ahead or await _read_arrived(front, conn):
        exchange = conn.ahead.popleft()
        if exchange.task is not None and not exchange.task.done():
            await drop_exchange(front, exchange)
        yield exchange
        await asyncio.sleep(0)


async def _read_arrived(front, conn):
    """Reads one request that has arrived whole; returns whether there was one."""
    if not _may_read(conn):
        return False
    exchange = await _read_exchange(front, conn)
    if exchange.received.is_error() or exchange.received.ok is not None:
        conn.ahead.append(exchange)
    return bool(conn.ahead)


async def early_result(front, exchange):
    """Returns the Result of a request that was started early, None without a whole one.

    Args:
        front: Front.
        exchange: Exchange whose task, if any, is done.
    """
    if exchange.task is None or exchange.task.cancelled():
        return None
    exc = exchange.task.exception()
    if exc is not None:
        log_event(front.log, "task_failed", task="early request", cause=repr(exc))
        return None
    result = exchange.task.result()
    if result.is_ok() and result.ok.call is not None:
        await _settle(front, exchange)
        return None
    return result


async def drop_ahead(front, conn):
    """Ends what stands behind the last answer; its caller sends it again.

    Args:
        front: Front.
        conn: CallerConnection.

    Returns:
        List of the Exchange objects of requests that were read whole.
    """
    await stop_reading(conn)
    cancel_started(conn)
    dropped = [exchange for exchange in conn.ahead if exchange.received.is_ok()]
    for exchange in dropped:
        if exchange.task is not None:
            await _settle(front, exchange)
    return dropped


async def drop_exchange(front, exchange):
    """Cancels a request whose answer nobody takes, if it was started early.

    Args:
        front: Front.
        exchange: Exchange.
    """
    if exchange.task is not None:
        exchange.task.cancel()
        await _settle(front, exchange)


async def _settle(front, exchange):
    """Waits for a cancelled request; closes the connection of an unfinished answer."""
    await asyncio.wait([exchange.task])
    if exchange.task.cancelled() or exchange.task.exception() is not None:
        return
    result = exchange.task.result()
    if result.is_ok() and result.ok.call is not None:
        bytestream.abort(result.ok.call.stream)
        record_stream_end(front, result.ok.backend, Outcome.CANCELLED)
