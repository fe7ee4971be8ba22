"""Both errors of the verdicts on requests that end servers, against the fleet's size.

Run as ``python -m bench.holds``.
"""

import statistics

from flamingolift_standins.holdsimulation import HoldWorkload, simulate_holds

__all__ = ["main"]

FLEETS = ((1, 8), (3, 8), (22, 24), (60, 60), (150, 137))
"""Numbers of instances and of servers."""
SEEDS = range(1, 6)
CASES = {
    "one request ends servers": {"crashers": 1},
    "three requests end servers": {"crashers": 3},
    "three, and 30 % of the reports are lost": {"crashers": 3, "lost_share": 0.3},
    "one, and a server is killed each 0.5 s": {"crashers": 1, "kills_per_s": 2.0},
    "none, and a server is killed each 0.25 s": {"crashers": 0, "kills_per_s": 4.0},
}


def main():
    """Prints a row for each case and fleet, over all seeds."""
    print(
        "case | instances | servers | runs after the third end, mean and most"
        " | later than 4 s, most | innocent refused | longest (s)"
    )
    for case, options in CASES.items():
        for instances, servers in FLEETS:
            results = [
                simulate_holds(HoldWorkload(instances, servers, seed=seed, **options))
                for seed in SEEDS
            ]
            print(_row(case, instances, servers, results))


def _row(case, instances, servers, results):
    after = [n for r in results for n in r.runs_after_third.values()] or [0]
    late = [n for r in results for n in r.late_runs.values()] or [0]
    refused = sum(r.innocent_refused for r in results)
    innocent = sum(r.innocent for r in results)
    longest = max(r.longest_refused_s for r in results)
    return (
        f"{case} | {instances} | {servers} | {statistics.mean(after):.1f},"
        f" {max(after)} | {max(late)} | {refused} of {innocent} | {longest:.1f}"
    )


if __name__ == "__main__":
    main()
