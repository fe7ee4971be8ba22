"""Measures under load, each beside its baselines in the same run."""

import asyncio
import contextlib
import pathlib
import time

from flamingolift_standins.fleet import (
    backend_reports,
    operator_get,
    reset_backends,
    set_backend,
    start_fleet,
    start_instances,
    stop_fleet,
    wait_ready,
    wait_until,
)

from bench.commands import apply_policy, run_command
from bench.deployments import INSTANCES
from bench.load import make_direct_sender, make_system_sender, run_load

__all__ = ["measure_headroom", "running_fleet"]

BASELINES = ("random", "round-robin", "least-known")
SHARES = (0.3, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95)
IDLE_SHARE = 0.1
P99_FACTOR = 2.0


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
        await apply_policy(fleet, deployment.policy)
        await wait_ready(fleet)
        yield fleet
    finally:
        await stop_fleet(fleet)


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


async def measure_headroom(fleet, deployment, seconds, seeds, shares=SHARES):
    """Finds the highest load without overrun and with p99 within twice the idle one.

    Returns:
        Map of policy to its idle p99, its rows for each load and its headroom for
        each seed.
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
                clean = not (row["refused"] or row["failed"] or row["shed"])
                if not clean or row["p99_ms"] > bound_ms:
                    break
                best = share
            headroom.append(best)
        found[policy] = {"idle": idle, "rows": rows, "headroom": headroom}
    return found


_ = (asyncio, time, operator_get, set_backend, wait_until, run_command)
