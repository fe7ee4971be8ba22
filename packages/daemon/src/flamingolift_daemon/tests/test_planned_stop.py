"""Requests in progress when a planned stop runs out of time."""

import asyncio
import contextlib
import json

import pytest
from flamingolift_daemon import bookinghome, wiring
from flamingolift_daemon.slots import acquire_slot
from flamingolift_model import ResultCode
from flamingolift_standins.ports import free_ports
from localinstance import (
    LONG_S,
    REGION,
    WAIT_S,
    ask,
    make_local_instance,
    run_backend,
)

SERVICES = [("maps", "lookup"), ("packs", "download"), ("seats", "booking")]
GRACE_S = 0.3
EXIT_S = GRACE_S + 5.0
"""Longest time from the stop to the end of the instance (s)."""


async def never_answer(reader, _writer):
    await reader.read()


@contextlib.asynccontextmanager
async def run_whole_instance(monkeypatch, backend, **options):
    """Yields an Instance with all its tasks, its port, and the task that it runs in."""
    ports = free_ports(3)
    names = ("caller_port", "operator_port", "peer_port")
    options = {"drain_grace_s": GRACE_S, **dict(zip(names, ports, strict=True))}
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


async def start_request(instance, port, service):
    """Sends a request and returns the task that receives its answer."""
    if service == "seats":
        found = await ask(port, "/v1/lookup?service=seats&client=127.0.0.1")
        key = json.loads(found.partition(b"\r\n\r\n")[2])["idempotency_key"]
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
