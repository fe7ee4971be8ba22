"""Measures how fast drains and configuration changes take effect."""

import asyncio
import time

from flamingolift_standins.commands import run_command
from flamingolift_standins.fleet import operator_get, start_instance, wait_until
from flamingolift_standins.fleetcontrol import (
    backend_reports,
    publish_live,
    set_backend,
    set_store_faults,
)

from bench.load import make_system_sender, run_load
from bench.scenarios import SETTLED_S, apply_until_in_force

__all__ = ["measure_configuration", "measure_drains"]


async def measure_drains(fleet, deployment, seconds):
    """Measures drains under load: time to the last new request and to no request.

    Returns:
        Map of drain to its times (s) and the requests lost.
    """
    service = deployment.lookup
    server = next(e for e in fleet.backends if e["service"] == service)
    region = list(deployment.regions)[1]
    domain = deployment.regions[region][0]

    async def command(*args):
        status, output = await run_command(fleet, *args)
        if status != 0:
            raise RuntimeError(output)

    def servers_where(field, value):
        return [
            e["server_id"]
            for e in fleet.backends
            if e["service"] == service and e[field] == value
        ]

    name = server["server_id"]
    cases = {
        "backend server, by the operator": (
            lambda: command("drain", "server", name),
            lambda: command("undrain", "server", name),
            [name],
        ),
        "backend server, by its health endpoint": (
            lambda: set_backend(fleet, name, state="draining"),
            lambda: set_backend(fleet, name, state="up"),
            [name],
        ),
        "failure domain, by the operator": (
            lambda: command("drain", "domain", domain),
            lambda: command("undrain", "domain", domain),
            servers_where("failure_domain", domain),
        ),
        "region, by the operator": (
            lambda: command("drain", "region", region),
            lambda: command("undrain", "region", region),
            servers_where("region", region),
        ),
    }
    found = {}
    for case, (begin, end, servers) in cases.items():
        found[case] = await _measure_drain(fleet, deployment, seconds, begin, servers)
        await end()
        await asyncio.sleep(SETTLED_S)
    return found


async def _measure_drain(fleet, deployment, seconds, begin, servers):
    """Starts a drain under load and waits until the servers run no request."""
    service = deployment.lookup
    sender = make_system_sender(fleet, deployment, service)
    rate = 0.4 * deployment.slots(service) / deployment.time_s(service)
    running = asyncio.ensure_future(run_load(sender, rate, seconds, 7))
    await asyncio.sleep(seconds * 0.25)
    before = time.monotonic()
    await begin()
    begun = time.monotonic()

    async def is_empty():
        report = (await backend_reports(fleet))["servers"]
        return all(report[name]["busy"] == 0 for name in servers)

    result = await running
    await wait_until(is_empty, 10.0, "drained servers without requests")
    report = (await backend_reports(fleet))["servers"]
    now = time.monotonic()
    last = now - min(report[name]["age_s"] for name in servers)
    await sender.close()
    time_s = deployment.time_s(service) * 1.2
    return {
        "command_s": round(begun - before, 3),
        "last_request_s": round(max(0.0, last - before), 3),
        "empty_s": round(max(0.0, last - before) + time_s, 3),
        "lost": result.failed + sum(result.refused.values()),
        "served": result.ok,
    }


async def measure_configuration(fleet, deployment, changes):
    """Measures the time until a configuration change is in force on all instances.

    Returns:
        Map of case to the list of times (s).
    """

    async def apply_once(index):
        text = deployment.policy + f"\n# change {index}\n"
        started = time.monotonic()
        await apply_until_in_force(fleet, text)
        return time.monotonic() - started

    store_up = [round(await apply_once(i), 3) for i in range(changes)]
    await set_store_faults(fleet, mode="slow", delay_s=0.3)
    slow = [round(await apply_once(100 + i), 3) for i in range(max(1, changes // 2))]
    await set_store_faults(fleet, mode="up", delay_s=0.0)
    replaced = await _replace_in_outage(fleet)
    return {
        "apply until in force on 20 (whole command)": store_up,
        "the same with the store 0.3 s slow": slow,
        "replaced instance, store down: start until in force": [replaced],
    }


async def _replace_in_outage(fleet):
    """Replaces an instance while the store is down.

    Returns:
        Time from its start until it has the newest policy (s).
    """
    inst = list(fleet.instances.values())[3]
    page = await operator_get(fleet, inst, "/v1/status")
    newest = page["versions"]["policy"]
    await set_store_faults(fleet, mode="down")
    try:
        inst.process.kill()
        await inst.process.wait()
        started = time.monotonic()
        await start_instance(fleet, inst)

        async def has_newest():
            page = await operator_get(fleet, inst, "/v1/status")
            return page["versions"].get("policy") == newest

        await wait_until(has_newest, 20.0, "the newest policy")
        return round(time.monotonic() - started, 3)
    finally:
        await set_store_faults(fleet, mode="up")
        await publish_live(fleet)
