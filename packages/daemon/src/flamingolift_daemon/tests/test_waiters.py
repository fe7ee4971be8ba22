"""Requests that wait for a slot while the policy changes."""

import asyncio

import pytest
from expression import Error
from flamingolift_daemon import forwarding
from flamingolift_daemon.slots import acquire_slot, release_slot
from flamingolift_model import Fault, ResultCode
from localinstance import (
    LONG_S,
    REGION,
    WAIT_S,
    ask,
    make_policy,
    run_caller_listener,
    run_local_instance,
)

SERVICES = [("maps", "download")]
SHORT_S = 0.1


def acquire(instance, wait_s):
    return acquire_slot(
        instance,
        "maps",
        REGION,
        tenant="t",
        fingerprint="",
        wait_s=wait_s,
        hold_s=LONG_S,
    )


async def fill_pool(instance):
    """Acquires slots until there is none left; returns them."""
    slots = []
    while (acquired := await acquire(instance, 0.0)).is_ok():
        slots.append(acquired.ok)
    return slots


# Guards against waiters of a service that the policy drops, which nobody answers.
@pytest.mark.parametrize("are_released", [True, False])
async def test_waiter_is_refused_after_the_policy_dropped_its_service(are_released):
    async with run_local_instance(SERVICES, [9]) as instance:
        slots = await fill_pool(instance)
        assert slots
        waiting = asyncio.ensure_future(acquire(instance, SHORT_S))
        await asyncio.sleep(0)
        if are_released:
            # No server has room when the slots are free again.
            pool = instance.pools["maps", REGION]
            for server in pool.servers.values():
                server.healthy = False
            for slot in slots:
                release_slot(instance, slot, "ok", 1.0)
        instance.policy = make_policy([("timetable", "lookup")], number=2)
        async with asyncio.timeout(WAIT_S):
            acquired = await waiting
        assert acquired.error.code is ResultCode.OVERLOADED


# Guards against dispatchers that hang one after the other beyond a request's deadline.
@pytest.mark.parametrize("own_hangs", [True, False])
async def test_request_is_refused_soon_after_its_deadline(monkeypatch, own_hangs):
    async def hang(_instance, _service, region, **options):
        if own_hangs or region != REGION:
            await asyncio.sleep(LONG_S)
        return Error(Fault(ResultCode.NO_BACKEND, "no backend server"))

    monkeypatch.setattr(forwarding, "acquire_slot", hang)
    monkeypatch.setattr(forwarding, "regions_to_try", lambda *_args: [REGION, "volta"])
    async with (
        run_local_instance(SERVICES, [9]) as instance,
        run_caller_listener(instance) as port,
    ):
        answer = await ask(port, "/s/maps/x", headers=["Request-Deadline-Ms: 300"])
        assert b"request-outcome: not-run" in answer
        assert not instance.in_flight
