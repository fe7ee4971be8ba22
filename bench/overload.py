"""Simulates overloads, slow servers and hot objects and prints a table of scores.

Run as ``python -m bench.overload [--seeds N] [SCENARIO ...]``. A simulation takes
seconds, so decisions are evaluated here before they are measured in real processes.
"""

import concurrent.futures
import os

import click
from flamingolift_standins.fleetsimulation import Workload, run_simulation

__all__ = ["SCENARIOS", "Summary", "main", "run_scenario"]

LATE_SCORE = 0.2
"""Score of a late answer relative to one in time (ratio), as on the users' sites."""
SETTLED_S = 30
"""Time from which requests count towards the settled score (s)."""

SCENARIOS = {
    "calm": Workload(rate=80.0),
    "usual": Workload(rate=110.0),
    "hot": Workload(rate=150.0),
    "burst": Workload(bursts=[(8.0, 12.0, 1.6)]),
    "few-servers": Workload(servers=11, bursts=[(10.0, 14.0, 1.5)]),
    "twice": Workload(servers=11, bursts=[(10.0, 16.0, 2.0)]),
    "restart": Workload(restarts=[20.0]),
    "slow-twelve": Workload(rate=80.0, slow=[(10.0, 18.0, 0.4, 12.0)]),
    "slow-four": Workload(slow=[(10.0, 16.0, 0.16, 4.3)]),
    "hot-object": Workload(rate=90.0, hot_share=0.35),
    "waves": Workload(servers=16, swing=0.55),
    "hundreds": Workload(
        rate=700.0, servers=72, objects=144, instances=195, swing=0.55
    ),
    "large": Workload(
        rate=400.0, servers=48, objects=72, instances=60, bursts=[(15.0, 20.0, 1.5)]
    ),
}


class Summary:
    """Results of a scenario over all its runs.

    Attributes:
        name: Name of the scenario.
        score: Mean score of a request (ratio).
        settled: Mean score of requests from `SETTLED_S` on (ratio).
        lost: Share of requests that were finally refused or failed (ratio).
        warm: Share of sends to a server that held the object in its cache (ratio).
    """

    __slots__ = ("lost", "name", "score", "settled", "warm")

    def __init__(self, name, score, settled, lost, warm):
        self.name = name
        self.score = score
        self.settled = settled
        self.lost = lost
        self.warm = warm


def _mean_score(tallies):
    request_count = sum(t.in_time + t.late + t.lost for t in tallies)
    return sum(t.in_time + LATE_SCORE * t.late for t in tallies) / max(1, request_count)


def run_scenario(name, seeds):
    """Runs a scenario once for each seed.

    Args:
        name: Name in `SCENARIOS`.
        seeds: Iterable of seeds.

    Returns:
        Summary.
    """
    timed = [
        pair for seed in seeds for pair in run_simulation(SCENARIOS[name], seed).items()
    ]
    tallies = [tally for _second, tally in timed]
    request_count = sum(t.in_time + t.late + t.lost for t in tallies)
    return Summary(
        name,
        _mean_score(tallies),
        _mean_score([tally for second, tally in timed if second >= SETTLED_S]),
        sum(t.lost for t in tallies) / max(1, request_count),
        sum(t.warm for t in tallies) / max(1, sum(t.sends for t in tallies)),
    )


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(SCENARIOS)))
@click.option("--seeds", default=3, show_default=True, help="Runs of each scenario.")
def main(names, seeds):
    """Simulates scenarios, all by default, and prints their scores."""
    wanted = names or tuple(SCENARIOS)
    workers = max(1, (os.cpu_count() or 2) // 2)
    click.echo(f"{'scenario':12} {'score':>6} {'settled':>8} {'lost':>6} {'warm':>6}")
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        seed_ranges = [range(1, seeds + 1)] * len(wanted)
        for found in pool.map(run_scenario, wanted, seed_ranges):
            click.echo(
                f"{found.name:12} {found.score:6.3f} {found.settled:8.3f}"
                f" {found.lost:6.3f} {found.warm:6.2f}"
            )


if __name__ == "__main__":
    main()
