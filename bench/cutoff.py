"""Simulates instances that are cut off from backend servers and prints two tables.

Run as ``python -m bench.cutoff [--seeds N] [--how hang|refuse]``. The first table
compares what a fleet may do about such instances, the second one shows how often an
instance takes a crash of servers for its own cut.
"""

import concurrent.futures
import functools
import itertools
import os

import click
from flamingolift_standins.crashsimulation import CrashWorkload, simulate_crash
from flamingolift_standins.cutoffsimulation import RATE_PER_INSTANCE, simulate_cut
from flamingolift_standins.cutoffworkload import STRATEGIES, CutWorkload

__all__ = ["main", "run_crash", "run_cut"]

SIZES = (20, 100, 1000)
CUTS = ("one", "domain", 0.6, 1.0)
CRASHES = [(n, s) for n in (10, 100) for s in (0.10, 0.15, 0.30)]
CRASH_RATES = (5.0, 30.0, 200.0)
CRASH_TRIALS = 200
WORKERS = 4


def _percentile(values, share):
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))] if ranked else 0.0


def _ratio(part, whole):
    return f"{part / whole:.3f}" if whole else "-"


def run_cut(instances, cut, name, hangs, seeds):
    """Runs a cut once for each seed.

    Args:
        instances: Number of instances.
        cut: "one", "domain", or the share of the instances that are cut off (ratio).
        name: Name in `STRATEGIES`.
        hangs: Whether connects hang; otherwise they are refused.
        seeds: Iterable of seeds.

    Returns:
        Row of the table, as text.
    """
    load = CutWorkload(instances, cut, STRATEGIES[name], hangs)
    results = [simulate_cut(load, seed) for seed in seeds]

    def total(field):
        return sum(getattr(result, field) for result in results)

    seconds = (load.end - load.start) * len(results)
    usual = RATE_PER_INSTANCE * (load.end - load.start)
    handled = [count / usual for result in results for count in result.handled.values()]
    added_ms = [1000.0 * s for result in results for s in result.added_s]
    at_cut, elsewhere = total("at_cut"), total("elsewhere")
    share = cut if isinstance(cut, str) else f"{cut:.0%}"
    return (
        f"{instances:9} {share:>7} {name:9}"
        f" {_ratio(at_cut, at_cut + elsewhere):>7}"
        f" {_ratio(total('served_at_cut'), at_cut):>9}"
        f" {_ratio(total('served_elsewhere'), elsewhere):>9}"
        f" {_ratio(total('lost_undetected'), at_cut):>10}"
        f" {_ratio(at_cut - total('served_at_cut'), at_cut + elsewhere):>6}"
        f" {_ratio(total('served_after'), total('after')):>6}"
        f" {_percentile(added_ms, 0.5):7.1f} {_percentile(added_ms, 0.99):7.1f}"
        f" {_percentile(handled, 0.5):6.2f} {max(handled, default=0.0):6.2f}"
        f" {total('bytes_between_regions') / seconds / 1000.0:8.1f}"
    )


def run_crash(servers, share, probes_at_once, rate):
    """Runs crashes of a share of a service's servers.

    Args:
        servers: Servers of the service.
        share: Share of them that crash (ratio).
        probes_at_once: Whether the first probe follows at once.
        rate: Requests of the instance for the service (1/s).

    Returns:
        Tuple of the share of the crashes that were taken for a cut, and the share of
        the requests that were handed on (ratios).
    """
    load = CrashWorkload(servers, round(share * servers), rate, probes_at_once)
    results = [simulate_crash(load, seed) for seed in range(CRASH_TRIALS)]
    taken = sum(result.cuts > 0 for result in results) / len(results)
    requests = sum(result.requests for result in results)
    return taken, sum(result.handed_on for result in results) / requests


def _print_cuts(pool, hangs, seeds):
    click.echo(
        f"{'instances':>9} {'cut':>7} {'strategy':9} {'at cut':>7} {'served':>9}"
        f" {'elsewhere':>9} {'undetected':>10} {'lost':>6} {'after':>6}"
        f" {'p50 ms':>7} {'p99 ms':>7} {'load':>6} {'max':>6} {'kB/s':>8}"
    )
    cases = list(itertools.product(SIZES, CUTS, STRATEGIES))
    columns = zip(*cases, strict=True)
    seed_ranges = [range(1, seeds + 1)] * len(cases)
    for row in pool.map(run_cut, *columns, [hangs] * len(cases), seed_ranges):
        click.echo(row)


def _print_crashes(pool):
    click.echo(f"\n{'servers':>7} {'crashed':>7} {'first probe':>11}", nl=False)
    for rate in CRASH_RATES:
        click.echo(f"  {f'at {rate:.0f}/s':>9} {'handed on':>9}", nl=False)
    click.echo()
    for probes_at_once in (False, True):
        first_probe = "at once" if probes_at_once else "later"
        for servers, share in CRASHES:
            click.echo(f"{servers:7} {share:7.0%} {first_probe:>11}", nl=False)
            run = functools.partial(run_crash, servers, share, probes_at_once)
            for taken, handed_on in pool.map(run, CRASH_RATES):
                click.echo(f"  {taken:9.3f} {handed_on:9.4f}", nl=False)
            click.echo()


@click.command()
@click.option("--seeds", default=1, show_default=True, help="Runs of each cut.")
@click.option("--how", type=click.Choice(["hang", "refuse"]), default="hang")
def main(seeds, how):
    """Simulates cuts of instances and crashes of servers and prints the figures."""
    workers = min(WORKERS, os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        _print_cuts(pool, how == "hang", seeds)
        _print_crashes(pool)


if __name__ == "__main__":
    main()
