"""Faults of instances and backend servers, and on the network between them."""

import asyncio
import json
import signal
import time

import aiohttp
import pytest
from flamingolift_daemon.dispatching import RECOVERY_S
from flamingolift_standins.faultproxy import start_proxy
from flamingolift_standins.fleet import (
    operator_get,
    start_instance,
    wait_ready,
    wait_until,
)
from flamingolift_standins.fleetcontrol import (
    backend_reports,
    publish_live,
    reset_backends,
    set_backend,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

POISON_SENDS = 12
MAX_POISON_CRASHES = 6
"""A request is quarantined after two crashes. Each send may reach two servers before
that, and concurrent sends may be under way when it is quarantined."""
DETECTION_TIMEOUT_S = 8.0
"""Time within which a dead or suspended instance must be noticed (s)."""
DUPLICATE_AFTER_S = 0.005
"""Delay after which the connection is idle or has its next request (s)."""


def instance_named(fleet, name):
    return fleet.instances[name]


async def fetch(fleet, inst, path, timeout_s=10.0, headers=None):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    url = inst.url + path
    async with fleet.session.get(url, timeout=timeout, headers=headers) as resp:
        return resp.status, resp.headers.get("Result-Code", "0"), await resp.read()


async def insert_proxy(fleet, server_id):
    """Puts a fault proxy in front of a backend server."""
    entry = next(e for e in fleet.backends if e["server_id"] == server_id)
    proxy = await start_proxy("127.0.0.1", entry["port"])
    entry["port"] = proxy.port
    await publish_live(fleet)
    await asyncio.sleep(1.5)
    return proxy, entry


async def remove_proxy(fleet, proxy, entry):
    entry["port"] = proxy.target[1]
    await publish_live(fleet)
    proxy.cut()
    proxy.server.close()
    await asyncio.sleep(1.0)


async def test_open_connections_that_go_silent_cost_one_timeout(fleet):
    """All open connections to one server stop passing traffic; new ones work."""
    inst = instance_named(fleet, "accra-central-1")
    proxy, entry = await insert_proxy(fleet, "timetable-1")

    async def uses_proxy():
        await asyncio.gather(
            *(fetch(fleet, inst, "/s/timetable/warm") for _ in range(60))
        )
        return proxy.connections

    await wait_until(uses_proxy, DETECTION_TIMEOUT_S, "connections by the proxy")
    proxy.freeze_open_connections()
    frozen = len(proxy.frozen)
    started = time.monotonic()
    results = []
    for _ in range(60):
        results.append(await fetch(fleet, inst, "/s/timetable/after"))
    elapsed = time.monotonic() - started
    print(f"{frozen} frozen connections; 60 requests in {elapsed:.2f} s")
    assert frozen > 0
    assert all(status == 200 for status, _, _ in results)
    # One request waits for half of its deadline of 3 s; the others do not wait.
    assert elapsed < 1.5 + 60 * 0.08
    await remove_proxy(fleet, proxy, entry)


async def test_truncated_response_is_never_passed_on_as_complete(fleet):
    inst = instance_named(fleet, "accra-central-1")
    proxies = []
    for entry in fleet.backends:
        if entry["service"] == "timetable" and entry["region"] == "greater-accra":
            proxies.append(await insert_proxy(fleet, entry["server_id"]))
    for proxy, _ in proxies:
        proxy.truncate_after = 1200
    seen_cut = 0
    for _ in range(20):
        try:
            status, _, body = await fetch(fleet, inst, "/s/timetable/cut")
            assert status != 200 or len(body) == 2048
        except aiohttp.ClientPayloadError:
            seen_cut += 1
    assert seen_cut > 0
    for proxy, entry in proxies:
        await remove_proxy(fleet, proxy, entry)


@pytest.mark.parametrize("echoes", [True, False])
async def test_duplicated_responses_do_not_answer_another_request(fleet, echoes):
    """Duplicate bytes on a reused connection must not answer the next request."""
    inst = instance_named(fleet, "accra-central-1")
    await set_backend(fleet, "timetable-1", echoes=echoes)
    proxy, entry = await insert_proxy(fleet, "timetable-1")
    proxy.duplicate_after_s = DUPLICATE_AFTER_S

    async def ask(number):
        path = f"/s/timetable/own?caller={number}"
        try:
            status, _, body = await fetch(fleet, inst, path)
        except aiohttp.ClientError:
            return
        if status == 200:
            assert json.loads(body)["target"] == f"/own?caller={number}"

    for first in range(0, 200, 20):
        await asyncio.gather(*(ask(first + i) for i in range(20)))
    await remove_proxy(fleet, proxy, entry)


async def test_poison_request_is_quarantined_and_other_requests_are_served(fleet):
    await reset_backends(fleet)
    before = await backend_reports(fleet)
    crashes = sum(r["crashes"] for r in before["servers"].values())
    stop = asyncio.Event()
    failed = []

    async def send_regular(number):
        names = sorted(fleet.instances)
        while not stop.is_set():
            number += 1
            inst = instance_named(fleet, names[number % len(names)])
            status, code, _ = await fetch(fleet, inst, f"/s/timetable/good?n={number}")
            if status != 200:
                failed.append(code)
            await asyncio.sleep(0.02)

    regular_senders = [asyncio.ensure_future(send_regular(i * 1000)) for i in range(6)]
    await asyncio.sleep(0.5)
    codes = []
    for send in range(POISON_SENDS):
        names = sorted(fleet.instances)
        inst = instance_named(fleet, names[send % len(names)])
        _, code, _ = await fetch(fleet, inst, "/s/timetable/poison?x=1")
        codes.append(code)
        await asyncio.sleep(0.3)
    stop.set()
    await asyncio.gather(*regular_senders)
    after = await backend_reports(fleet)
    crashed = sum(r["crashes"] for r in after["servers"].values()) - crashes
    print(
        "poison codes:",
        codes,
        "crashes:",
        crashed,
        "failures of other requests:",
        failed,
    )
    assert codes[-1] == "2006"
    assert crashed <= MAX_POISON_CRASHES
    assert "2006" not in failed
    assert failed == []


async def test_server_that_underreports_its_load_is_not_overloaded(fleet):
    await reset_backends(fleet)
    await set_backend(fleet, "timetable-1", reported_load=0, slow=20.0)
    inst = instance_named(fleet, "accra-central-1")
    # A new dispatcher grants only half of its slots for a time.
    await fetch(fleet, inst, "/s/timetable/first")
    await asyncio.sleep(RECOVERY_S)
    results = await asyncio.gather(
        *(
            fetch(fleet, inst, "/s/timetable/busy", headers={"Tenant": f"club-{i % 5}"})
            for i in range(60)
        )
    )
    report = (await backend_reports(fleet))["servers"]
    await set_backend(fleet, "timetable-1", reported_load=None, slow=1.0)
    refused = [code for status, code, _ in results if status != 200]
    print("refused:", refused, "peaks:", {n: r["peak"] for n, r in report.items()})
    assert all(row["peak"] <= row["slots"] for row in report.values())
    assert sum(row["shed"] for row in report.values()) == 0
    assert refused == []


async def test_killed_instance_is_excluded_from_lookups(fleet):
    inst = instance_named(fleet, "obuasi-line-1")
    inst.process.kill()
    await inst.process.wait()
    other = instance_named(fleet, "accra-central-1")

    async def is_excluded():
        page = await operator_get(fleet, other, "/v1/status")
        return inst.name not in page["serving"]

    started = time.monotonic()
    await wait_until(
        is_excluded, DETECTION_TIMEOUT_S, "the dead instance to be excluded"
    )
    print(f"left out after {time.monotonic() - started:.2f} s")
    await start_instance(fleet, inst)
    await wait_ready(fleet)

    async def is_back():
        page = await operator_get(fleet, other, "/v1/status")
        return inst.name in page["serving"]

    await wait_until(is_back, DETECTION_TIMEOUT_S, "the replaced instance to be back")


async def test_suspended_instance_is_excluded_until_it_resumes(fleet):
    """The suspension is longer than the planner's lease and the heartbeat timeout."""
    inst = instance_named(fleet, "takoradi-port-1")
    other = instance_named(fleet, "accra-central-1")
    inst.process.send_signal(signal.SIGSTOP)

    async def serving():
        page = await operator_get(fleet, other, "/v1/status")
        return inst.name in page["serving"]

    async def is_excluded():
        return not await serving()

    try:
        await wait_until(
            is_excluded,
            DETECTION_TIMEOUT_S + 2.0,
            "the suspended instance to be excluded",
        )
        status, _, _ = await fetch(fleet, other, "/s/timetable/during")
        assert status == 200
    finally:
        inst.process.send_signal(signal.SIGCONT)
    await wait_until(serving, DETECTION_TIMEOUT_S, "the resumed instance to be back")


async def test_lost_region_is_served_by_the_others(fleet):
    """Both instances of a region die; its callers go to regions with headroom."""
    lost = ["kumasi-yard-1", "obuasi-line-1"]
    for name in lost:
        instance_named(fleet, name).process.kill()
        await instance_named(fleet, name).process.wait()
    other = instance_named(fleet, "accra-central-1")

    async def evacuated():
        url = f"{other.url}/v1/lookup?service=timetable&client=10.12.7.9"
        async with fleet.session.get(url) as resp:
            found = await resp.json()
            return found.get("instance") not in (None, *lost) and found

    found = await wait_until(evacuated, DETECTION_TIMEOUT_S, "evacuation")
    assert found["site"] not in ("kumasi-yard", "obuasi-line")
    status, _, _ = await fetch(fleet, other, "/s/timetable/elsewhere")
    assert status == 200
    for name in lost:
        await start_instance(fleet, instance_named(fleet, name))
    await wait_ready(fleet)
