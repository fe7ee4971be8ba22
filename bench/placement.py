"""Simulates what the placement of objects and news of load are worth at a site's size.

Run as ``python -m bench.placement [--seeds N]``. The product's decisions are compared
with some that know more than an instance can: the load of all servers, a placement of
all objects, or weights of the servers by which each of them gets as many objects as the
others. The difference shows what binds.
"""

import collections
import concurrent.futures
import contextlib
import math
import os
from unittest import mock

import click
import numpy
from flamingolift_decisions import affinity, regioncost
from flamingolift_decisions.hashing import unit_hash
from flamingolift_standins import fleetsimulation
from flamingolift_standins.fleetsimulation import Workload

__all__ = ["VARIANTS", "main", "run_variant"]

SETTLED_S = 8
"""Time from which requests count (s)."""
FITTING_STEPS = 60
FITTING_GAIN = 0.3
"""Part of a server's deviation that one step corrects (exponent)."""
CHOICES = 8
"""Servers at the head of an object's order among which an even placement chooses."""

LARGE_SITE = Workload(
    rate=614.0,
    seconds=30.0,
    instances=195,
    servers=287,
    objects=921,
    slots=6,
    swing=0.55,
    work_s=2.444,
    held=10,
    queue=18,
    objective_s=1.568,
    timeout_s=8.0,
    retry_s=1.0,
    far_s=0.035,
)
"""The timetable service of the users' large site, with 307 objects in each domain."""


@contextlib.contextmanager
def _no_change(_sim):
    yield


@contextlib.contextmanager
def _known_load(sim):
    """Lets each instance know what each server runs and has waiting."""

    def estimate_load(backend, _now):
        server = sim.servers[backend.entry.server_id]
        return server.running + len(server.queue)

    with mock.patch.object(affinity, "estimate_load", estimate_load):
        yield


@contextlib.contextmanager
def _even_placement(_sim):
    """Gives each object the one of its first servers that has the fewest objects."""
    counts, placed = collections.Counter(), {}
    weighted_order = affinity.weighted_order

    def order_evenly(key, weights):
        order = weighted_order(key, weights)
        if key not in placed:
            placed[key] = min(order[:CHOICES], key=lambda name: counts[name])
            counts[placed[key]] += 1
        first = placed[key]
        return [first, *(name for name in order if name != first)]

    with mock.patch.object(affinity, "weighted_order", order_evenly):
        yield


def _fit_weights(sim):
    """Returns a factor on the weight of each server, by which all get equal parts."""
    load, names = sim.load, list(sim.servers)
    keys = [f"r{r}-{n}" for r in range(load.regions) for n in range(load.objects)]
    times = numpy.array([[-math.log(unit_hash(k, n)) for n in names] for k in keys])
    regions = numpy.array([int(key[1 : key.index("-")]) for key in keys])
    own = regions[:, None] == numpy.arange(len(names))[None, :] % load.regions
    times /= numpy.where(own, regioncost.OWN_REGION_WEIGHT, 1.0)
    factors = numpy.ones(len(names))
    mean = len(keys) / len(names)
    for _ in range(FITTING_STEPS):
        firsts = numpy.argmin(times / factors, axis=1)
        counts = numpy.bincount(firsts, minlength=len(names))
        factors *= ((mean + 1.0) / (counts + 1.0)) ** FITTING_GAIN
    return dict(zip(names, factors.tolist(), strict=True))


@contextlib.contextmanager
def _fitted_weights(sim):
    """Weighs the servers so that each is the first one of equally many objects."""
    factors = _fit_weights(sim)
    weighted_order = affinity.weighted_order

    def order_by_factors(key, weights):
        return weighted_order(key, {n: w * factors[n] for n, w in weights.items()})

    with mock.patch.object(affinity, "weighted_order", order_by_factors):
        yield


VARIANTS = {
    "as it is": _no_change,
    "weights of servers fitted": _fitted_weights,
    "load of all servers known": _known_load,
    "objects placed evenly": _even_placement,
}


def run_variant(name, seed, load=LARGE_SITE):
    """Simulates a site with one of the variants.

    Args:
        name: Name in `VARIANTS`.
        seed: Seed of the random numbers.
        load: Workload.

    Returns:
        Tuple of the shares of requests in time and lost, the shares of sends that met
        their object and that left the region, and the sends of the busiest server
        relative to the mean (ratios).
    """
    sim = fleetsimulation.FleetSimulation(load, seed)
    with VARIANTS[name](sim):
        tallies = fleetsimulation.run_prepared(sim)
    chosen = [tally for second, tally in tallies.items() if second >= SETTLED_S]
    asked = sum(t.in_time + t.late + t.lost for t in chosen)
    sends = sum((t.to_server for t in chosen), collections.Counter())
    total = max(1, sends.total())
    return (
        sum(t.in_time for t in chosen) / asked,
        sum(t.lost for t in chosen) / asked,
        sum(t.warm for t in chosen) / max(1, sum(t.sends for t in chosen)),
        sum(t.far for t in chosen) / total,
        max(sends.values()) * load.servers / total,
    )


@click.command()
@click.option("--seeds", default=2, help="Number of seeds for each variant.")
def main(seeds):
    """Prints a table with a row for each variant and seed."""
    runs = [(name, seed) for name in VARIANTS for seed in range(1, seeds + 1)]
    workers = max(1, (os.cpu_count() or 1) // 2)
    print("| Variant | Seed | In time | Lost | Warm | Left region | Busiest to mean |")
    print("|---|---|---|---|---|---|---|")
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        futures = [pool.submit(run_variant, *run) for run in runs]
        for (name, seed), future in zip(runs, futures, strict=True):
            figures = " | ".join(f"{value:.3f}" for value in future.result())
            print(f"| {name} | {seed} | {figures} |", flush=True)


if __name__ == "__main__":
    main()
