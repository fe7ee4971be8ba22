"""TCP proxy with the limited bandwidth of one machine's link, in both directions."""

import asyncio
import contextlib

__all__ = ["Link", "LinkProxy", "start_link_proxy", "stop_link_proxy"]

CHUNK_BYTES = 16_384


class Link:
    """Bandwidth, in one direction, that all connections of one machine share.

    Attributes:
        bytes_per_s: Bandwidth (bytes/s).
        sent: Bytes carried so far.
        free_at: Time at which the link has carried all accepted bytes (s, clock of
            the event loop).
    """

    __slots__ = ("bytes_per_s", "free_at", "sent")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.sent = 0
        self.free_at = 0.0


class LinkProxy:
    """A proxy in front of one port.

    Attributes:
        link: Link that carries the responses of the target.
        target: (host, port) behind the proxy.
        port: TCP port of the proxy.
        server: asyncio server.
        writers: Set of the writers of all open connections.
    """

    __slots__ = ("link", "port", "server", "target", "writers")

    def __init__(self, link, target):
        self.link = link
        self.target = target
        self.port = 0
        self.server = None
        self.writers = set()


async def start_link_proxy(link, host, port, request_link=None):
    """Returns a running LinkProxy.

    Args:
        link: Link that carries the responses of the target.
        host: IP address of the target.
        port: TCP port of the target.
        request_link: Link that carries the requests; unlimited when it is None.
    """
    proxy = LinkProxy(link, (host, port))

    def carry_requests(reader, writer):
        if request_link is None:
            return _copy(reader, writer)
        return _carry(request_link, reader, writer)

    async def accept(reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*proxy.target)
        except OSError:
            writer.transport.abort()
            return
        proxy.writers |= {writer, target_writer}
        # The event loop cancels the task of a connection that outlives a test.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                carry_requests(reader, target_writer),
                _carry(link, target_reader, writer),
            )
        proxy.writers -= {writer, target_writer}

    proxy.server = await asyncio.start_server(accept, "127.0.0.1", 0)
    proxy.port = proxy.server.sockets[0].getsockname()[1]
    return proxy


async def stop_link_proxy(proxy):
    """Stops a proxy and aborts its connections."""
    proxy.server.close()
    for writer in list(proxy.writers):
        writer.transport.abort()
    await asyncio.sleep(0)


async def _copy(reader, writer):
    """Copies bytes that no link of this proxy limits."""
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _carry(link, reader, writer):
    """Copies bytes at the pace of a link."""
    loop = asyncio.get_running_loop()
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            now = loop.time()
            link.free_at = max(now, link.free_at) + len(chunk) / link.bytes_per_s
            link.sent += len(chunk)
            await asyncio.sleep(link.free_at - now)
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
