"""Requests in progress when a planned stop runs out of time."""

import asyncio
import contextlib
import json
import socket

import pytest
from flamingolift_daemon import bookinghome, wiring
from flamingolift_daemon.slots import acquire_slot
from flamingolift_model import ResultCode
from flamingolift_standins.ports import free_ports
from localinstance import (
    HOST,
    LONG_S,
    REGION,
    WAIT_S,
    ask,
    make_local_instance,
    run_backend,
)

SERVICES = [("maps", "lookup"), ("packs", "download"), ("seats", "booking")]
GRACE_S = 0.3
EXIT_S = WAIT_S + 5.0
"""Longest time from the stop to the end of the instance (s)."""


BIG_BODY = bytes(240_000)
"""Body of an answer, larger than the buffers of a caller that reads slowly."""
BUFFER_BYTES = 4096
"""Size of the kernel's buffers at both ends of a slow caller's connection (bytes)."""
READ_PAUSE_S = 0.01
"""Pause of a slow caller between two reads (s)."""


async def never_answer(reader, _writer):
    await reader.read()


async def answer_big(reader, writer):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BIG_BODY)}\r\n\r\n"
    writer.write(head.encode() + BIG_BODY)
    await reader.read()


@contextlib.asynccontextmanager
async def run_whole_instance(monkeypatch, backend, grace_s=GRACE_S):
    """Yields an Instance with all its tasks, its port, and the task that it runs in."""
    ports = free_ports(3)
    names = ("caller_port", "operator_port", "peer_port")
    options = {"drain_grace_s": grace_s, **dict(zip(names, ports, strict=True))}
    instance = make_local_instance(SERVICES, [backend], **options)
    monkeypatch.setattr(wiring, "make_instance", lambda _cfg: instance)
    running = asyncio.ensure_future(wiring.run_instance(instance.cfg))
    async with asyncio.timeout(WAIT_S):
        while True:
            with contextlib.suppress(OSError):
                await ask(ports[0], "/healthz")
                break
            await asyncio.sleep(0.01)
    try:
        yield instance, ports[0], running
    finally:
        instance.stopping.set()
        async with asyncio.timeout(EXIT_S):
            await running


async def fill_pool(instance, service):
    """Takes all slots of a service, so that requests wait for one."""
    while True:
        acquired = await acquire_slot(
            instance,
            service,
            REGION,
            tenant="t",
            fingerprint="",
            wait_s=0.0,
            hold_s=LONG_S,
        )
        if acquired.is_error():
            return
        instance.pools[service, REGION].recovering_until = 0.0


async def issue_key(port):
    found = await ask(port, "/v1/lookup?service=seats&client=127.0.0.1")
    return json.loads(found.partition(b"\r\n\r\n")[2])["idempotency_key"]


async def start_request(instance, port, service):
    """Sends a request and returns the task that receives its answer."""
    if service == "seats":
        key = await issue_key(port)
        headers = [f"Idempotency-Key: {key}"]
        asking = ask(port, f"/s/{service}/x", "POST", headers, b"seat")
    else:
        asking = ask(port, f"/s/{service}/x")
    task = asyncio.ensure_future(asking)
    await wait_until(lambda: instance.in_flight)
    return task


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def problem_of(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])


# Guards against requests in a queue that get no answer when the process ends.
@pytest.mark.parametrize("service", ["maps", "packs", "seats"])
async def test_request_that_waits_for_a_slot_is_refused_as_not_run(
    monkeypatch, service
):
    async with run_backend(never_answer) as backend:
        async with run_whole_instance(monkeypatch, backend) as (
            instance,
            port,
            running,
        ):
            await fill_pool(instance, service)
            asking = await start_request(instance, port, service)
            queue = instance.pools[service, REGION].queue
            await wait_until(lambda: queue.size)
            instance.stopping.set()
            await running
        problem = problem_of(await asking)
        assert problem["code"] == ResultCode.DRAINING, problem
        assert problem["outcome"] == "not-run"


@pytest.mark.parametrize("service", ["maps", "packs", "seats"])
async def test_request_on_a_server_ends_with_an_unknown_outcome(monkeypatch, service):
    received = asyncio.Event()

    async def receive(reader, writer):
        received.set()
        await never_answer(reader, writer)

    async with run_backend(receive) as backend:
        async with run_whole_instance(monkeypatch, backend) as (
            instance,
            port,
            running,
        ):
            asking = await start_request(instance, port, service)
            async with asyncio.timeout(WAIT_S):
                await received.wait()
            instance.stopping.set()
            await running
        assert problem_of(await asking)["outcome"] == "unknown"


# Guards against bookings that wait for another instance when the process ends.
@pytest.mark.parametrize("name", ["_forward_to_home", "run_at_home"])
async def test_booking_that_waits_for_its_home_ends_with_an_unknown_outcome(
    monkeypatch, name
):
    async def wait(*_args):
        await asyncio.sleep(LONG_S)

    monkeypatch.setattr(bookinghome, name, wait)
    async with run_backend(never_answer) as backend:
        async with run_whole_instance(monkeypatch, backend) as (
            instance,
            port,
            running,
        ):
            if name == "_forward_to_home":
                monkeypatch.setattr(bookinghome, "run_at_home", wait)
            asking = await start_request(instance, port, "seats")
            instance.stopping.set()
            await running
        problem = problem_of(await asking)
        assert problem["code"] == ResultCode.OUTCOME_UNKNOWN


# Guards against requests that are sent on a connection which the stop then closes.
@pytest.mark.parametrize("target", ["/s/maps/x", "/s/packs/x", "/v1/lookup"])
async def test_connection_closes_after_an_answer_during_a_stop(monkeypatch, target):
    async with (
        run_backend(answer_big) as backend,
        run_whole_instance(monkeypatch, backend, WAIT_S) as (instance, port, _running),
    ):
        reader, writer = await asyncio.open_connection(HOST, port)
        await fetch(reader, writer, target)
        instance.stopping.set()
        head = await fetch(reader, writer, target)
        assert b"connection: close" in head.lower()
        async with asyncio.timeout(WAIT_S):
            await reader.read()
        writer.close()


async def fetch(reader, writer, target):
    """Sends one request on an open connection; returns the answer's head."""
    writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    async with asyncio.timeout(WAIT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
    return head


# Guards against the end of an answer that is lost with the process.
async def test_instance_ends_after_the_last_bytes_of_its_answers(monkeypatch):
    servers = []
    make_server = wiring.make_server

    def make_and_keep(*args):
        servers.append(make_server(*args))
        return servers[-1]

    monkeypatch.setattr(wiring, "make_server", make_and_keep)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    async with (
        run_backend(answer_big) as backend,
        run_whole_instance(monkeypatch, backend, WAIT_S) as (instance, port, running),
    ):
        listener = servers[0].servers[0].sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        key = await issue_key(port)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=BUFFER_BYTES)
        head = f"POST /s/seats/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {key}\r\n"
        writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        answer = await reader.readexactly(BUFFER_BYTES)
        instance.stopping.set()
        running.add_done_callback(
            # The process ends here, and what it has not sent is lost.
            lambda _running: [c.transport.abort() for c in connections(servers[0])]
        )
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(BUFFER_BYTES):
                answer += piece
                await asyncio.sleep(READ_PAUSE_S)
        body = answer.partition(b"\r\n\r\n")[2]
        assert len(body) == len(BIG_BODY)
        writer.close()


def connections(server):
    return list(server.server_state.connections)
