"""The product's choice of servers, under load, on a made-up clock."""

import pytest
from flamingolift_standins.fleetsimulation import Workload, run_simulation

SEEDS = (1, 2, 3)


def share_in_time(tallies, start, end):
    """Returns the part of the requests of a time that were answered in time."""
    chosen = [tally for second, tally in tallies.items() if start <= second < end]
    asked = sum(t.in_time + t.late + t.lost for t in chosen)
    return sum(t.in_time for t in chosen) / asked


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_fleet_answers_in_time(seed):
    tallies = run_simulation(Workload(rate=80.0, seconds=20.0), seed)
    assert share_in_time(tallies, 10, 20) > 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_ends_with_its_cause(seed):
    """Servers that would do for the usual rate recover after a burst."""
    load = Workload(servers=11, seconds=30.0, bursts=[(8.0, 12.0, 1.5)])
    tallies = run_simulation(load, seed)
    assert share_in_time(tallies, 22, 30) > 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_object_that_many_ask_for_gets_more_servers(seed):
    """One object that needs more than two servers does not fill just two."""
    tallies = run_simulation(Workload(rate=90.0, seconds=20.0, hot_share=0.35), seed)
    assert share_in_time(tallies, 10, 20) > 0.7
