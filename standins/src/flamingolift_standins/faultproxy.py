"""TCP proxy that injects network faults, for tests."""

import asyncio
import contextlib

__all__ = ["FaultProxy", "start_proxy"]

CHUNK_BYTES = 65_536


class FaultProxy:
    """A proxy in front of one address; tests set its attributes to cause faults.

    Attributes:
        target: (host, port) of the server behind it.
        port: TCP port of the proxy.
        server: asyncio server.
        delay_s: Delay of each chunk in both directions (s).
        refusing: Whether new connections are aborted once accepted.
        truncate_after: Response bytes after which a connection is closed, or None.
        duplicate_after_s: Time after which each chunk of a response is sent again
            (s), or None.
        frozen: Set of connections that forward nothing while they are in it.
        connections: Set of open connections, as (number, writer to the caller,
            writer to the target).
        accepted: Number of connections accepted.
    """

    __slots__ = (
        "accepted",
        "connections",
        "delay_s",
        "duplicate_after_s",
        "frozen",
        "port",
        "refusing",
        "server",
        "target",
        "truncate_after",
    )

    def __init__(self, target):
        self.target = target
        self.port = 0
        self.server = None
        self.delay_s = 0.0
        self.refusing = False
        self.truncate_after = None
        self.duplicate_after_s = None
        self.frozen = set()
        self.connections = set()
        self.accepted = 0

    def freeze_open_connections(self):
        """Stops all traffic on the connections open now; later ones work."""
        self.frozen |= self.connections

    def unfreeze(self):
        """Resumes the traffic on frozen connections."""
        self.frozen.clear()

    def cut(self):
        """Aborts all open connections."""
        for _, writer, upstream in list(self.connections):
            writer.transport.abort()
            upstream.transport.abort()


async def start_proxy(host, port):
    """Returns a running FaultProxy in front of an address.

    Args:
        host: IP address of the target.
        port: TCP port of the target.
    """
    proxy = FaultProxy((host, port))

    async def accept(reader, writer):
        proxy.accepted += 1
        if proxy.refusing:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *proxy.target
            )
        except OSError:
            writer.transport.abort()
            return
        key = (proxy.accepted, writer, upstream_writer)
        proxy.connections.add(key)
        with contextlib.suppress(asyncio.CancelledError):
            await forward_both(key, reader, upstream_reader)

    async def forward_both(key, reader, upstream_reader):
        _, writer, upstream_writer = key
        try:
            await asyncio.gather(
                _forward(proxy, key, reader, upstream_writer, False),
                _forward(proxy, key, upstream_reader, writer, True),
            )
        finally:
            proxy.connections.discard(key)
            proxy.frozen.discard(key)

    proxy.server = await asyncio.start_server(accept, "127.0.0.1", 0)
    proxy.port = proxy.server.sockets[0].getsockname()[1]
    return proxy


async def _forward(proxy, key, reader, writer, is_response):
    """Forwards one direction until it ends, with the current faults."""
    forwarded = 0
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            if proxy.delay_s:
                await asyncio.sleep(proxy.delay_s)
            while key in proxy.frozen:
                await asyncio.sleep(0.02)
            limit = proxy.truncate_after
            if is_response and limit is not None and forwarded + len(chunk) > limit:
                writer.write(chunk[: limit - forwarded])
                await writer.drain()
                writer.close()
                key[1].transport.close()
                key[2].transport.abort()
                return
            writer.write(chunk)
            if is_response and proxy.duplicate_after_s is not None:
                asyncio.get_running_loop().call_later(
                    proxy.duplicate_after_s, writer.write, chunk
                )
            await writer.drain()
            forwarded += len(chunk)
        writer.write_eof()
    except (OSError, RuntimeError):
        writer.transport.abort()
