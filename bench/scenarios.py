"""Measurements under load, with the baselines in the same run."""

import asyncio
import contextlib
import pathlib
import time

import aiohttp
from flamingolift_standins.commands import apply_policy
from flamingolift_standins.fleet import (
    start_fleet,
    start_instance,
    start_instances,
    stop_fleet,
    wait_ready,
)
from flamingolift_standins.fleetcontrol import (
    backend_reports,
    reset_backends,
    set_backend,
)

from bench.deployments import INSTANCES
from bench.load import make_direct_sender, make_system_sender, run_load

__all__ = [
    "SETTLED_S",
    "apply_until_in_force",
    "measure_added_latency",
    "measure_disturbances",
    "measure_headroom",
    "running_fleet",
    "warm_up",
]

BASELINES = ("random", "round-robin", "least-known")
SHARES = (0.3, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95)
IDLE_SHARE = 0.1
P99_FACTOR = 2.0
DISTURBANCE_LOAD_SHARE = 0.5
BURST_FACTOR = 1.9
SETTLED_S = 4.0
FILE_BYTES = 100_000
IN_FORCE_TIMEOUT_S = 30.0


@contextlib.asynccontextmanager
async def running_fleet(deployment, folder, **options):
    """Runs a deployment's fleet with its policy in force."""
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    fleet = await start_fleet(
        deployment.regions,
        1,
        deployment.services,
        folder,
        options=options,
        instances=INSTANCES,
        network=deployment.network,
    )
    try:
        await start_instances(fleet)
        await apply_until_in_force(fleet, deployment.policy)
        await wait_ready(fleet)
        yield fleet
    finally:
        await stop_fleet(fleet)


async def apply_until_in_force(fleet, text):
    """Applies a policy text and waits until it is in force.

    Raises:
        RuntimeError: The command failed; the message has its output.
    """
    status, output = await apply_policy(
        fleet, text, "--wait-s", str(IN_FORCE_TIMEOUT_S)
    )
    if status != 0:
        raise RuntimeError(output)


def make_sender(fleet, deployment, service, policy):
    """Returns the Sender of the system or of a baseline."""
    if policy == "system":
        return make_system_sender(fleet, deployment, service)
    return make_direct_sender(fleet, deployment, service, policy)


async def shed_count(fleet, service):
    """Returns the requests that backend servers shed for want of a slot."""
    report = (await backend_reports(fleet))["servers"]
    names = [e["server_id"] for e in fleet.backends if e["service"] == service]
    return sum(report[name]["shed"] for name in names)


async def load_at(fleet, deployment, service, policy, share, seconds, seed, **options):
    """Runs load at a share of all slots; returns the plain result."""
    rate = share * deployment.slots(service) / deployment.time_s(service)
    sender = make_sender(fleet, deployment, service, policy)
    try:
        await reset_backends(fleet)
        result = await run_load(sender, rate, seconds, seed, **options)
        row = result.as_row()
        row["shed"] = await shed_count(fleet, service)
        return row
    finally:
        await sender.close()


async def warm_up(fleet, deployment, seconds):
    """Runs load until the plan has settled, which takes several shift windows."""
    await load_at(fleet, deployment, deployment.lookup, "system", 0.85, seconds, 99)


def is_within(row, bound_ms):
    """Returns whether no request was refused, failed or shed and p99 is in bounds."""
    clean = not (row["refused"] or row["failed"] or row["shed"])
    return clean and row["p99_ms"] <= bound_ms


async def measure_headroom(fleet, deployment, seconds, seeds, shares=SHARES):
    """Finds the highest load without refused, failed or shed requests.

    The p99 must also stay within twice that of an idle fleet.

    Returns:
        Map of policy to its idle row, its rows for each load and seed, and its
        headroom for each seed (share of all slots).
    """
    service = deployment.lookup
    found = {}
    for policy in ("system", *BASELINES):
        idle = await load_at(
            fleet, deployment, service, policy, IDLE_SHARE, seconds, seeds[0]
        )
        bound_ms = P99_FACTOR * idle["p99_ms"]
        rows, headroom = [], []
        for seed in seeds:
            best = 0.0
            for share in shares:
                row = await load_at(
                    fleet, deployment, service, policy, share, seconds, seed
                )
                rows.append({"share": share, "seed": seed, **row})
                if not is_within(row, bound_ms):
                    break
                best = share
            headroom.append(best)
        found[policy] = {"idle": idle, "rows": rows, "headroom": headroom}
    return found


