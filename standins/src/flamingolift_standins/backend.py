"""Stand-in for backend servers: one process hosts many, each on its own port."""

import asyncio
import hashlib
import json
import random

import click
from aiohttp import web

__all__ = ["main", "make_backend_app"]

FILE_BLOCK = bytes(range(256)) * 256
LOOKUP_BODY_BYTES = 2_048
RESTART_S = 1.0
"""Time for which a crashed server is unavailable (s)."""


class ServerState:
    """One backend server.

    Attributes:
        server_id: Name.
        slots: Highest number of requests that it runs concurrently.
        time_ms: Mean processing time of a request (ms).
        busy: Requests running.
        state: "up", "draining" or "crashed".
        slow: Factor by which processing times are multiplied.
        echoes: Whether it returns the Exchange-Id header of a request.
        reported_load: Load it reports instead of its own, or None.
        started: Times (loop clock, s) at which requests were started.
        peak: Highest number of concurrent requests.
        shed: Requests refused because all slots were busy.
        crashes: Number of crashes.
        cancelled: Requests whose connection was closed while they ran.
        transports: Transports of the connections whose requests run.
        delays: Map of the second octet of a caller's address to the round-trip
            time from there (s).
        rng: Random generator for the processing times.
    """

    __slots__ = (
        "busy",
        "cancelled",
        "crashes",
        "delays",
        "echoes",
        "peak",
        "reported_load",
        "rng",
        "server_id",
        "shed",
        "slots",
        "slow",
        "started",
        "state",
        "time_ms",
        "transports",
    )

    def __init__(self, server_id, slots, time_ms, delays):
        self.delays = delays
        self.server_id = server_id
        self.slots = slots
        self.time_ms = time_ms
        self.busy = 0
        self.state = "up"
        self.slow = 1.0
        self.echoes = True
        self.reported_load = None
        self.started = []
        self.peak = 0
        self.shed = 0
        self.crashes = 0
        self.cancelled = 0
        self.transports = set()
        self.rng = random.Random(server_id)


class BookingCounts:
    """Bookings that ran on the servers of the process.

    Attributes:
        bookings: Map of booking name to the number of its executions.
    """

    __slots__ = ("bookings",)

    def __init__(self):
        self.bookings = {}


def crash(server):
    """Aborts the running requests of a server, which restarts after `RESTART_S`."""
    server.crashes += 1
    server.state = "crashed"
    for transport in list(server.transports):
        transport.abort()

    def restart():
        server.state = "up"

    asyncio.get_running_loop().call_later(RESTART_S, restart)


def shed(server):
    """Returns the refusal of a request for which no slot is free."""
    server.shed += 1
    headers = {"Request-Outcome": "not-run", "Retry-After": "1"}
    return web.Response(status=503, headers=headers, text="all slots are busy")


def file_etag(name, size):
    """Returns the strong entity tag of a file."""
    return '"' + hashlib.sha256(f"{name}/{size}".encode()).hexdigest()[:16] + '"'


def file_bytes(first, last):
    """Returns the bytes of a file from `first` to `last`, both inclusive."""
    start = first % len(FILE_BLOCK)
    return (FILE_BLOCK[start:] + FILE_BLOCK)[: last - first + 1]


def parse_range(text, size):
    """Returns (first, last) of a Range header, or None if it cannot be satisfied."""
    if not text or not text.startswith("bytes=") or "," in text:
        return None
    first, _, last = text.removeprefix("bytes=").partition("-")
    if not first.isdigit():
        return None
    end = int(last) if last.isdigit() else size - 1
    return (int(first), min(end, size - 1)) if int(first) < size else None


