"""Starts fronts as real processes against the platform's stand-ins."""

import asyncio
import os
import random
import string
import sys

from flamingolift_standins.eventlog import read_event_log
from flamingolift_standins.platformserver import start_server, stop_server
from flamingolift_standins.platformstore import put_item, start_store, stop_store
from flamingolift_standins.ports import free_ports

RETRY_WINDOW_S = 1.0
"""Window of the retry budget in `SETTINGS` (s); the fixed part of the budget is
available from one window after a front's start."""
UNLIMITED_MB = 0
"""Memory limit in the settings of a front that has none."""
ANSWER_PREFIX = b"answer of "
HOST = "shop.example"
SETTINGS = """
[self]
node_name = "{name}"
ip = "127.0.0.1"
zone = "north"
region = "upland"
[self.limits]
max_fds = 512
link_mbps = 25
memory_mb = {memory_mb}
[network]
internal_ports = [{handover}, {metrics}]
seeds = []
[network.listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[network.zones]
north = "upland"
south = "lowland"
[platform.platform]
address = "127.0.0.1:{store}"
[terms.bounds]
grace = "3s"
retry_budget_ratio = 0.2
budget_window = "1s"
retry_budget_extra = 100
stable_window = "3s"
"""
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "service"]
ROUTE_COLUMNS += ["max_attempts", "sticky", "home_regions", "weighted_services"]
ROUTES = [
    ["r-read", HOST, "/read/", "safe", "1500ms", "reads", 3, True, [], None],
    ["r-book", HOST, "/book/", "unsafe", "1500ms", "books", 2, True, [], None],
    ["r-map", HOST, "/map/", "download", "1500ms", "reads", 3, True, [], None],
]


class PlatformFleet:
    """A store, backend servers and the fronts in front of them.

    Attributes:
        folder: Folder of settings and log files.
        store: PlatformStore.
        servers: Map of server id to PlatformServer.
        fronts: List of FrontProcess.
    """

    __slots__ = ("folder", "fronts", "servers", "store")

    def __init__(self, folder, store):
        self.folder = folder
        self.store = store
        self.servers = {}
        self.fronts = []


class FrontProcess:
    """A front in a process of its own.

    Attributes:
        name: Instance name.
        ports: Map of "front", "ready", "control", "directory", "metrics" and
            "handover" to TCP ports.
        process: Process.
        log_path: Path of its log file.
        settings_path: Path of its settings file.
    """

    __slots__ = ("log_path", "name", "ports", "process", "settings_path")

    def __init__(self, name, ports, process, log_path, settings_path):
        self.name = name
        self.ports = ports
        self.process = process
        self.log_path = log_path
        self.settings_path = settings_path


def make_routes(count, seed=1):
    """Returns rows of routes with names, hosts and prefixes that do not compress."""
    rng = random.Random(seed)
    alphabet = string.ascii_lowercase + string.digits

    def word(length):
        return "".join(rng.choices(alphabet, k=length))

    hosts = [f"{word(6)}.example" for _ in range(30)]
    tail = ["safe", "1500ms", "reads", 2, True, [], None]
    return [
        [f"r-{word(7)}", rng.choice(hosts), f"/{word(7)}/", *tail] for _ in range(count)
    ]


def late_route(number):
    """Returns the row of a route that is added after others."""
    tail = ["safe", "900ms", "reads", 1, True, [], None]
    return [f"r-late{number}", HOST, f"/late{number}/", *tail]


def put_policy(store, version, routes=ROUTES, columns=ROUTE_COLUMNS):
    """Writes a configuration, with its routes as a table, to the store."""
    names = sorted({row[5] for row in routes if row[5]})
    config = {
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": routes},
        "services": {
            "columns": ["name", "health_path", "cold_period", "cold_per_s"],
            "rows": [[name, "/health", "3s", 4.0] for name in names],
        },
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10000,
            "header_timeout": "1000ms",
            "idle_timeout": "5s",
        },
    }
    put_item(store, "op/config", config)


def put_server(
    fleet, server, service, *, zone="north", state="ready", born=1, sequence=1
):
    """Writes the entry of a backend server to the store."""
    entry = {
        "address": f"127.0.0.1:{server.port}",
        "info": {"service": service, "version": "v1", "zone": zone, "slots": 3},
        "status": {"state": state, "seq": sequence, "cold_left": "0ms"},
        "born": born,
    }
    put_item(fleet.store, f"servers/{server.server_id}", entry)


