"""Callers that send requests before the first answer, and a server that times them."""

import asyncio
import contextlib

from flamingolift_decisions import backends
from flamingolift_model.routing import Route, WeightedService
from test_unanswered_requests import read_answer
from troubledserver import FAILED, add_entry, run_site, stop_server

__all__ = [
    "BOOKING",
    "WorkServer",
    "pipeline_site",
    "read_answers",
    "request",
    "start_work_server",
    "wait_until",
]

BOOKING = "/book/"
"""Prefix of the paths of a route whose requests may run once at most."""
WAIT_S = 5.0
"""Longest wait for what has no bound of its own (s)."""


class WorkServer:
    """Backend server that runs requests side by side, and answers with their names.

    Attributes:
        work_s: Map of request id to the time of its work (s).
        default_work_s: Time of the work of the others (s).
        answers: Map of request id to the body of its answer; an id by default.
        refused: Set of the ids that it refuses as not run.
        cut: Set of the ids whose answer breaks off in the middle.
        stalled: Set of the ids whose answer stands still in the middle.
        started: List of the ids whose work has started.
        course: List of (request id, "start" or "end"), in the order of time.
        finished: List of the ids of which the work was done.
        cancelled: List of the ids whose connection was closed during the work.
        peak: Largest number of requests that it ran side by side.
        bodies: Map of request id to the body of the request.
        server: asyncio server.
        tasks: Set of the tasks that serve a connection.
    """

    __slots__ = (
        "answers",
        "bodies",
        "cancelled",
        "course",
        "cut",
        "default_work_s",
        "finished",
        "peak",
        "refused",
        "server",
        "stalled",
        "started",
        "tasks",
        "work_s",
    )

    def __init__(self):
        self.work_s = {}
        self.default_work_s = 0.0
        self.answers = {}
        self.refused = set()
        self.cut = set()
        self.stalled = set()
        self.started = []
        self.course = []
        self.finished = []
        self.cancelled = []
        self.bodies = {}
        self.peak = 0
        self.server = None
        self.tasks = set()


async def _serve(server, reader, writer):
    server.tasks.add(asyncio.current_task())
    try:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await _serve_one(server, reader, writer)
    finally:
        server.tasks.discard(asyncio.current_task())
        writer.transport.abort()


async def _serve_one(server, reader, writer):
    raw = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = raw.split("\r\n")[1:-2]
    fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    request_id = fields["request-id"]
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    server.bodies[request_id] = body
    server.started.append(request_id)
    server.course.append((request_id, "start"))
    over = len(server.finished) + len(server.cancelled)
    server.peak = max(server.peak, len(server.started) - over)
    work_s = server.work_s.get(request_id, server.default_work_s)
    left = asyncio.ensure_future(reader.read(1))
    done, _pending = await asyncio.wait({left}, timeout=work_s)
    server.course.append((request_id, "end"))
    if done:
        server.cancelled.append(request_id)
        raise ConnectionResetError
    left.cancel()
    await asyncio.wait({left})
    server.finished.append(request_id)
    if request_id in server.refused:
        writer.write(
            f"HTTP/1.1 503 X\r\nRequest-Id: {request_id}\r\nRequest-Not-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return
    answer = server.answers.get(request_id, request_id.encode())
    writer.write(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        f"Content-Length: {len(answer)}\r\n\r\n".encode()
    )
    if request_id in server.stalled:
        writer.write(answer[: len(answer) // 2])
        await reader.read(1)
        raise ConnectionResetError
    if request_id in server.cut:
        writer.write(answer[: len(answer) // 2])
        await writer.drain()
        raise ConnectionResetError
    writer.write(answer)
    await writer.drain()


async def start_work_server(site):
    """Starts a server of the routes of a site's front."""
    server = WorkServer()
    server.server = await asyncio.start_server(
        lambda reader, writer: _serve(server, reader, writer), "127.0.0.1", 0
    )
    port = server.server.sockets[0].getsockname()[1]
    add_entry(site.front, "work", port, site.front.cfg.region, slots=1000)
    return server


@contextlib.asynccontextmanager
async def pipeline_site(timeout_s=20.0):
    """Runs a front with a route of safe requests and one of bookings.

    Yields:
        Tuple of the Site, and the WorkServer of both routes.
    """
    async with run_site(lambda _request_id: (), with_sound=False) as site:
        backends.remove_entry(site.front.view.backends, FAILED)
        table = site.front.view.table
        for route in table.routes.values():
            route.timeout_ms = timeout_s * 1000.0
        table.routes["h", BOOKING] = Route(
            name="book",
            host="h",
            prefix=BOOKING,
            services=[WeightedService(service="maps", weight=1.0)],
            idempotent=False,
            timeout_ms=timeout_s * 1000.0,
            max_attempts=3,
        )
        server = await start_work_server(site)
        try:
            yield site, server
        finally:
            await stop_server(server)


def request(number, path="/a", body=b"", fields="", method=None, deadline_ms=9000):
    """Returns the bytes of a request with the id `q<number>`."""
    method = method or ("POST" if path.startswith(BOOKING) else "GET")
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: q{number}\r\n"
        f"Request-Deadline-Ms: {deadline_ms}\r\n{length}{fields}\r\n".encode()
        + body
    )


async def read_answers(caller, count):
    """Returns the statuses and bodies of the next answers."""
    return [await read_answer(caller) for _ in range(count)]


async def wait_until(condition, timeout_s=WAIT_S):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)
