"""Drains and graceful stops, which must fail no request."""

import asyncio
import signal
import time

import aiohttp
import pytest
from flamingolift_standins.commands import run_command
from flamingolift_standins.fleet import start_instance, wait_ready, wait_until
from flamingolift_standins.fleetcontrol import (
    backend_reports,
    policy_written_at,
    publish_live,
    set_backend,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

LAST_REQUEST_S = 3.0
"""Promised bound on the time from a drain to the last new request (s)."""


class TrafficResults:
    """Results of a steady stream of requests.

    Attributes:
        done: Number of complete responses.
        failures: List of (status, result code) of the others; of (0, error) if a
            connection failed.
    """

    __slots__ = ("done", "failures")

    def __init__(self):
        self.done = 0
        self.failures = []


async def run_traffic(fleet, stop, traffic, only=None, workers=12):
    """Sends requests for the timetable until `stop` is set."""

    async def work(number):
        names = sorted(only or fleet.instances)
        while not stop.is_set():
            inst = fleet.instances[names[number % len(names)]]
            number += 1
            url = f"{inst.url}/s/timetable/departures"
            try:
                async with fleet.session.get(url) as resp:
                    body = await resp.read()
                    if resp.status == 200 and len(body) == 2048:
                        traffic.done += 1
                    else:
                        code = resp.headers.get("Result-Code")
                        traffic.failures.append((resp.status, code))
            except aiohttp.ClientError as exc:
                traffic.failures.append((0, repr(exc)))
            await asyncio.sleep(0.005)

    await asyncio.gather(*(work(i) for i in range(workers)))


async def last_start_after(fleet, server_ids, drained_at, settle_s):
    """Returns the time from a drain to the last request that a server started (s).

    All processes read the same monotonic clock, so that no delay of a report counts.
    """
    await asyncio.sleep(max(0.0, drained_at + settle_s - time.monotonic()))
    report = await backend_reports(fleet)
    starts = [report["servers"][name]["last_start"] for name in server_ids]
    return max(0.0, max(starts) - drained_at)


async def drain_by_command(fleet, *target):
    """Drains by the command line; returns when the store took the drain (s, monotonic).

    The start of the command's process is no part of the drain.
    """
    status, output = await run_command(fleet, "drain", *target)
    assert status == 0, output
    return await policy_written_at(fleet)


async def drain_under_traffic(fleet, action, server_ids, settle_s=4.5):
    """Runs a drain under load; returns (time to the last start (s), TrafficResults).

    Args:
        fleet: Fleet.
        action: Coroutine function that drains; returns the time of the drain (s,
            monotonic).
        server_ids: Ids of the servers that are drained.
        settle_s: Time after the drain in which requests are looked for (s).
    """
    stop, traffic = asyncio.Event(), TrafficResults()
    running = asyncio.ensure_future(run_traffic(fleet, stop, traffic))
    await asyncio.sleep(1.5)
    asked_at = time.monotonic()
    drained_at = await action()
    print(f"drained {drained_at - asked_at:.2f} s after it was asked for")
    last_start_s = await last_start_after(fleet, server_ids, drained_at, settle_s)
    stop.set()
    await running
    print(f"last new request {last_start_s:.2f} s after the drain; {traffic.done} done")
    return last_start_s, traffic


async def test_operator_drains_a_backend_server(fleet):
    async def action():
        return await drain_by_command(fleet, "server", "timetable-1")

    last_start_s, traffic = await drain_under_traffic(fleet, action, ["timetable-1"])
    assert last_start_s <= LAST_REQUEST_S
    assert traffic.failures == []
    assert (await run_command(fleet, "undrain", "server", "timetable-1"))[0] == 0


async def test_health_check_alone_drains(fleet):
    async def action():
        drained_at = time.monotonic()
        await set_backend(fleet, "timetable-2", state="draining")
        return drained_at

    last_start_s, traffic = await drain_under_traffic(fleet, action, ["timetable-2"])
    assert last_start_s <= LAST_REQUEST_S
    assert traffic.failures == []
    await set_backend(fleet, "timetable-2", state="up")


async def test_live_list_alone_drains(fleet):
    entry = next(e for e in fleet.backends if e["server_id"] == "timetable-3")

    async def action():
        entry["state"] = "leaving"
        drained_at = time.monotonic()
        await publish_live(fleet)
        return drained_at

    last_start_s, traffic = await drain_under_traffic(fleet, action, ["timetable-3"])
    assert last_start_s <= LAST_REQUEST_S
    assert traffic.failures == []
    entry["state"] = "live"
    await publish_live(fleet)


@pytest.mark.parametrize(
    ("kind", "name"), [("domain", "accra-central"), ("region", "ashanti")]
)
async def test_operator_drains_a_place(fleet, kind, name):
    field = {"domain": "failure_domain", "region": "region"}[kind]
    servers = [
        e["server_id"]
        for e in fleet.backends
        if e[field] == name and e["service"] == "timetable"
    ]

    async def action():
        return await drain_by_command(fleet, kind, name)

    last_start_s, traffic = await drain_under_traffic(fleet, action, servers)
    assert last_start_s <= LAST_REQUEST_S
    assert traffic.failures == []
    assert (await run_command(fleet, "undrain", kind, name))[0] == 0


async def test_drained_instance_gets_no_lookups(fleet):
    name = "kumasi-yard-1"
    assert (await run_command(fleet, "drain", "instance", name))[0] == 0
    for client in range(40):
        inst = fleet.instances["accra-central-1"]
        url = f"{inst.url}/v1/lookup?service=timetable&client=10.12.{client}.1"
        async with fleet.session.get(url) as resp:
            assert (await resp.json())["instance"] != name
    assert (await run_command(fleet, "undrain", "instance", name))[0] == 0


async def test_unknown_target_is_refused(fleet):
    status, output = await run_command(fleet, "drain", "server", "nowhere")
    assert status == 40
    assert "4003" in output


async def test_graceful_stop_of_an_instance_fails_no_request(fleet):
    """Cached lookups are served until their TTL, and a slow request completes."""
    name = "takoradi-port-1"
    inst = fleet.instances[name]
    url = f"{inst.url}/s/timetable/slow?sleep_ms=2500"

    async def slow_request():
        async with fleet.session.get(url) as resp:
            return resp.status, len(await resp.read())

    slow = asyncio.ensure_future(slow_request())
    await asyncio.sleep(0.3)
    inst.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()

    async def is_avoided():
        other = fleet.instances["accra-central-1"]
        found = set()
        for client in range(20):
            lookup = f"{other.url}/v1/lookup?service=timetable&client=10.13.{client}.1"
            async with fleet.session.get(lookup) as resp:
                found.add((await resp.json())["instance"])
        return name not in found

    await wait_until(is_avoided, LAST_REQUEST_S, "lookups to avoid the instance")
    async with fleet.session.get(f"{inst.url}/s/timetable/cached") as resp:
        assert resp.status == 200
    assert await slow == (200, 2048)
    assert await asyncio.wait_for(inst.process.wait(), 15) == 0
    print(f"stopped after {time.monotonic() - stopped_at:.2f} s")
    await start_instance(fleet, inst)
    await wait_ready(fleet)


async def test_second_signal_stops_at_once_and_logs_the_cut_requests(fleet):
    inst = fleet.instances["tarkwa-depot-1"]
    url = f"{inst.url}/s/timetable/slow?sleep_ms=2900"
    slow = asyncio.ensure_future(fleet.session.get(url))
    await asyncio.sleep(0.3)
    inst.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    inst.process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(inst.process.wait(), 5) == 0
    try:
        cut = await slow
        assert cut.headers["Request-Outcome"] == "unknown"
    except aiohttp.ClientError:
        pass
    with open(inst.log_path, encoding="utf-8") as log:
        assert '"cut": 1' in log.read()
    await start_instance(fleet, inst)
    await wait_ready(fleet)
