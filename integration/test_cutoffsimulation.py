"""Instances that are cut off from backend servers, in a simulated fleet."""

import click.testing
import pytest
from flamingolift_standins.crashsimulation import CrashWorkload, simulate_crash
from flamingolift_standins.cutoffsimulation import simulate_cut
from flamingolift_standins.cutoffworkload import STRATEGIES, CutWorkload

from bench import cutoff

SEEDS = (1, 2)


def served_share(result):
    """Returns the share of first tries at cut instances that were served (ratio)."""
    return result.served_at_cut / result.at_cut


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("cut", ["one", "domain", 0.6])
def test_handing_on_serves_callers_of_cut_instances(cut, hangs, seed):
    load = CutWorkload(20, cut, STRATEGIES["refuse"], hangs)
    assert served_share(simulate_cut(load, seed)) < 0.25
    load.strategy = STRATEGIES["domains"]
    result = simulate_cut(load, seed)
    assert served_share(result) > 0.8
    assert result.served_after == result.after
    assert result.served_elsewhere == result.elsewhere


@pytest.mark.parametrize("seed", SEEDS)
def test_helpers_in_other_failure_domains_are_not_cut_with_the_instance(seed):
    load = CutWorkload(20, "domain", STRATEGIES["domains"])
    result = simulate_cut(load, seed)
    assert result.served_at_cut == result.at_cut


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_goes_round_when_all_instances_are_cut(seed):
    load = CutWorkload(20, 1.0, STRATEGIES["both"])
    result = simulate_cut(load, seed)
    assert served_share(result) == 0.0
    assert sum(result.handled.values()) <= 2 * result.at_cut


@pytest.mark.parametrize("seed", SEEDS)
def test_look_ups_lead_callers_away_from_cut_instances(seed):
    load = CutWorkload(20, 0.6, STRATEGIES["domains"])
    before = simulate_cut(load, seed).at_cut
    load.strategy = STRATEGIES["both"]
    assert simulate_cut(load, seed).at_cut < before / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_crash_of_fewer_servers_than_prove_a_cut_is_none(seed):
    load = CrashWorkload(servers=10, crashed=2, rate=30.0)
    assert simulate_crash(load, seed).cuts == 0


def test_crash_that_is_taken_for_a_cut_costs_less_if_probed_at_once():
    later = cutoff.run_crash(100, 0.3, False, 30.0)
    at_once = cutoff.run_crash(100, 0.3, True, 30.0)
    assert later[0] == pytest.approx(at_once[0], abs=0.1)
    assert at_once[1] < later[1] / 2


def test_bench_prints_a_row_for_each_case(monkeypatch):
    monkeypatch.setattr(cutoff, "SIZES", (20,))
    monkeypatch.setattr(cutoff, "CRASH_TRIALS", 2)
    done = click.testing.CliRunner().invoke(cutoff.main, ["--how", "refuse"])
    assert done.exit_code == 0, done.output
    rows = [line.split() for line in done.output.splitlines()]
    cuts = [row for row in rows if row and row[0] == "20"]
    assert len(cuts) == len(cutoff.CUTS) * len(STRATEGIES)
