"""Stand-in for a backend server of the managed platform.

It runs in the event loop of a test. A script maps the number of a request to the
fault to inject, such as a reset connection, a missing response or a rejection.
"""

import asyncio
import contextlib
import time

__all__ = ["PlatformServer", "ServedRequest", "start_server", "stop_server"]


class ServedRequest:
    """A request that the server received.

    Attributes:
        line: Request line, without the line end.
        headers: Map of lower-case name to value.
        body: Body (bytes).
        arrived_at: Time of its arrival (s, monotonic).
        ended: "ran", "rejected", "cut" (its connection was reset) or "cancelled"
            (the caller closed its connection); empty while it runs.
    """

    __slots__ = ("arrived_at", "body", "ended", "headers", "line")

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body
        self.arrived_at = time.monotonic()
        self.ended = ""


class PlatformServer:
    """State of a backend server.

    Attributes:
        server_id: Id; requests must name it in Expect-Instance.
        port: TCP port.
        work_s: Processing time of a request (s).
        limit: Value of Server-Limit in its answers; None names no limit.
        requests: List of ServedRequest in the order of arrival.
        script: Map of the number of a request, from 1, to a fault: "reject" (503,
            not run), "reset", "cut" (response without its end), "duplicate"
            (response sent twice), "wrong_id" (another Request-Id), "garbage" (no
            HTTP), "silent" (no response), "fail" (500), the bytes to send as the
            response, or a function of the ServedRequest that returns an iterable of
            bytes, which may have no end.
        connections: Set of the writers of open connections.
        server: asyncio server.
    """

    __slots__ = (
        "connections",
        "limit",
        "port",
        "requests",
        "script",
        "server",
        "server_id",
        "work_s",
    )

    def __init__(self, server_id, work_s):
        self.server_id = server_id
        self.work_s = work_s
        self.limit = None
        self.requests = []
        self.script = {}
        self.connections = set()
        self.server = None
        self.port = 0


async def start_server(server_id, work_s=0.01):
    """Returns a running PlatformServer on a free port."""
    state = PlatformServer(server_id, work_s)

    async def serve(reader, writer):
        state.connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await _serve_request(state, reader, writer):
                pass
        state.connections.discard(writer)
        writer.close()

    state.server = await asyncio.start_server(serve, "127.0.0.1", 0)
    state.port = state.server.sockets[0].getsockname()[1]
    return state


async def stop_server(state):
    """Stops a server and resets its connections."""
    state.server.close()
    for writer in list(state.connections):
        writer.transport.abort()
    await state.server.wait_closed()


async def _serve_request(state, reader, writer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    pairs = (field.partition(":") for field in fields)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    request = ServedRequest(line, headers, body)
    state.requests.append(request)
    action = state.script.get(len(state.requests), "")
    if headers.get("expect-instance") != state.server_id:
        return _reject(state, writer, request, 421)
    if action == "reject":
        return _reject(state, writer, request, 503)
    if action == "reset":
        request.ended = "cut"
        writer.transport.abort()
        return False
    if not await _run_request(state, reader, request, action):
        return False
    if callable(action):
        await _send_pieces(reader, writer, request, action(request))
        return False
    return _send_response(state, writer, request, action)


async def _run_request(state, reader, request, action):
    """Runs a request; returns False if its caller closed the connection meanwhile."""
    seconds = 3600.0 if action == "silent" else state.work_s
    closing = asyncio.create_task(reader.read(1))
    done, _pending = await asyncio.wait({closing}, timeout=seconds)
    closing.cancel()
    await asyncio.wait({closing})
    request.ended = "cancelled" if done else "ran"
    return not done


def _response(request, status, body, extra=()):
    lines = [
        f"HTTP/1.1 {status} X",
        f"Request-Id: {request.headers.get('request-id', '')}",
        f"Content-Length: {len(body)}",
        "Server-Load: 1,0,3",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _limit_field(state):
    return [] if state.limit is None else [f"Server-Limit: {state.limit}"]


def _reject(state, writer, request, status):
    request.ended = "rejected"
    fields = ["Not-Executed: 1", *_limit_field(state)]
    writer.write(_response(request, status, b"", fields))
    return True


async def _send_pieces(reader, writer, request, pieces):
    """Sends until the pieces end or the caller closes the connection."""
    closing = asyncio.create_task(reader.read(1))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
            if closing.done():
                break
    finally:
        closing.cancel()
        await asyncio.wait({closing})
        request.ended = "cancelled"


def _send_response(state, writer, request, action):
    body = b"answer of " + state.server_id.encode()
    fields = ["Server-Seal: sealed", *_limit_field(state)]
    message = _response(request, 200, body, fields)
    if isinstance(action, bytes):
        message = action
    elif action == "cut":
        writer.write(message[:-3])
        return False
    elif action == "garbage":
        message = b"\x00\x01 no answer\r\n\r\n"
    elif action == "wrong_id":
        message = message.replace(b"Request-Id: ", b"Request-Id: other-")
    elif action == "duplicate":
        message += message
    elif action == "fail":
        message = _response(request, 500, b"failed", fields)
    writer.write(message)
    return True
