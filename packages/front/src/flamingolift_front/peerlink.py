"""Connections to the peer ports of other instances."""

import asyncio
import contextlib
import time

import h11
import msgpack

from flamingolift_front import bytestream, httpcall
from flamingolift_front.timelimit import time_limit

__all__ = [
    "PeerError",
    "PeerLink",
    "close_link",
    "exchange",
    "failures_as_peer_errors",
    "link_name",
    "open_get",
    "open_link",
    "open_post",
]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a peer (s)."""

MAX_REPLY_BYTES = 1 << 16
"""Largest reply to a short question (bytes), many of which may be asked at once."""


class PeerError(Exception):
    """A peer did not respond, sent an invalid response, or has nothing to offer."""


class PeerLink:
    """Connection to a peer.

    Attributes:
        address: (host, port) of the peer.
        stream: ByteStream, or None while there is none.
    """

    __slots__ = ("address", "stream")

    def __init__(self, address):
        self.address = address
        self.stream = None


def link_name(link):
    """Returns the address of a peer as host:port."""
    return f"{link.address[0]}:{link.address[1]}"


def close_link(link):
    """Closes the connection to a peer."""
    if link.stream is not None:
        bytestream.abort(link.stream)
        link.stream = None


async def open_link(link):
    """Connects to a peer unless there is a connection that can be used.

    Args:
        link: PeerLink.

    Returns:
        ByteStream of the link.

    Raises:
        OSError: The connection was refused or not made in time.
    """
    # Bytes that arrived since the last response belong to no request.
    if link.stream is None or link.stream.ended or link.stream.buffer:
        close_link(link)
        link.stream = await bytestream.connect(
            *link.address, CONNECT_TIMEOUT_S, keepalive=True
        )
    return link.stream


def open_get(link, target):
    """Sends a GET request on an open link.

    Args:
        link: PeerLink with a connection.
        target: Request target (str).

    Returns:
        HttpCall.
    """
    headers = [(b"Host", link.address[0].encode())]
    return httpcall.open_call(link.stream, b"GET", target.encode(), headers, b"")


def open_post(link, target, body):
    """Sends a POST request on an open link.

    Args:
        link: PeerLink with a connection.
        target: Request target (str).
        body: Body (bytes).

    Returns:
        HttpCall.
    """
    length = str(len(body)).encode()
    headers = [(b"Host", link.address[0].encode()), (b"Content-Length", length)]
    return httpcall.open_call(link.stream, b"POST", target.encode(), headers, body)


async def exchange(link, target, timeout_s, body=None, max_bytes=MAX_REPLY_BYTES):
    """Sends a request to a peer and reads the response.

    Args:
        link: PeerLink, which is opened if needed.
        target: Request target (str).
        timeout_s: Longest time for all of it (s).
        body: Body (bytes), or None for a GET request.
        max_bytes: Largest body of the response (bytes).

    Returns:
        Tuple of the HttpCall and the HttpResponse.

    Raises:
        OSError: The connection was refused, not made in time or lost.
        TimeoutError: There was no response in time.
        InvalidResponseError: The response cannot be used.
    """
    async with time_limit(time.monotonic() + timeout_s):
        await open_link(link)
        is_get = body is None
        call = open_get(link, target) if is_get else open_post(link, target, body)
        response = await httpcall.read_response(call, httpcall.accept_any, max_bytes)
        if not response.complete:
            raise httpcall.InvalidResponseError(f"more than {max_bytes} bytes")
        return call, response


@contextlib.contextmanager
def failures_as_peer_errors(link):
    """Closes the link when its use fails or is cancelled.

    Args:
        link: PeerLink.

    Raises:
        PeerError: The connection failed, the peer's address is none that can be
            dialled, or the response cannot be used.
    """
    try:
        yield
    except (
        OSError,
        TimeoutError,
        ValueError,
        TypeError,
        OverflowError,
        h11.LocalProtocolError,
        msgpack.UnpackException,
        httpcall.InvalidResponseError,
    ) as exc:
        close_link(link)
        raise PeerError(f"{type(exc).__name__} {exc}") from exc
    except asyncio.CancelledError:
        close_link(link)
        raise
