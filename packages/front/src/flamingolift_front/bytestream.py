"""TCP connections as byte streams that report the end of the connection."""

import asyncio
import contextlib
import socket

from flamingolift_front.timelimit import time_limit

__all__ = [
    "WRITE_HIGH_WATER_BYTES",
    "ByteStream",
    "InputHeldError",
    "PeerTimeoutError",
    "abort",
    "calling_at_end",
    "close",
    "connect",
    "extend_while_receiving",
    "flush",
    "hold_input",
    "peer_host",
    "read",
    "read_before",
    "read_more",
    "release_input",
    "wait_closed",
    "wait_readable",
    "wait_readable_before",
    "wake",
    "write",
    "write_eof",
]

READ_HIGH_WATER_BYTES = 1 << 14
"""Buffered bytes from which the socket is no longer read. The kernel has buffers of its
own, so that more would only add to the memory of many connections."""
RECEIVE_BYTES = READ_HIGH_WATER_BYTES
"""Most bytes that are taken from a socket at a time."""
WRITE_HIGH_WATER_BYTES = 1 << 14
"""Queued bytes from which `flush` waits, besides those that the kernel has taken."""
UNACKED_TIMEOUT_MS = 600
"""TCP_USER_TIMEOUT of a connection to a server (ms): long enough for two
retransmissions between regions, and less than the usual timeout of a request."""
SLOW_READER_TIMEOUT_MS = 5000
"""TCP_USER_TIMEOUT of an accepted connection (ms), whose peer may read slowly."""
KEEPALIVE_IDLE_S = 1
"""Idle time before the first keep-alive probe, and interval between probes (s)."""
KEEPALIVE_PROBES = 2
"""Unanswered probes in a row after which an idle connection ends."""
KEEPALIVE_TIMEOUT_MS = 1000 * KEEPALIVE_IDLE_S * (1 + KEEPALIVE_PROBES)
"""TCP_USER_TIMEOUT of a connection with keep-alive probes (ms). On Linux it takes the
place of the count of probes, so that a shorter one would end the connection earlier."""


class PeerTimeoutError(ConnectionError):
    """Bytes were not acknowledged in time, or keep-alive probes not answered."""


class InputHeldError(Exception):
    """No more input is taken, and what has arrived is not complete."""


_received = memoryview(bytearray(RECEIVE_BYTES))
"""Buffer into which all sockets are read, one after the other."""


class ByteStream(asyncio.BufferedProtocol):
    """State of one TCP connection.

    Attributes:
        transport: asyncio transport; None before the connection is made.
        buffer: Bytes received and not yet read.
        waiter: Future of the task that waits for bytes, or None.
        writable: Future that is done when the send buffer has room, or None.
        closing: Future of the task that waits until the connection is closed, or None.
        closed: Whether the connection is closed, with all bytes sent or given up.
        ended: Whether the peer sent end of file or the connection is lost.
        held: Whether no more is taken from the socket.
        error: Exception that ended the connection, or None.
        on_open: Function called with the stream when it is connected, or None.
        on_data: Function called with the number of bytes that arrived, or None.
        on_end: Function called without arguments when `ended` becomes true, or None.
        end_calls: Tuple of further such functions.
    """

    __slots__ = (
        "buffer",
        "closed",
        "closing",
        "end_calls",
        "ended",
        "error",
        "held",
        "on_data",
        "on_end",
        "on_open",
        "transport",
        "waiter",
        "writable",
    )

    def __init__(self, on_open=None):
        self.transport = None
        self.buffer = bytearray()
        self.waiter = None
        self.writable = None
        self.closing = None
        self.closed = False
        self.ended = False
        self.held = False
        self.error = None
        self.on_open = on_open
        self.on_data = None
        self.on_end = None
        self.end_calls = ()

    def connection_made(self, transport):
        """Sets the socket options and calls `on_open`; called by the event loop."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        accepted = self.on_open is not None
        _set_user_timeout(
            transport, SLOW_READER_TIMEOUT_MS if accepted else UNACKED_TIMEOUT_MS
        )
        if accepted:
            self.on_open(self)

    def get_buffer(self, sizehint):
        """Returns the buffer to read into; called by the event loop."""
        return _received

    def buffer_updated(self, nbytes):
        """Takes bytes out of the buffer again; called by the event loop."""
        self.data_received(_received[:nbytes])

    def data_received(self, data):
        """Buffers received bytes."""
        self.buffer += data
        if self.on_data is not None:
            self.on_data(len(data))
        if len(self.buffer) > READ_HIGH_WATER_BYTES:
            self.transport.pause_reading()
        _wake(self.waiter)

    def eof_received(self):
        """Records the peer's end of file; called by the event loop."""
        _mark_ended(self, None)
        return False

    def connection_lost(self, exc):
        """Records the end of the connection; called by the event loop."""
        _mark_ended(self, exc)
        _wake(self.writable)
        self.closed = True
        _wake(self.closing)

    def pause_writing(self):
        """Makes `flush` wait while the buffer is full; called by the event loop."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Wakes the task that waits in `flush`; called by the event loop."""
        _wake(self.writable)
        self.writable = None


