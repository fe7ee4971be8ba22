"""Fronts in this process that reach the same servers by paths that can be cut."""

import asyncio
import contextlib
import gc
import os

from flamingolift_decisions import backends, routetable
from flamingolift_front import bytestream, pathwatch, run
from flamingolift_front.eventlog import EventLog, flush_log
from flamingolift_front.frontmetrics import FrontMetrics
from flamingolift_front.registration import own_entry
from flamingolift_front.state import Front
from flamingolift_model.frontsettings import FrontSettings
from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import (
    Route,
    RoutingPolicy,
    ServiceSpec,
    WeightedService,
)
from flamingolift_platform.settings import HEADER_NAMES
from flamingolift_standins.eventlog import read_event_log
from flamingolift_standins.faultproxy import start_proxy
from flamingolift_standins.platformserver import start_server, stop_server
from flamingolift_standins.ports import free_ports

HOST = "shop.example"
REFUSE, HANG = "refuse", "hang"
WAIT_S = 5.0
"""Longest wait for what has no bound of its own (s)."""
SERVICES = {"reads": 4, "books": 3, "rows": 1}
"""Number of servers of each service."""


class CutInstance:
    """A front with its own paths to the servers.

    Attributes:
        front: Front.
        paths: Map of server id to the FaultProxy in front of it.
        listeners: List of asyncio servers.
        task: Task that watches the paths.
        log_path: Path of its log.
    """

    __slots__ = ("front", "listeners", "log_path", "paths", "task")


class CutSite:
    """Servers, and fronts that reach them.

    Attributes:
        servers: Map of server id to PlatformServer.
        instances: List of CutInstance.
        cut: Map of the port of a path to REFUSE or HANG.
    """

    __slots__ = ("cut", "instances", "servers")

    def __init__(self):
        self.servers = {}
        self.instances = []
        self.cut = {}


def make_route(name, service, idempotent=True, **options):
    return Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        services=[WeightedService(service=service, weight=1.0)],
        idempotent=idempotent,
        timeout_ms=2000.0,
        max_attempts=3,
        **options,
    )


ROUTES = [
    make_route("read", "reads"),
    make_route("book", "books", idempotent=False),
    make_route("row", "rows"),
    make_route("home", "reads", home_regions=["upland"]),
    make_route("away", "reads", home_regions=["lowland"]),
]


def cut_paths(site, instance, mode, service=""):
    """Cuts an instance off from the servers of a service, or from all servers."""
    for server_id, proxy in instance.paths.items():
        if server_id.startswith(service):
            site.cut[proxy.port] = mode


def heal_paths(site, instance):
    for proxy in instance.paths.values():
        site.cut.pop(proxy.port, None)


def _patch_connect(monkeypatch, site):
    connect = bytestream.connect

    async def connect_unless_cut(host, port, timeout_s, **options):
        mode = site.cut.get(port)
        if mode == REFUSE:
            raise ConnectionRefusedError
        if mode == HANG:
            async with asyncio.timeout(timeout_s):
                await asyncio.Event().wait()
        return await connect(host, port, timeout_s, **options)

    monkeypatch.setattr(bytestream, "connect", connect_unless_cut)


async def _start_instance(site, folder, number, region):
    instance = CutInstance()
    name, ports = f"front-{number}", free_ports(5)
    cfg = FrontSettings(
        instance_id=name,
        region=region,
        failure_domain=f"{region}-{number % 2}",
        host="127.0.0.1",
        caller_port=ports[0],
        ready_port=ports[1],
        lookup_port=ports[2],
        peer_port=ports[3],
        handover_port=ports[4],
        domain_regions={},
        retry_extra=100,
    )
    instance.log_path = folder / f"{name}.log"
    fd = os.open(instance.log_path, os.O_WRONLY | os.O_CREAT)
    log = EventLog(fd, name)
    instance.front = front = Front(cfg, HEADER_NAMES, None, log, FrontMetrics())
    # The fixed part of the retry budget is available some time after the start.
    front.started_at -= 100.0
    services = [ServiceSpec(name=name) for name in SERVICES]
    policy = RoutingPolicy(number=1, routes=ROUTES, services=services)
    front.view.table = routetable.build_route_table(policy)
    instance.paths = {}
    for server_id, server in site.servers.items():
        proxy = instance.paths[server_id] = await start_proxy("127.0.0.1", server.port)
        entry = BackendEntry(
            server_id=server_id,
            service=server_id.partition("-")[0],
            region="upland",
            failure_domain="d0",
            host="127.0.0.1",
            port=proxy.port,
            slots=32,
        )
        backends.apply_entry(front.view.backends, entry, 0.0)
    instance.listeners = await run._listen(front, None, None)
    instance.task = asyncio.ensure_future(pathwatch.watch_paths(front))
    return instance


async def _stop_instance(instance):
    front = instance.front
    for listener in instance.listeners:
        listener.close()
    tasks = [conn.task for conn in front.connections]
    tasks += [instance.task, *front.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for proxy in instance.paths.values():
        proxy.server.close()
        for _number, *writers in proxy.connections:
            for writer in writers:
                writer.transport.abort()
    os.close(front.log.fd)


@contextlib.asynccontextmanager
async def run_cut_site(monkeypatch, folder, regions=("upland", "upland")):
    """Runs fronts, one for each of the regions, in front of the same servers."""
    site = CutSite()
    _patch_connect(monkeypatch, site)
    for service, count in SERVICES.items():
        for number in range(count):
            server_id = f"{service}-{number}"
            site.servers[server_id] = await start_server(server_id)
    for number, region in enumerate(regions):
        instance = await _start_instance(site, folder, number, region)
        site.instances.append(instance)
    for instance in site.instances:
        view = instance.front.view
        for other in site.instances:
            entry = own_entry(other.front)
            view.instances[entry.instance_id] = entry
    try:
        yield site
    finally:
        for instance in site.instances:
            await _stop_instance(instance)
        for server in site.servers.values():
            await stop_server(server)
        # Writers that are collected after the event loop is closed raise in `__del__`,
        # which breaks a parse that is in progress.
        await asyncio.sleep(0)
        gc.collect()


async def wait_until(condition):
    """Polls a function until it returns a true value."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def served(site, service=""):
    """Returns the requests that the servers of a service received, or of all."""
    return [
        req
        for server_id, server in site.servers.items()
        if server_id.startswith(service)
        for req in server.requests
    ]


def events(instance, name):
    """Returns the events of one name that an instance logged."""
    flush_log(instance.front.log)
    return read_event_log(instance.log_path, name)


async def send(instance, method, path, *, number=1, deadline_ms=2000, body=b""):
    """Sends a request on a new connection; returns its status and all bytes."""
    reader, writer = await open_request(
        instance, method, path, number=number, deadline_ms=deadline_ms, body=body
    )
    try:
        async with asyncio.timeout(WAIT_S):
            data = await reader.read()
    finally:
        writer.transport.abort()
    return int(data.split()[1]), data


async def open_request(
    instance, method, path, *, number=1, deadline_ms=2000, body=b"", fields=()
):
    """Sends a request on a new connection, which it returns."""
    port = instance.front.cfg.caller_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: q{number}",
        f"Deadline-Ms: {deadline_ms}",
        "Connection: close",
        *fields,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return reader, writer
