"""TCP connections as byte streams with an observable end."""

import asyncio
import socket

__all__ = [
    "ByteStream",
    "SilentPathError",
    "abort",
    "close",
    "connect",
    "flush",
    "read",
    "write",
]

READ_HIGH_WATER_BYTES = 1 << 18
"""Unread bytes at which a connection stops reading; four default TCP windows."""
UNACKED_TIMEOUT_MS = 600
"""Time after which unacknowledged bytes end a connection to a server (ms): two
retransmissions between regions, and less than the usual timeout of a request."""
SLOW_READER_TIMEOUT_MS = 5000
"""The same for an accepted connection, whose peer may read slowly (ms)."""
KEEPALIVE_IDLE_S = 1
"""Idle time before the first keep-alive probe on connections that use them (s)."""
KEEPALIVE_PROBES = 2


class SilentPathError(ConnectionError):
    """Bytes were not acknowledged in time, or keep-alive probes not answered."""


class ByteStream(asyncio.Protocol):
    """State of one TCP connection.

    Attributes:
        transport: asyncio transport; None before the connection is made.
        buffer: Bytes received and not yet read.
        waiter: Future of the task that waits for bytes, or None.
        writable: Future that is done when the send buffer has room, or None.
        ended: Whether the peer sent its last byte or the connection is lost.
        error: Exception that ended the connection, or None.
        on_open: Function called with the stream when it is connected, or None.
        on_end: Function called without arguments when the peer ends, or None.
    """

    __slots__ = (
        "buffer",
        "ended",
        "error",
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
        self.ended = False
        self.error = None
        self.on_open = on_open
        self.on_end = None

    def connection_made(self, transport):
        """Keeps the transport; called by the event loop."""
        self.transport = transport
        accepted = self.on_open is not None
        _set_user_timeout(
            transport, SLOW_READER_TIMEOUT_MS if accepted else UNACKED_TIMEOUT_MS
        )
        if accepted:
            self.on_open(self)

    def data_received(self, data):
        """Keeps received bytes; called by the event loop."""
        self.buffer += data
        if len(self.buffer) > READ_HIGH_WATER_BYTES:
            self.transport.pause_reading()
        _wake(self.waiter)

    def eof_received(self):
        """Notes the peer's last byte; called by the event loop."""
        _end(self, None)
        return False

    def connection_lost(self, exc):
        """Notes the end of the connection; called by the event loop."""
        _end(self, exc)
        _wake(self.writable)

    def pause_writing(self):
        """Notes a full send buffer; called by the event loop."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Notes room in the send buffer; called by the event loop."""
        _wake(self.writable)
        self.writable = None


def _set_user_timeout(transport, timeout_ms):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _wake(fut):
    if fut is not None and not fut.done():
        fut.set_result(None)


def _end(stream, exc):
    first = not stream.ended
    stream.ended = True
    stream.error = stream.error or exc
    _wake(stream.waiter)
    if first and stream.on_end is not None:
        stream.on_end()


async def connect(host, port, timeout_s, keepalive=False):
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Longest time for the connection to be made (s).
        keepalive: Whether keep-alive probes detect a silent path while idle.

    Returns:
        ByteStream.

    Raises:
        OSError: The connection was refused or not made in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, stream = await loop.create_connection(ByteStream, host, port)
    if keepalive:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            sock.setsockopt(socket.IPPROTO_TCP, option, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return stream


async def read(stream):
    """Reads what has arrived, or waits for it.

    Args:
        stream: ByteStream.

    Returns:
        Bytes; empty after the peer's last byte.

    Raises:
        SilentPathError: The path to the peer fell silent.
        ConnectionError: The connection broke off.
    """
    if not stream.buffer and not stream.ended:
        stream.waiter = asyncio.get_running_loop().create_future()
        try:
            await stream.waiter
        finally:
            stream.waiter = None
    if stream.buffer:
        data = bytes(stream.buffer)
        stream.buffer.clear()
        if not stream.ended:
            stream.transport.resume_reading()
        return data
    if stream.error is not None:
        raise _as_connection_error(stream.error) from stream.error
    return b""


def _as_connection_error(exc):
    if isinstance(exc, TimeoutError):
        return SilentPathError(str(exc))
    return ConnectionResetError(str(exc))


def write(stream, data):
    """Queues bytes to be sent; nothing happens on a connection that ended."""
    if not stream.transport.is_closing():
        stream.transport.write(data)


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


def abort(stream):
    """Closes a connection at once and drops its queued bytes."""
    stream.transport.abort()
