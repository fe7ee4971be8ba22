"""Simulates a change while sources of views are silent, and prints a table.

Run as ``python -m bench.viewage [--seeds N]``. "answers" is the former rule, by which
an answer of a relay counts as proof that its view is recent; "proofs" is the one in
force.
"""

import concurrent.futures
import functools
import itertools

import click
from flamingolift_standins.viewsimulation import (
    SILENT_STORE,
    SILENT_WATCH,
    SpreadLoad,
    spread,
)

__all__ = ["main", "measure"]

SIZES = (6, 18, 60, 300)
CASES = list(itertools.product((SILENT_STORE, SILENT_WATCH), (1, 3)))
ROUTES = ((1, 5.0), (1500, 100.0), (9000, 200.0))
"""Pairs of a number of routes and the bandwidth of the links (Mbit/s)."""
WORKERS = 2


def measure(instances, case, change, proofs, seeds):
    """Runs one case once for each seed.

    Args:
        instances: Number of instances.
        case: Tuple of the kind of silence and the number of silent relays.
        change: Tuple of the number of routes and the bandwidth of the links (Mbit/s).
        proofs: Whether followers ask for proofs.
        seeds: Number of seeds.

    Returns:
        Tuple of the median, 99th percentile and longest time from the acknowledgement
        until the change is in force (s), and the reads of the store's revision (1/s).
    """
    load = SpreadLoad(instances, case[1], case[0], *change, proofs)
    results = [spread(load, seed) for seed in range(seeds)]
    times = sorted(time for result in results for time in result.times)
    checks = sum(result.checks for result in results) / seeds
    middle, late = times[len(times) // 2], times[int(0.99 * len(times))]
    return middle, late, times[-1], checks


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=4, show_default=True)
def main(seeds):
    """Prints the times from acknowledgement to force, by size and silence."""
    cases = list(itertools.product(SIZES, CASES, ROUTES, (False, True)))
    run = functools.partial(measure, seeds=seeds)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(run, *zip(*cases, strict=True)))
    click.echo("instances silent routes rule: median, p99, longest (s); reads (1/s)")
    for (size, (kind, silent), (routes, _mbps), proofs), row in zip(
        cases, rows, strict=True
    ):
        rule = "proofs" if proofs else "answers"
        figures = f"{row[0]:.2f} {row[1]:.2f} {row[2]:.2f}; {row[3]:.2f}"
        click.echo(f"{size:4} {silent} {kind:5} {routes:5} {rule:7}: {figures}")


if __name__ == "__main__":
    main()
