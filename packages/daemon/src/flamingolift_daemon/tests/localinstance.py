"""An instance in the test's event loop, with its listener for callers."""

import asyncio
import contextlib

from flamingolift_daemon import dispatching, wiring
from flamingolift_daemon.callerapi import make_caller_app
from flamingolift_daemon.httpserver import make_server
from flamingolift_daemon.instance import refresh_view, start_task
from flamingolift_decisions.policyrules import compile_policy
from flamingolift_model.plan import BackendEntry, LiveList
from flamingolift_model.policy import Policy, Region, Service, Shift
from flamingolift_model.settings import Settings

HOST = "127.0.0.1"
REGION = "accra"
DOMAIN = "accra-central"
LONG_S = 30.0
"""Time that no test waits for (s)."""
WAIT_S = 5.0
"""Longest wait for what has to come at once (s)."""


def make_policy(services, number=1):
    """Returns the CompiledPolicy with services of (name, traffic class)."""
    regions = [Region(name=REGION, failure_domains=[DOMAIN])]
    listed = [
        Service(
            name=name,
            traffic_class=kind,
            queue_ms=30_000,
            deadline_ms=30_000,
            lookup_ttl_s=0.1,
        )
        for name, kind in services
    ]
    policy = Policy(fleet="rail", shift=Shift(), regions=regions, services=listed)
    return compile_policy(policy, number, [])


def make_settings(**options):
    """Returns the Settings of an instance without store, peers and statsd."""
    values = {
        "instance_id": "accra-1",
        "region": REGION,
        "failure_domain": DOMAIN,
        "host": HOST,
        "caller_port": 1,
        "operator_port": 2,
        "peer_port": 3,
        "store_url": f"http://{HOST}:1",
        "peer_keys": "k:" + "11" * 32,
        "ticket_keys": "k:" + "22" * 32,
        "operator_keys": "k:" + "33" * 32,
        **options,
    }
    return Settings(**values)


def make_local_instance(services, ports, **options):
    """Returns an Instance with a policy, and backend servers at the ports."""
    instance = wiring.make_instance(make_settings(**options))
    instance.policy = make_policy(services)
    instance.live_list = LiveList(
        number=1,
        backend_servers=[
            BackendEntry(
                server_id=f"{name}-{port}",
                service=name,
                region=REGION,
                failure_domain=DOMAIN,
                host=HOST,
                port=port,
                slots=2,
            )
            for name, _kind in services
            for port in ports
        ],
    )
    refresh_view(instance)
    return instance


@contextlib.asynccontextmanager
async def run_local_instance(services, ports, **options):
    """Yields an Instance whose only task is that of its pools."""
    instance = make_local_instance(services, ports, **options)
    start_task(instance, dispatching.run_pools(instance))
    try:
        yield instance
    finally:
        await wiring.close_clients(instance.backends)
        await wiring._shut_down(instance)


@contextlib.asynccontextmanager
async def run_caller_listener(instance):
    """Yields the port of a running listener for callers."""
    server = make_server(make_caller_app(instance), HOST, 0, 32_768)
    serving = asyncio.ensure_future(server.serve())
    async with asyncio.timeout(WAIT_S):
        while not server.started:
            await asyncio.sleep(0.01)
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        server.should_exit = server.force_exit = True
        await serving


@contextlib.asynccontextmanager
async def run_backend(serve):
    """Runs a server that answers health probes itself; yields its port.

    Others are left to `serve`, a coroutine function of the reader and the writer.
    """

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith((b"GET /health ", b"GET /load ")):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0")
            else:
                await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def ask(port, target, method="GET", headers=(), body=b""):
    """Sends one request; returns the bytes until the connection ends."""
    reader, writer = await asyncio.open_connection(HOST, port)
    lines = [f"{method} {target} HTTP/1.1", "Host: a", "Connection: close", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    try:
        async with asyncio.timeout(WAIT_S):
            return await reader.read()
    finally:
        writer.close()
