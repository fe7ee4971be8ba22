"""At-most-once bookings while instances crash, callers resend and the store is down."""

import asyncio
import collections
import random

import aiohttp
import pytest
from flamingolift_model import RESULT_CODE_INFO
from flamingolift_standins.fleet import start_instance, wait_ready
from flamingolift_standins.fleetcontrol import (
    backend_reports,
    publish_live,
    set_store_faults,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

STORM_KEYS = 2_000
STORM_PARALLEL = 60
SEED = 20261204
FINAL_NOT_RUN = {"2007"}
"""Result codes that promise that the booking will never run."""
NOT_RUN = {
    str(code.value) for code, facts in RESULT_CODE_INFO.items() if facts.ran == "no"
}
"""Result codes that say that the booking did not run."""
RESEND_DELAY_S = 0.05


async def new_key(fleet, inst):
    url = f"{inst.url}/v1/lookup?service=seat-booking&client=10.11.0.1"
    async with fleet.session.get(url) as resp:
        found = await resp.json()
        return found.get("idempotency_key"), found.get("instance")


async def send(fleet, inst, key, body, timeout_s=12.0):
    """Sends a booking; returns (status, result code, body, whether it was replayed)."""
    url = f"{inst.url}/s/seat-booking/bookings"
    headers = {"Idempotency-Key": key}
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with fleet.session.post(
            url, data=body.encode(), headers=headers, timeout=timeout
        ) as resp:
            code = resp.headers.get("Result-Code", "0")
            replayed = "Idempotency-Replayed" in resp.headers
            return resp.status, code, await resp.read(), replayed
    except (TimeoutError, aiohttp.ClientError, OSError):
        return 0, "lost", b"", False


async def test_resend_to_every_instance_runs_once(fleet):
    instances = list(fleet.instances.values())
    key, _ = await new_key(fleet, instances[0])
    answers = await asyncio.gather(*(send(fleet, i, key, "once") for i in instances))
    assert {(status, body) for status, _, body, _ in answers} == {(201, answers[0][2])}
    again = await send(fleet, instances[3], key, "once")
    assert again == (201, "0", answers[0][2], True)
    assert (await backend_reports(fleet))["bookings"]["once"] == 1


async def test_key_for_another_request_is_refused(fleet):
    inst = next(iter(fleet.instances.values()))
    key, _ = await new_key(fleet, inst)
    assert (await send(fleet, inst, key, "first"))[0] == 201
    assert (await send(fleet, inst, key, "second"))[:2] == (422, "1005")
    assert "second" not in (await backend_reports(fleet))["bookings"]


async def test_missing_and_forged_keys_are_refused(fleet):
    inst = next(iter(fleet.instances.values()))
    assert (await send(fleet, inst, "", "forged"))[:2] == (428, "1003")
    key, _ = await new_key(fleet, inst)
    forged = ("A" if key[0] != "A" else "B") + key[1:]
    for bad in (forged, "x", "=" * 40, key + "A", "A" * 600):
        assert (await send(fleet, inst, bad, "forged"))[1] == "1004"
    assert "forged" not in (await backend_reports(fleet))["bookings"]


async def test_store_outage_does_not_stop_bookings(fleet):
    await set_store_faults(fleet, mode="down")
    try:
        inst = next(iter(fleet.instances.values()))
        key, _ = await new_key(fleet, inst)
        assert (await send(fleet, inst, key, "in outage"))[0] == 201
    finally:
        await set_store_faults(fleet, mode="up")


async def test_unsent_key_of_a_crashed_home_instance_is_not_run(fleet):
    instances = list(fleet.instances.values())
    key, home_name = await new_key(fleet, instances[0])
    home = fleet.instances[home_name]
    home.process.kill()
    await home.process.wait()
    other = next(i for i in instances if i is not home)
    status, code, _, _ = await send(fleet, other, key, "never sent")
    assert (status, code) == (503, "2007")
    await start_instance(fleet, home)
    await wait_ready(fleet)
    assert (await send(fleet, home, key, "never sent"))[1] == "2007"
    assert "never sent" not in (await backend_reports(fleet))["bookings"]


async def test_response_survives_the_crash_of_its_home_instance(fleet):
    instances = list(fleet.instances.values())
    key, home_name = await new_key(fleet, instances[0])
    home = fleet.instances[home_name]
    first = await send(fleet, home, key, "kept")
    assert first[0] == 201
    home.process.kill()
    await home.process.wait()
    other = next(i for i in instances if i is not home)
    again = await send(fleet, other, key, "kept")
    assert again == (201, "0", first[2], True)
    assert (await backend_reports(fleet))["bookings"]["kept"] == 1
    await start_instance(fleet, home)
    await wait_ready(fleet)


class Storm:
    """Responses to the callers of many concurrent bookings.

    Attributes:
        answers: Map of booking to its list of (status, result code, body).
        rng: Random generator with the fixed seed.
    """

    __slots__ = ("answers", "rng")

    def __init__(self):
        self.answers = collections.defaultdict(list)
        self.rng = random.Random(SEED)


async def storm_caller(fleet, storm, gate, number, sends, chosen):
    """Makes one booking by sending its key to several instances in turn."""
    async with gate:
        body = f"storm-{number}"
        key = None
        for inst in chosen:
            try:
                key, _ = await new_key(fleet, inst)
            except (aiohttp.ClientError, OSError):
                continue
            if key:
                break
        if not key:
            return

        async def send_after(inst, delay_s):
            await asyncio.sleep(delay_s)
            storm.answers[body].append((await send(fleet, inst, key, body))[:3])

        delays = [i * RESEND_DELAY_S for i in range(sends)]
        await asyncio.gather(
            *(send_after(i, d) for i, d in zip(chosen, delays, strict=False))
        )


async def storm_faults(fleet, storm):
    """Kills and restarts three instances; the store is down from the second on."""
    names = sorted(fleet.instances)
    storm.rng.shuffle(names)
    await asyncio.sleep(2.0)
    for position, name in enumerate(names[:3]):
        inst = fleet.instances[name]
        inst.process.kill()
        await inst.process.wait()
        if position == 1:
            await set_store_faults(fleet, mode="down")
        await asyncio.sleep(1.5)
        await start_instance(fleet, inst)
        await asyncio.sleep(1.5)
    await set_store_faults(fleet, mode="up")


async def test_storm_runs_no_key_twice(fleet):
    storm = Storm()
    gate = asyncio.Semaphore(STORM_PARALLEL)
    instances = list(fleet.instances.values())
    callers = []
    for number in range(STORM_KEYS):
        sends = storm.rng.randint(2, 4)
        chosen = storm.rng.sample(instances, 4)
        callers.append(storm_caller(fleet, storm, gate, number, sends, chosen))
    faults = asyncio.ensure_future(storm_faults(fleet, storm))
    await asyncio.gather(*callers)
    await faults
    runs = (await backend_reports(fleet))["bookings"]
    codes = collections.Counter(
        code for answers in storm.answers.values() for _, code, _ in answers
    )
    print("storm codes:", dict(codes))
    twice = [b for b, count in runs.items() if count > 1]
    assert not twice
    for body, answers in storm.answers.items():
        received_codes = {code for _, code, _ in answers}
        receipts = {receipt for status, _, receipt in answers if status == 201}
        assert len(receipts) <= 1, body
        if received_codes <= NOT_RUN:
            assert body not in runs, (body, answers)
        if received_codes & FINAL_NOT_RUN:
            assert body not in runs, (body, answers)
        if "0" in received_codes:
            assert runs.get(body) == 1, (body, answers)
    booked = sum(
        any(status == 201 for status, _, _ in answers)
        for answers in storm.answers.values()
    )
    print("booked:", booked, "of", len(storm.answers))
    assert booked > STORM_KEYS // 2


async def test_empty_live_list_does_not_empty_the_fleet(fleet):
    await wait_ready(fleet)
    await publish_live(fleet, without=set(fleet.instances))
    await asyncio.sleep(1.0)
    inst = next(iter(fleet.instances.values()))
    key, _ = await new_key(fleet, inst)
    assert (await send(fleet, inst, key, "list emptied"))[0] == 201
    await publish_live(fleet)
