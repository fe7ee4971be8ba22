"""Runs the bench: ``python -m bench``, or a short run with ``BENCH=quick``."""

import asyncio
import os
import pathlib
import platform
import tempfile
import time

import psutil

from bench import micro
from bench.changes import measure_configuration, measure_drains
from bench.control import measure_idle
from bench.deployments import COOPERATIVE, RAIL
from bench.moves import measure_moves
from bench.peers import measure_peers
from bench.report import print_tables, write_json, write_plots
from bench.scenarios import (
    measure_added_latency,
    measure_disturbances,
    measure_headroom,
    running_fleet,
    warm_up,
)

OUT = pathlib.Path(__file__).resolve().parent / "out"
WINDOW_S = 5.0
"""Shift window in the bench's policies (s). With the 60 s of the shipped policies, the
plan takes minutes to settle, and the bench measures the settled state."""
LOOKUP_TTL_S = 10.0


class Effort:
    """Extent of a bench run.

    Attributes:
        seconds: Length of one run of load (s).
        warm_s: Length of the warm-up load, in which the plan settles (s).
        seeds: Seeds of the arrival times.
        shares: Loads of the headroom sweep (share of all slots).
        repeats: Requests for the measurement of added latency.
        peers: List of (peers, failure domains, regions) to run in one process.
        deployments: Deployments to run.
    """

    __slots__ = (
        "deployments",
        "peers",
        "repeats",
        "seconds",
        "seeds",
        "shares",
        "warm_s",
    )

    def __init__(self, seconds, warm_s, seeds, shares, repeats, peers, deployments):
        self.seconds = seconds
        self.warm_s = warm_s
        self.seeds = seeds
        self.shares = shares
        self.repeats = repeats
        self.peers = peers
        self.deployments = deployments


QUICK = Effort(1.5, 4.0, [1], [0.5, 0.8], 3, [(30, 6, 3)], [RAIL])
FULL = Effort(
    4.0,
    30.0,
    [1, 2],
    [0.7, 0.85, 0.9, 0.95],
    16,
    [(30, 6, 3), (60, 6, 3), (120, 12, 6)],
    [RAIL, COOPERATIVE],
)


def bench_policy(text):
    """Returns a policy text with the bench's shift window and look-up TTL."""
    text = text.replace("window_s = 60.0", f"window_s = {WINDOW_S}")
    marker = 'traffic_class = "lookup"\n'
    return text.replace(marker, f"{marker}lookup_ttl_s = {LOOKUP_TTL_S}\n")


async def run_deployment(deployment, effort, folder):
    """Measures one deployment; returns plain values."""
    deployment.policy = bench_policy(deployment.policy)
    options = {"plan_interval_s": 1.0}
    found = {}
    async with running_fleet(deployment, folder, **options) as fleet:
        found["idle"] = await measure_idle(fleet, max(3.0, effort.seconds))
        found["added_latency"] = await measure_added_latency(
            fleet, deployment, effort.repeats
        )
        await warm_up(fleet, deployment, effort.warm_s)
        found["headroom"] = await measure_headroom(
            fleet, deployment, effort.seconds, effort.seeds, effort.shares
        )
        found["trouble"] = {}
        if effort is FULL:
            found["trouble"] = await measure_disturbances(
                fleet, deployment, effort.seconds, effort.seeds
            )
            found["drains"] = await measure_drains(fleet, deployment, 6.0)
            found["configuration"] = await measure_configuration(fleet, deployment, 5)
            found["http_lookups"] = await micro.measure_http_lookups(
                fleet, deployment.lookup, 4.0
            )
    return found


async def run_all(effort):
    """Runs every measure; returns plain values."""
    results = {
        "schema": 1,
        "effort": "full" if effort is FULL else "quick",
        "machine": {
            "cores": psutil.cpu_count(),
            "memory_gb": round(psutil.virtual_memory().total / 1e9, 1),
            "python": platform.python_version(),
        },
        "deployments": {},
    }
    results["operations"] = micro.measure_operations()
    sizes = {"today": micro.TODAY, "tenth": micro.TENTH, "target": micro.TARGET}
    if effort is QUICK:
        del sizes["target"]
    results["tables"] = {k: micro.measure_tables(v) for k, v in sizes.items()}
    results["lookups"] = {
        k: round(await micro.measure_lookup_calls(v)) for k, v in sizes.items()
    }
    results["import_memory_mb"] = micro.import_memory_mb()
    results["moves"] = measure_moves() if effort is FULL else {}
    results["peers"] = [await measure_peers(*size) for size in effort.peers]
    with tempfile.TemporaryDirectory() as folder:
        for deployment in effort.deployments:
            found = await run_deployment(
                deployment, effort, pathlib.Path(folder) / deployment.name
            )
            results["deployments"][deployment.name] = found
            write_json(results, OUT / f"results-{results['effort']}.json")
    return results


def main():
    """Runs the bench and writes its results to bench/out."""
    effort = QUICK if os.environ.get("BENCH") == "quick" else FULL
    started = time.monotonic()
    results = asyncio.run(run_all(effort))
    results["seconds"] = round(time.monotonic() - started, 1)
    write_json(results, OUT / f"results-{results['effort']}.json")
    write_plots(results, OUT)
    print_tables(results)
    print(f"written to {OUT.name}/results-{results['effort']}.json")


if __name__ == "__main__":
    main()
