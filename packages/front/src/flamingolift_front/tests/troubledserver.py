"""A front in this process, in front of a backend server that sends without end."""

import asyncio
import contextlib
import gc
import socket
import struct

from flamingolift_decisions import backends, routetable
from flamingolift_front import bytestream, callers
from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import (
    Route,
    RoutingPolicy,
    ServiceSpec,
    WeightedService,
)
from frontviews import make_front

ROUTE_TIMEOUT_S = 1.0
DEADLINE_S = 2.0
FAILED, SOUND = "failed", "sound"
SOUND_BODY = b"the whole body"
RESET = None
"""Piece at which a server resets the connection."""
CLOSE = "close"
"""Piece at which a server closes the connection."""
PIECE_BYTES = 1 << 16
TRICKLE_S = 0.02
WAIT_S = 5.0
"""Longest wait for what has no bound of its own (s)."""


class TroubledServer:
    """Backend server that sends what a script yields.

    Attributes:
        port: TCP port.
        server: asyncio server.
        script: Function of the request id that returns an iterable of bytes or RESET.
        pause_s: Pause after each piece (s).
        keep_open: Whether it answers further requests on a connection.
        requests: Number of requests received.
        closed: Event that is set when a caller has closed its connection.
        tasks: Set of the tasks that serve a connection.
    """

    __slots__ = (
        "closed",
        "keep_open",
        "pause_s",
        "port",
        "requests",
        "script",
        "server",
        "tasks",
    )

    def __init__(self, script, pause_s, keep_open=False):
        self.script = script
        self.keep_open = keep_open
        self.pause_s = pause_s
        self.requests = 0
        self.closed = asyncio.Event()
        self.tasks = set()
        self.port = 0
        self.server = None


async def _wait_closed(reader, closed):
    with contextlib.suppress(ConnectionError):
        await reader.read()
    closed.set()


def _request_id(head):
    """Returns the id of a request from its head (bytes)."""
    pairs = (line.partition(b": ") for line in head.split(b"\r\n"))
    return {name.lower(): value for name, _, value in pairs}[b"request-id"]


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def start_server(script, pause_s=0.0, keep_open=False):
    state = TroubledServer(script, pause_s, keep_open)

    async def serve(reader, writer):
        state.tasks.add(asyncio.current_task())
        try:
            if state.keep_open:
                await serve_kept(reader, writer)
            else:
                await serve_request(reader, writer)
        finally:
            state.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def serve_kept(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                state.requests += 1
                for piece in state.script(_request_id(head)):
                    if piece is CLOSE:
                        return
                    writer.write(piece)

    async def serve_request(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        state.requests += 1
        watcher = asyncio.create_task(_wait_closed(reader, state.closed))
        with contextlib.suppress(ConnectionError):
            for piece in state.script(_request_id(head)):
                if watcher.done():
                    break
                if piece is CLOSE:
                    writer.close()
                    return
                if piece is RESET:
                    _reset(writer)
                    break
                writer.write(piece)
                await writer.drain()
                await asyncio.wait({watcher}, timeout=state.pause_s)
            await watcher
        state.closed.set()
        watcher.cancel()

    state.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    state.port = state.server.sockets[0].getsockname()[1]
    return state


async def stop_server(state):
    """Stops a server that has an asyncio `server` and a set of `tasks`."""
    state.server.close()
    tasks = list(state.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def head(request_id, *fields):
    lines = [b"HTTP/1.1 200 OK", b"request-id: " + request_id, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def forever(start, piece):
    yield start
    while True:
        yield piece


def sound(request_id):
    length = b"content-length: %d" % len(SOUND_BODY)
    yield head(request_id, length) + SOUND_BODY


CHUNK = b"%x\r\n" % PIECE_BYTES + bytes(PIECE_BYTES) + b"\r\n"
CHUNKED = b"transfer-encoding: chunked"


def add_entry(front, server_id, port, region, slots=3):
    """Makes a server of the service "maps" known to a front."""
    entry = BackendEntry(
        server_id=server_id,
        service="maps",
        region=region,
        failure_domain=front.cfg.failure_domain,
        host="127.0.0.1",
        port=port,
        slots=slots,
    )
    backends.apply_entry(front.view.backends, entry, 0.0)


def make_site_front(ports):
    """Returns a front that knows one route and its servers, by name and port."""
    front = make_front(retry_extra=100)
    front.started_at -= 100.0
    route = Route(
        name="maps",
        host="h",
        prefix="/",
        services=[WeightedService(service="maps", weight=1.0)],
        idempotent=True,
        timeout_ms=ROUTE_TIMEOUT_S * 1000.0,
        max_attempts=3,
    )
    policy = RoutingPolicy(
        number=1, routes=[route], services=[ServiceSpec(name="maps")]
    )
    front.view.table = routetable.build_route_table(policy)
    for server_id, port in ports.items():
        # The server in trouble is nearer, so that it is tried first.
        region = front.cfg.region if server_id == FAILED else "other"
        add_entry(front, server_id, port, region)
    return front


class Site:
    """A front with its listener and the servers behind it.

    Attributes:
        front: Front.
        port: TCP port for callers.
        failed: TroubledServer.
        sound: TroubledServer that sends a complete response, or None.
    """

    __slots__ = ("failed", "front", "port", "sound")


@contextlib.asynccontextmanager
async def run_site(script, pause_s=0.0, with_sound=True, keep_open=False):
    site = Site()
    site.failed = await start_server(script, pause_s, keep_open)
    site.sound = await start_server(sound) if with_sound else None
    servers = [s for s in (site.failed, site.sound) if s is not None]
    names = (FAILED, SOUND)
    site.front = make_site_front(
        {name: s.port for name, s in zip(names, servers, strict=False)}
    )
    listener = await asyncio.get_running_loop().create_server(
        lambda: bytestream.ByteStream(
            lambda stream: callers.accept_caller(site.front, stream)
        ),
        "127.0.0.1",
        0,
    )
    site.port = listener.sockets[0].getsockname()[1]
    try:
        yield site
    finally:
        listener.close()
        tasks = [conn.task for conn in site.front.connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in servers:
            await stop_server(server)
        # Writers that are collected after the event loop is closed raise in `__del__`,
        # which breaks a parse that is in progress.
        await asyncio.sleep(0)
        gc.collect()


async def open_request(site, number=1, version="1.1", deadline_s=DEADLINE_S):
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(
        f"GET /a HTTP/{version}\r\nHost: h\r\nRequest-Id: q{number}\r\n"
        f"Request-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    return reader, writer


async def read_to_end(reader):
    """Returns what arrived, and whether the connection was reset."""
    data = bytearray()
    try:
        while piece := await reader.read(1 << 20):
            data += piece
            del data[PIECE_BYTES:-PIECE_BYTES]
    except ConnectionError:
        return bytes(data), True
    return bytes(data), False


async def fetch(site, **options):
    reader, writer = await open_request(site, **options)
    try:
        async with asyncio.timeout(DEADLINE_S + WAIT_S):
            return await read_to_end(reader)
    finally:
        writer.transport.abort()


async def wait_closed(server):
    async with asyncio.timeout(WAIT_S):
        await server.closed.wait()
