"""Loads that fill the memory of a front: uploads, slow callers and odd input."""

import asyncio
import contextlib
import re
import socket

from flamingolift_standins.platformstore import put_item

from integration.platformfleet import HOST, call

__all__ = [
    "LargeServer",
    "hold_answer",
    "own_peak_mb",
    "put_large_limits",
    "send_endlessly",
    "start_large_server",
    "trickle",
    "try_bookings",
    "upload",
]

MAX_BODY_BYTES = 64 << 20
ANSWER_BYTES = (1 << 20) - 1000
"""Size of an answer that is just small enough to be buffered as a whole (bytes)."""
PIECE_BYTES = 1 << 16
SLOTS = 1000
"""Slots of the server, so that its load bounds no case."""
ROUTES = [
    ["r-read", HOST, "/read/", "safe", "5s", "reads", 3, False, [], None],
    ["r-book", HOST, "/book/", "unsafe", "5s", "reads", 2, False, [], None],
]
COLUMNS = ["name", "host", "prefix", "kind", "timeout", "service"]
COLUMNS += ["max_attempts", "sticky", "home_regions", "weighted_services"]


class LargeServer:
    """A backend server that discards bodies and sends large answers under /read/.

    Attributes:
        server_id: Id.
        port: TCP port.
        served: Number of requests that were read whole.
        server: asyncio server.
        writers: Set of the writers of open connections.
    """

    __slots__ = ("port", "served", "server", "server_id", "writers")

    def __init__(self, server_id):
        self.server_id = server_id
        self.served = 0
        self.writers = set()


async def start_large_server(fleet, server_id):
    """Starts and registers a LargeServer; the fleet's stop does not end it."""
    state = LargeServer(server_id)

    async def serve(reader, writer):
        state.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await _serve_request(state, reader, writer)
        finally:
            state.writers.discard(writer)
            writer.transport.abort()

    state.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    state.port = state.server.sockets[0].getsockname()[1]
    entry = {
        "address": f"127.0.0.1:{state.port}",
        "info": {"service": "reads", "version": "v1", "zone": "north", "slots": SLOTS},
        "status": {"state": "ready", "seq": 1, "cold_left": "0ms"},
        "born": 1,
    }
    put_item(fleet.store, f"servers/{server_id}", entry)
    return state


async def _serve_request(state, reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    left = int(_field(head, b"content-length") or 0)
    while left:
        left -= len(await reader.readexactly(min(left, PIECE_BYTES)))
    state.served += 1
    body = bytes(ANSWER_BYTES if b" /read/" in head else 2)
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Load: 1,0,%d\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (_field(head, b"request-id"), SLOTS, len(body))
        + body
    )
    await writer.drain()


def _field(head, name):
    found = re.search(rb"\r\n%s: *([^\r]*)" % name, head, re.IGNORECASE)
    return found.group(1) if found else b""


def put_large_limits(fleet, version, routes=ROUTES):
    """Writes a configuration that allows bodies of 64 MiB."""
    names = sorted({row[5] for row in routes})
    config = {
        "version": f"r{version}",
        "routes": {"columns": COLUMNS, "rows": routes},
        "services": {
            "columns": ["name", "health_path", "cold_period", "cold_per_s"],
            "rows": [[name, "/health", "100ms", 400.0] for name in names],
        },
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout": "1000ms",
            "idle_timeout": "5s",
        },
    }
    put_item(fleet.store, "op/config", config)


def own_peak_mb(front):
    """Returns the largest memory of a front's process, without mapped files (MB)."""
    with open(f"/proc/{front.process.pid}/status", encoding="ascii") as file:
        sizes = dict(re.findall(r"^(VmHWM|RssFile):\s+(\d+)", file.read(), re.M))
    return (int(sizes["VmHWM"]) - int(sizes["RssFile"])) * 1024 / 1e6


def _head(method, path, name, framing, deadline_ms):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    ).encode()


async def upload(front, name, size, deadline_ms=6000):
    """Uploads a body; returns the status of the answer, or the name of the error."""
    port = front.ports["front"]
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
            try:
                framing = f"Content-Length: {size}"
                writer.write(_head("POST", "/book/x", name, framing, deadline_ms))
                sent = 0
                while sent < size and not answer.done():
                    piece = min(PIECE_BYTES, size - sent)
                    writer.write(bytes(piece))
                    sent += piece
                    await writer.drain()
                return int((await answer).split()[1])
            finally:
                answer.cancel()
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return type(exc).__name__


async def hold_answer(front, name, hold_s):
    """Asks for a large answer and reads it only later.

    Returns:
        "whole", the status of another answer, or the name of the error.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", front.ports["front"]))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    try:
        writer.write(_head("GET", "/read/x", name, "Content-Length: 0", 20000))
        await asyncio.sleep(hold_s)
        async with asyncio.timeout(20.0):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split()[1] != b"200":
                return int(head.split()[1])
            await reader.readexactly(ANSWER_BYTES)
        return "whole"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return type(exc).__name__
    finally:
        writer.transport.abort()


async def send_endlessly(front, name, seconds):
    """Sends a chunked body without end; returns the status, or the error's name."""
    port = front.ports["front"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    try:
        async with asyncio.timeout(seconds):
            framing = "Transfer-Encoding: chunked"
            writer.write(_head("POST", "/book/x", name, framing, 6000))
            while not answer.done():
                writer.write(b"10000\r\n" + bytes(PIECE_BYTES) + b"\r\n")
                await writer.drain()
            return int((await answer).split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        return type(exc).__name__
    finally:
        answer.cancel()
        writer.transport.abort()


async def trickle(front, seconds):
    """Sends a byte a second of a head."""
    port = front.ports["front"]
    with contextlib.suppress(OSError):
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            for byte in b"POST /book/x HTTP/1.1"[: int(seconds)]:
                writer.write(bytes([byte]))
                await writer.drain()
                await asyncio.sleep(1.0)
        finally:
            writer.transport.abort()


async def try_bookings(front, done, interval_s=0.05):
    """Sends small bookings until an event is set; returns (served, sent)."""
    served = sent = 0
    while not done.is_set():
        sent += 1
        with contextlib.suppress(OSError, TimeoutError):
            reply = await call(
                front.ports["front"],
                "POST",
                "/book/x",
                rid=f"small{sent}",
                body=b"row 7",
                headers=["Deadline-Ms: 4000"],
            )
            served += reply.status == 200
        await asyncio.sleep(interval_s)
    return served, sent