async def measure_disturbances(fleet, deployment, seconds, seeds):
    """Measures look-ups under a burst, with a faulty server and without a region.

    The faulty server is slow; as the lying server it also reports that it is idle.

    Returns:
        Map of disturbance to a map of policy to its rows, one for each seed.
    """
    service = deployment.lookup
    faulty_server = next(
        e["server_id"] for e in fleet.backends if e["service"] == service
    )
    burst = {"bursts": [(seconds * 0.3, seconds * 0.5, BURST_FACTOR)]}
    disturbances = {
        "burst": (None, burst),
        "slow server": ({"slow": 8.0}, {}),
        "lying server": ({"slow": 8.0, "reported_load": 0}, {}),
    }
    found = {}
    for name, (fault, options) in disturbances.items():
        found[name] = {}
        if fault:
            await set_backend(fleet, faulty_server, **fault)
        for policy in ("system", *BASELINES):
            found[name][policy] = [
                await load_at(
                    fleet,
                    deployment,
                    service,
                    policy,
                    DISTURBANCE_LOAD_SHARE,
                    seconds,
                    seed,
                    **options,
                )
                for seed in seeds
            ]
        if fault:
            await set_backend(fleet, faulty_server, slow=1.0, reported_load=None)
            await asyncio.sleep(SETTLED_S)
    found["region lost"] = {
        "system": [await _lose_region(fleet, deployment, seconds, seeds[0])]
    }
    return found


async def _lose_region(fleet, deployment, seconds, seed):
    """Kills a region's instances and backend servers in the middle of a run."""
    service = deployment.lookup
    region = list(deployment.regions)[-1]
    lost = [inst for inst in fleet.instances.values() if inst.region == region]
    servers = [e["server_id"] for e in fleet.backends if e["region"] == region]

    async def crash_region():
        await asyncio.sleep(seconds * 0.3)
        for inst in lost:
            inst.process.kill()
        for name in servers:
            await set_backend(fleet, name, state="crashed")

    region_loss = asyncio.ensure_future(crash_region())
    row = await load_at(
        fleet, deployment, service, "system", DISTURBANCE_LOAD_SHARE, seconds * 2, seed
    )
    await region_loss
    for inst in lost:
        await inst.process.wait()
        await start_instance(fleet, inst)
    for name in servers:
        await set_backend(fleet, name, state="up")
    await wait_ready(fleet)
    await asyncio.sleep(SETTLED_S)
    return row


async def measure_added_latency(fleet, deployment, count):
    """Measures each service one request at a time, through the system and directly.

    Returns:
        Map of service to percentiles (ms) of both and the difference at p50.
    """
    found = {}
    region = next(iter(deployment.regions))
    number = deployment.network.numbers[region]
    inst = next(i for i in fleet.instances.values() if i.region == region)
    connector = aiohttp.TCPConnector(local_addr=(f"127.{number}.0.2", 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        for service, *_ in deployment.services:
            entry = next(
                e
                for e in fleet.backends
                if e["service"] == service and e["region"] == region
            )
            direct_url = f"http://127.0.0.1:{entry['port']}"
            via_system, direct = [], []
            for index in range(count):
                via_system.append(
                    await _measure_request(
                        session, deployment, service, inst, None, index
                    )
                )
                direct.append(
                    await _measure_request(
                        session, deployment, service, inst, direct_url, index
                    )
                )
            found[service] = {
                "system": _percentiles(via_system),
                "direct": _percentiles(direct),
                "added_p50_ms": _percentiles(via_system)["p50_ms"]
                - _percentiles(direct)["p50_ms"],
            }
    return found


async def _measure_request(session, deployment, service, inst, direct_url, index):
    """Returns the time of one request (ms)."""
    base = direct_url or f"{inst.url}/s/{service}"
    if service == deployment.booking:
        headers = {}
        if direct_url is None:
            lookup = f"{inst.url}/v1/lookup?service={service}"
            async with session.get(lookup) as resp:
                headers["Idempotency-Key"] = (await resp.json())["idempotency_key"]
        call = session.post(f"{base}/b", data=f"bench-{index}", headers=headers)
    elif service == deployment.download:
        call = session.get(f"{base}/file/pack/{FILE_BYTES}")
    else:
        call = session.get(f"{base}/x")
    started = time.monotonic()
    async with call as resp:
        await resp.read()
        if resp.status not in (200, 201):
            raise RuntimeError(f"{service}: status {resp.status}")
    return (time.monotonic() - started) * 1000.0


def _percentiles(values):
    """Returns p50, p99 and p99.9 of a list of values (ms)."""
    ordered = sorted(values)

    def at(share):
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    return {"p50_ms": at(0.5), "p99_ms": at(0.99), "p999_ms": at(0.999)}
