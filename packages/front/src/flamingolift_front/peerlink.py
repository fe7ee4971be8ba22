"""Connections to the peer ports of other instances."""

import asyncio
import contextlib

import h11
import msgpack

from flamingolift_front import bytestream, httpcall

__all__ = [
    "PeerError",
    "PeerLink",
    "close_link",
    "failures_as_peer_errors",
    "link_name",
    "open_get",
    "open_link",
    "open_request",
]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a peer (s)."""


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
    return open_request(link, target, None)


def open_request(link, target, body):
    """Sends a request on an open link: a GET, or a POST if it has a body.

    Args:
        link: PeerLink with a connection.
        target: Request target (str).
        body: Body (bytes), or None.

    Returns:
        HttpCall.
    """
    method, headers = b"GET", [(b"Host", link.address[0].encode())]
    if body is not None:
        method = b"POST"
        headers.append((b"Content-Length", str(len(body)).encode()))
    return httpcall.open_call(
        link.stream, method, target.encode(), headers, body or b""
    )


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