def make_backend_app(server, counts):
    """Returns the aiohttp application of one backend server."""

    async def health(request):
        if server.state == "crashed":
            request.transport.abort()
            return web.Response(status=503)
        status = 200 if server.state == "up" else 503
        text = "ok" if server.state == "up" else "draining"
        return web.Response(status=status, text=text)

    async def load(request):
        reported = server.reported_load
        return web.Response(text=str(server.busy if reported is None else reported))

    async def run(request):
        if server.state == "crashed":
            request.transport.abort()
            return web.Response(status=503)
        await asyncio.sleep(server.delays.get(request.remote.split(".")[1], 0.0))
        if server.busy >= server.slots:
            return shed(server)
        server.busy += 1
        server.peak = max(server.peak, server.busy)
        server.started.append(asyncio.get_running_loop().time())
        server.transports.add(request.transport)
        try:
            return await answer(request)
        except (asyncio.CancelledError, ConnectionResetError):
            server.cancelled += 1
            raise
        finally:
            server.busy -= 1
            server.transports.discard(request.transport)

    async def answer(request):
        path = request.path
        if path.startswith("/poison"):
            await asyncio.sleep(0.05)
            crash(server)
            return web.Response(status=500)
        if path.startswith("/file/"):
            return await send_file(request)
        body = await request.read()
        time_s = server.time_ms / 1000.0 * server.slow * server.rng.uniform(0.8, 1.2)
        await asyncio.sleep(float(request.query.get("sleep_ms", time_s * 1000)) / 1000)
        if request.method in ("POST", "PUT"):
            return run_booking(request, body)
        details = {"server": server.server_id, "target": request.raw_path}
        if path.startswith("/echo"):
            details["headers"] = dict(request.headers)
        text = json.dumps(details)
        headers = {"ETag": '"1"', "X-Server": server.server_id}
        return web.Response(text=text.ljust(LOOKUP_BODY_BYTES), headers=headers)

    def run_booking(request, body):
        name = body.decode(errors="replace")[:200]
        counts.bookings[name] = counts.bookings.get(name, 0) + 1
        receipt = {
            "booking": name,
            "server": server.server_id,
            "receipt": hashlib.sha256(
                f"{name}{counts.bookings[name]}".encode()
            ).hexdigest(),
        }
        return web.json_response(receipt, status=201)

    async def send_file(request):
        size = int(request.path.rpartition("/")[2])
        name = request.path.rpartition("/")[0]
        etag = file_etag(name, size)
        byte_range = parse_range(request.headers.get("Range"), size)
        if request.headers.get("If-Range", etag) != etag:
            byte_range = None
        first, last = byte_range or (0, size - 1)
        headers = {"ETag": etag, "Content-Length": str(last - first + 1)}
        if byte_range:
            headers["Content-Range"] = f"bytes {first}-{last}/{size}"
        resp = web.StreamResponse(status=206 if byte_range else 200, headers=headers)
        await resp.prepare(request)
        cut_after = int(request.query.get("cut_after", size + 1))
        position = first
        while position <= last:
            if not byte_range and position - first >= cut_after:
                request.transport.abort()
                return resp
            end = min(last, position + len(FILE_BLOCK) - 1)
            await resp.write(file_bytes(position, end))
            position = end + 1
        await resp.write_eof()
        return resp

    async def echo_exchange_id(request, resp):
        exchange_id = request.headers.get("Exchange-Id")
        if server.echoes and exchange_id:
            resp.headers["Exchange-Id"] = exchange_id

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.on_response_prepare.append(echo_exchange_id)
    app.router.add_get("/health", health)
    app.router.add_get("/load", load)
    app.router.add_route("*", "/{path:.*}", run)
    return app


def make_admin_app(servers, counts):
    """Returns the admin application, by which tests control the servers."""

    async def set_server(request):
        server = servers[request.match_info["server_id"]]
        for name, value in (await request.json()).items():
            setattr(server, name, value)
        return web.Response()

    async def report(request):
        rows = {
            s.server_id: {
                "busy": s.busy,
                "peak": s.peak,
                "slots": s.slots,
                "shed": s.shed,
                "crashes": s.crashes,
                "cancelled": s.cancelled,
                "runs": len(s.started),
                "last_start": s.started[-1] if s.started else 0.0,
            }
            for s in servers.values()
        }
        now = asyncio.get_running_loop().time()
        return web.json_response(
            {
                "servers": rows,
                "bookings": counts.bookings,
                "now": now,
            }
        )

    async def reset(request):
        for server in servers.values():
            server.started.clear()
            server.peak = server.shed = 0
        return web.Response()

    app = web.Application()
    app.router.add_put("/server/{server_id}", set_server)
    app.router.add_get("/report", report)
    app.router.add_put("/reset", reset)
    return app


async def serve(specs, host, admin_port):
    """Serves all backend servers until cancelled."""
    counts = BookingCounts()
    servers = {}
    runners = []
    for spec in specs:
        server = ServerState(
            spec["server_id"], spec["slots"], spec["time_ms"], spec.get("delays", {})
        )
        servers[server.server_id] = server
        runners.append((make_backend_app(server, counts), spec["port"]))
    runners.append((make_admin_app(servers, counts), admin_port))
    for app, port in runners:
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.5
        )
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
    await asyncio.Event().wait()


@click.command()
@click.option("--host", default="127.0.0.1", help="IP address to listen on.")
@click.option(
    "--admin-port", type=int, required=True, help="TCP port of the admin interface."
)
@click.option("--specs", required=True, help="JSON list of the servers to host.")
def main(host, admin_port, specs):
    """Runs the backend stand-in."""
    try:
        asyncio.run(serve(json.loads(specs), host, admin_port))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