def _set_user_timeout(transport, timeout_ms):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _wake(fut):
    if fut is not None and not fut.done():
        fut.set_result(None)


def _mark_ended(stream, exc):
    is_first = not stream.ended
    stream.ended = True
    stream.error = stream.error or exc
    _wake(stream.waiter)
    if is_first and stream.on_end is not None:
        stream.on_end()
    if is_first:
        for function in stream.end_calls:
            function()


@contextlib.contextmanager
def calling_at_end(stream, function):
    """Calls a function when the peer leaves meanwhile.

    Args:
        stream: ByteStream.
        function: Function without arguments.
    """
    stream.end_calls += (function,)
    try:
        yield
    finally:
        stream.end_calls = tuple(f for f in stream.end_calls if f is not function)


async def connect(host, port, timeout_s, keepalive=False):
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Longest time for the connection to be made (s).
        keepalive: Whether TCP keep-alive probes detect a dead peer while idle.

    Returns:
        ByteStream.

    Raises:
        OSError: The connection was refused or not made in time.
    """
    loop = asyncio.get_running_loop()
    async with time_limit(loop.time() + timeout_s):
        transport, stream = await loop.create_connection(ByteStream, host, port)
    if keepalive:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            sock.setsockopt(socket.IPPROTO_TCP, option, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        _set_user_timeout(transport, KEEPALIVE_TIMEOUT_MS)
    return stream


async def read(stream):
    """Returns the bytes that have arrived, and waits when there are none.

    Args:
        stream: ByteStream.

    Returns:
        Bytes; empty at the peer's end of file, and when the input is held.

    Raises:
        PeerTimeoutError: The peer stopped acknowledging bytes or probes.
        ConnectionError: The connection broke off.
    """
    await wait_readable(stream)
    if stream.buffer:
        data = bytes(stream.buffer)
        stream.buffer.clear()
        if not (stream.ended or stream.held):
            stream.transport.resume_reading()
        return data
    if stream.error is not None:
        raise _as_connection_error(stream.error) from stream.error
    return b""


async def wait_readable(stream):
    """Waits until bytes have arrived, the connection has ended or its input is held."""
    if _is_readable(stream):
        return
    stream.waiter = asyncio.get_running_loop().create_future()
    try:
        await stream.waiter
    finally:
        stream.waiter = None


def _is_readable(stream):
    return bool(stream.buffer) or stream.ended or stream.held


async def wait_readable_before(stream, ends_at):
    """Waits until bytes have arrived, the connection has ended, or a time is reached.

    Args:
        stream: ByteStream.
        ends_at: End of the wait (s, monotonic).

    Returns:
        Whether there is something to read. Bytes that have arrived count even when
        the event loop was blocked beyond the end of the wait.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(ends_at):
            await wait_readable(stream)
    if not _is_readable(stream):
        # The event loop may take bytes from the socket later in the same turn.
        await asyncio.sleep(0)
    return _is_readable(stream)


