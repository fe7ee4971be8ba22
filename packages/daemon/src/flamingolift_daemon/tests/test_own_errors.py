"""Exceptions in the instance's own code, beneath a caller's request."""

import asyncio
import json

import pytest
from flamingolift_daemon import bookinghome, callerapi, forwarding, slots
from localinstance import (
    WAIT_S,
    ask,
    run_backend,
    run_caller_listener,
    run_local_instance,
)

SERVICES = [("maps", "lookup"), ("packs", "download"), ("seats", "booking")]


async def answer(reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
    await reader.read()


def fail(*_args, **_options):
    raise KeyError("a fault of the program")


async def fail_later(*_args, **_options):
    await asyncio.sleep(0)
    fail()


async def issue_key(port):
    found = await ask(port, "/v1/lookup?service=seats&client=127.0.0.1")
    return json.loads(found.partition(b"\r\n\r\n")[2])["idempotency_key"]


def ask_booking(port, key):
    return ask(port, "/s/seats/x", "POST", [f"Idempotency-Key: {key}"], b"seat")


async def send(port, service, key=""):
    """Sends a request to a service; returns the problem document of the answer."""
    if service == "seats":
        received = await ask_booking(port, key)
    else:
        received = await ask(port, f"/s/{service}/x")
    return json.loads(received.partition(b"\r\n\r\n")[2])


async def wait_until_idle(instance):
    async with asyncio.timeout(WAIT_S):
        while instance.in_flight or any(p.grants for p in instance.pools.values()):
            await asyncio.sleep(0.01)


# Guards against errors that end a request without an answer.
@pytest.mark.parametrize(
    ("service", "module", "name", "fault"),
    [
        ("maps", callerapi, "rules_for", fail),
        ("packs", callerapi, "digest_request", fail),
        ("maps", forwarding, "regions_to_try", fail),
        ("packs", forwarding, "acquire_slot", fail_later),
        ("maps", slots, "choose_dispatcher", fail),
        ("packs", forwarding, "send_request", fail_later),
        ("maps", forwarding, "send_request", fail_later),
        ("seats", callerapi, "route_booking", fail_later),
        ("seats", bookinghome, "begin_booking", fail),
    ],
)
async def test_error_ends_as_a_problem_that_may_have_run(
    monkeypatch, service, module, name, fault
):
    async with (
        run_backend(answer) as backend,
        run_local_instance(SERVICES, [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        key = await issue_key(port)
        monkeypatch.setattr(module, name, fault)
        problem = await send(port, service, key)
        assert problem["outcome"] == "unknown"
        await wait_until_idle(instance)


# Guards against callers and resends that wait for a booking whose run has failed.
@pytest.mark.parametrize(
    ("name", "fault"),
    [
        ("rules_for", fail),
        ("acquire_in_any_region", fail_later),
        ("send_request", fail_later),
        ("_read_whole", fail_later),
        ("_report_completion", fail_later),
    ],
)
async def test_booking_whose_run_raises_is_answered_at_once(monkeypatch, name, fault):
    async with (
        run_backend(answer) as backend,
        run_local_instance(SERVICES, [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        key = await issue_key(port)
        monkeypatch.setattr(bookinghome, name, fault)
        for _resend in range(2):
            received = await ask_booking(port, key)
            if name == "_report_completion":
                assert received.endswith(b"body")
            else:
                problem = json.loads(received.partition(b"\r\n\r\n")[2])
                assert problem["outcome"] == "unknown"
        await wait_until_idle(instance)
