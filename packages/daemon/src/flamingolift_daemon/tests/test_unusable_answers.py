"""Backend servers whose answers cannot be passed on as they are."""

import asyncio
import json

import pytest
from localinstance import (
    WAIT_S,
    ask,
    run_backend,
    run_caller_listener,
    run_local_instance,
)

SERVICES = [("maps", "lookup"), ("packs", "download"), ("seats", "booking")]
BODY = b"Content-Length: 4\r\n\r\nbody"
UNUSABLE = {
    "status out of range": b"HTTP/1.1 600 Odd\r\n" + BODY,
    "large status": b"HTTP/1.1 999 Odd\r\n" + BODY,
    "switching protocols": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "empty reason": b"HTTP/1.1 700\r\n" + BODY,
}
VALUES = [
    b"caf\xe9",
    "caf\u00e9".encode(),
    "\u20ac".encode(),
    b"\xff\xfe",
    b"a\tb",
    b"\x01\x7f",
]


def answer_with(answer):
    async def serve(reader, writer):
        writer.write(answer)
        await writer.drain()
        await reader.read()

    return serve


async def request(instance, port, service):
    """Sends one request to a service; returns the answer's head and body."""
    if service != "seats":
        answer = await ask(port, f"/s/{service}/x")
    else:
        found = await ask(port, "/v1/lookup?service=seats&client=127.0.0.1")
        key = json.loads(found.partition(b"\r\n\r\n")[2])["idempotency_key"]
        headers = [f"Idempotency-Key: {key}"]
        answer = await ask(port, f"/s/{service}/x", "POST", headers, b"seat")
    async with asyncio.timeout(WAIT_S):
        while instance.in_flight or any(p.grants for p in instance.pools.values()):
            await asyncio.sleep(0.01)
    head, _, body = answer.partition(b"\r\n\r\n")
    return head, body


# Guards against answers that the listener cannot encode, so that the caller's
# connection ends without any.
@pytest.mark.parametrize("service", ["maps", "packs", "seats"])
@pytest.mark.parametrize("name", UNUSABLE)
async def test_unusable_answer_ends_as_a_problem_that_may_have_run(name, service):
    async with (
        run_backend(answer_with(UNUSABLE[name])) as backend,
        run_local_instance(SERVICES, [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        head, body = await request(instance, port, service)
    assert head.startswith(b"HTTP/1.1 50"), head
    assert json.loads(body)["outcome"] == "unknown"


# Guards against header values that are decoded by one rule and encoded by another.
@pytest.mark.parametrize("service", ["maps", "packs", "seats"])
@pytest.mark.parametrize("value", VALUES)
async def test_header_values_are_passed_on_byte_for_byte(value, service):
    answer = b"HTTP/1.1 200 OK\r\nX-Odd: " + value + b"\r\n" + BODY
    async with (
        run_backend(answer_with(answer)) as backend,
        run_local_instance(SERVICES, [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        head, body = await request(instance, port, service)
    assert body == b"body"
    assert b"\r\nx-odd: " + value + b"\r\n" in head