def hold_input(stream):
    """Takes no more from the socket; readers get what has arrived and then the end.

    Args:
        stream: ByteStream.
    """
    stream.held = True
    if not stream.ended:
        stream.transport.pause_reading()
    _wake(stream.waiter)


def release_input(stream):
    """Takes input from the socket again.

    Args:
        stream: ByteStream.
    """
    stream.held = False
    if not stream.ended:
        stream.transport.resume_reading()


def wake(stream):
    """Ends the wait of `wait_readable_before`, if there is one, before its time."""
    _wake(stream.waiter)


async def read_before(stream, ends_at):
    """Returns the bytes that have arrived, and waits for them until a time.

    Args:
        stream: ByteStream.
        ends_at: End of the wait (s, monotonic).

    Returns:
        Bytes; empty at the peer's end of file.

    Raises:
        TimeoutError: Nothing has arrived by then.
        ConnectionError: The connection broke off.
    """
    if not await wait_readable_before(stream, ends_at):
        raise TimeoutError
    return await read(stream)


async def read_more(stream, ends_at):
    """Returns more bytes of what has arrived in part, as `read_before` does.

    Args:
        stream: ByteStream.
        ends_at: End of the wait (s, monotonic).

    Raises:
        InputHeldError: No more is taken from the socket.
        TimeoutError: Nothing has arrived by then.
        ConnectionError: The connection broke off.
    """
    data = await read_before(stream, ends_at)
    if not data and stream.held:
        raise InputHeldError
    return data


def extend_while_receiving(stream, timer, idle_s, total_s, on_data=None):
    """Extends a timeout as long as bytes arrive, until `stream.on_data` is reset.

    Args:
        stream: ByteStream.
        timer: `asyncio.Timeout` that is entered; it never ends earlier than before.
        idle_s: Time after the last bytes at which the timeout ends (s).
        total_s: Time from now after which it is no longer extended (s).
        on_data: Function called with the number of bytes that arrived, or None.
    """
    loop = asyncio.get_running_loop()
    last = loop.time() + total_s

    def extend(size):
        if on_data is not None:
            on_data(size)
        if not timer.expired():
            timer.reschedule(max(timer.when(), min(last, loop.time() + idle_s)))

    stream.on_data = extend


def peer_host(stream):
    """Returns the IP address of the peer, empty when the connection is lost."""
    address = stream.transport.get_extra_info("peername")
    return address[0] if address else ""


def _as_connection_error(exc):
    if isinstance(exc, TimeoutError):
        return PeerTimeoutError(str(exc))
    return ConnectionResetError(str(exc))


def write(stream, data):
    """Queues bytes to be sent; does nothing when the connection is closing."""
    if not stream.transport.is_closing():
        stream.transport.write(data)


def write_eof(stream):
    """Ends the sending direction after the queued bytes, and keeps the other open."""
    if not stream.transport.is_closing():
        # The peer may have reset the connection, which the event loop has yet to see.
        with contextlib.suppress(OSError):
            stream.transport.write_eof()


async def flush(stream):
    """Waits until the send buffer has room.

    Args:
        stream: ByteStream.

    Raises:
        ConnectionError: The connection broke off.
    """
    if stream.writable is not None:
        await asyncio.shield(stream.writable)
    if stream.error is not None:
        raise _as_connection_error(stream.error) from stream.error


def close(stream):
    """Closes a connection after its queued bytes are sent."""
    stream.transport.close()


async def wait_closed(stream):
    """Waits until a connection that is being closed has sent its queued bytes."""
    if not stream.closed:
        stream.closing = asyncio.get_running_loop().create_future()
        await stream.closing


def abort(stream):
    """Closes a connection at once and discards its queued bytes."""
    stream.transport.abort()
