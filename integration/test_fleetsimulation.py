"""The product's choice of servers under load, in a simulated fleet."""

import pytest
from flamingolift_standins.fleetsimulation import Workload, run_simulation

SEEDS = (1, 2, 3)


def share_in_time(tallies, start, end):
    """Returns the share of the requests of a period that met the objective (ratio)."""
    chosen = [tally for second, tally in tallies.items() if start <= second < end]
    asked = sum(t.in_time + t.late + t.lost for t in chosen)
    return sum(t.in_time for t in chosen) / asked


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_without_overload_meets_the_objective(seed):
    tallies = run_simulation(Workload(rate=80.0, seconds=20.0), seed)
    assert share_in_time(tallies, 10, 20) > 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_recovers_when_an_overload_ends(seed):
    """Servers that suffice for the usual rate recover after a burst."""
    load = Workload(servers=11, seconds=30.0, bursts=[(8.0, 12.0, 1.5)])
    tallies = run_simulation(load, seed)
    assert share_in_time(tallies, 22, 30) > 0.7


# Guards against an overload that keeps itself going because objects move to servers
# that do not hold them.
@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_recovers_within_seconds_of_a_long_overload(seed):
    load = Workload(servers=11, seconds=22.0, bursts=[(8.0, 14.0, 2.0)])
    tallies = run_simulation(load, seed)
    assert share_in_time(tallies, 16, 22) > 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_popular_object_gets_more_servers(seed):
    """An object that needs more than two servers does not overload just two."""
    tallies = run_simulation(Workload(rate=90.0, seconds=20.0, hot_share=0.35), seed)
    assert share_in_time(tallies, 10, 20) > 0.7
