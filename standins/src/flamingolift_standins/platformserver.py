"""Stand-in for a backend server of the managed platform.

It runs in the event loop of a test. A script maps the number of a request to the
fault to inject, such as a reset connection, a missing response or a rejection.
"""

import asyncio
import contextlib
import time

__all__ = ["PlatformServer", "ServedRequest", "start_server", "stop_server"]

STREAMED_BYTES = 3 << 20
"""Size of a long response, which a front passes on before its end (bytes)."""


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
        crash_path: Start of the paths whose requests end the server after `work_s`;
            empty for none.
        crash_bytes: Bytes of a long response that it sends before such an end.
        ended_at: Time at which a request ended it (s, monotonic); None while it runs.
        limit: Value of Server-Limit in its answers; None names no limit.
        leaving: Whether all its answers say Server-Leaving.
        retry_after: Value of Retry-After in its rejections; None for none.
        requests: List of ServedRequest in the order of arrival.
        script: Map of the number of a request, from 1, to a fault: "reject" (503,
            not run), "busy" (503, possibly run), "reset", "cut" (response without
            its end), "duplicate" (response sent twice), "stream" (long response),
            "wrong_id" (another Request-Id), "garbage" (no HTTP), "silent" (no
            response), "fail" (500), the bytes to send as the response, or a
            function of the ServedRequest that returns an iterable of bytes, which
            may have no end.
        make_body: Function of the ServedRequest that returns the body of a response
            of status 200 (bytes); None for the default.
        refuses: Function of a caller's TCP port that returns whether connections from
            it are reset, as on a path that is cut; None refuses none.
        connections: Set of the writers of open connections.
        server: asyncio server.
    """

    __slots__ = (
        "connections",
        "crash_bytes",
        "crash_path",
        "ended_at",
        "leaving",
        "limit",
        "make_body",
        "port",
        "refuses",
        "requests",
        "retry_after",
        "script",
        "server",
        "server_id",
        "work_s",
    )

    def __init__(self, server_id, work_s):
        self.server_id = server_id
        self.work_s = work_s
        self.crash_path = ""
        self.crash_bytes = 0
        self.ended_at = None
        self.limit = None
        self.leaving = False
        self.retry_after = None
        self.requests = []
        self.script = {}
        self.make_body = None
        self.refuses = None
        self.connections = set()
        self.server = None
        self.port = 0


async def start_server(server_id, work_s=0.01):
    """Returns a running PlatformServer on a free port."""
    state = PlatformServer(server_id, work_s)

    async def serve(reader, writer):
        port = writer.get_extra_info("peername")[1]
        if state.refuses is not None and state.refuses(port):
            writer.transport.abort()
            return
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


def _crash(state):
    """Ends a server as the end of its process does."""
    if state.ended_at is None:
        state.ended_at = time.monotonic()
        state.server.close()
    for writer in list(state.connections):
        writer.transport.abort()


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
    if state.crash_path and line.split()[1].startswith(state.crash_path):
        request.ended = "crashed"
        if state.crash_bytes:
            message = _response(request, 200, bytes(STREAMED_BYTES))
            writer.write(message[: state.crash_bytes])
            await writer.drain()
        await asyncio.sleep(state.work_s)
        _crash(state)
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


def _state_fields(state):
    """Returns the header fields of all answers that tell the server's state."""
    fields = [] if state.limit is None else [f"Server-Limit: {state.limit}"]
    return [*fields, "Server-Leaving: 1"] if state.leaving else fields


def _rejection_fields(state):
    fields = _state_fields(state)
    if state.retry_after is not None:
        fields.append(f"Retry-After: {state.retry_after}")
    return fields


def _reject(state, writer, request, status):
    request.ended = "rejected"
    fields = ["Not-Executed: 1", *_rejection_fields(state)]
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
    if state.make_body is not None:
        body = state.make_body(request)
    fields = ["Server-Seal: sealed", *_state_fields(state)]
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
    elif action == "stream":
        message = _response(request, 200, bytes(STREAMED_BYTES), fields)
    elif action == "busy":
        message = _response(request, 503, b"busy", _rejection_fields(state))
    elif action == "fail":
        message = _response(request, 500, b"failed", fields)
    writer.write(message)
    return True