async def add_server(fleet, server_id, service, **options):
    """Starts and registers a backend server."""
    server = await start_server(server_id, options.pop("work_s", 0.01))
    fleet.servers[server_id] = server
    put_server(fleet, server, service, **options)
    return server


async def start_front(
    fleet, name, store_port=None, search_path=None, memory_mb=UNLIMITED_MB
):
    """Starts a front and returns it; it need not be ready yet.

    Args:
        fleet: PlatformFleet.
        name: Instance name.
        store_port: Port of the store, or of a proxy before it.
        search_path: Module search path of another build; None for this one.
        memory_mb: Memory limit in its settings (MB).
    """
    store_port = store_port or fleet.store.port
    names = ("front", "ready", "control", "directory", "metrics", "handover")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    settings_path = fleet.folder / f"{name}.toml"
    settings = SETTINGS.format(
        name=name, store=store_port, memory_mb=memory_mb, **ports
    )
    settings_path.write_text(settings)
    log_path = fleet.folder / f"{name}.log"
    env = {**os.environ, "FLAMINGOLIFT_NODE_FILE": str(settings_path)}
    if search_path is not None:
        env["PYTHONPATH"] = search_path
    with log_path.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flamingolift_platform",
            env=env,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
        )
    front = FrontProcess(name, ports, process, log_path, settings_path)
    fleet.fronts.append(front)
    return front


def read_log(front):
    """Returns the events that a front logged, as maps."""
    return read_event_log(front.log_path)


async def wait_until(condition, timeout_s=10.0):
    """Polls a function or coroutine function until it returns a true value.

    Returns:
        The true value.

    Raises:
        TimeoutError: The function returned no true value in time.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.02)


async def is_ready(front):
    """Returns whether the readiness check of a front succeeds."""
    try:
        answer = await call(front.ports["ready"], "GET", "/api/ready")
    except OSError:
        return False
    return answer.status == 200


class Reply:
    """A response, parsed from the bytes of its connection.

    Attributes:
        raw: All bytes received.
        status: Status code, 0 if nothing was received.
        headers: Map of lower-case name to value.
        body: Body (bytes).
    """

    __slots__ = ("body", "headers", "raw", "status")

    def __init__(self, raw):
        head, _, body = raw.partition(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").split("\r\n")
        pairs = (field.partition(":") for field in fields)
        self.raw = raw
        self.status = int(line.split()[1]) if line else 0
        self.headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
        self.body = body


async def call(port, method, path, *, rid="q1", headers=(), body=b"", host=HOST):
    """Sends a request on a new connection; returns the Reply once that closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
    if rid:
        lines.append(f"Request-Id: {rid}")
    lines += headers
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    try:
        async with asyncio.timeout(10.0):
            raw = await reader.read()
    finally:
        writer.close()
    return Reply(raw)


async def make_platform(folder, *, policy=True):
    """Returns a fleet with a running store, and no servers or fronts yet."""
    fleet = PlatformFleet(folder, await start_store())
    if policy:
        put_policy(fleet.store, 1)
    return fleet


async def stop_platform(fleet):
    """Stops the fronts, the backend servers and the store of a fleet."""
    for front in fleet.fronts:
        if front.process.returncode is None:
            front.process.kill()
        await front.process.wait()
    for server in fleet.servers.values():
        await stop_server(server)
    await stop_store(fleet.store)


async def send(front, method, path, **options):
    """Sends a caller's request to a front; returns the Reply."""
    return await call(front.ports["front"], method, path, **options)


async def add_known_server(platform, front, server_id, service):
    """Adds a backend server and waits until a front has logged it."""
    await add_server(platform, server_id, service)
    await wait_until(
        lambda: any(e["server"] == server_id for e in events(front, "server_changed"))
    )


def received_requests(platform, server_id):
    """Returns the requests that a backend server received, in order."""
    return platform.servers[server_id].requests


def events(front, name):
    """Returns the events of one name that a front logged."""
    return read_event_log(front.log_path, name)


def store_is_lost(front):
    """Returns whether a front has logged that it lost the store, and not regained."""
    return len(events(front, "store_lost")) > len(events(front, "store_regained"))


async def lists_both(addresses, front, other, contains):
    """Returns whether a lookup's response contains two fronts."""
    body = await addresses()
    return contains(front, body) and contains(other, body)


def has_policy(front, version):
    """Returns whether a front has logged a policy version as in force."""
    return any(e["policy"] == version for e in events(front, "policy_in_force"))
