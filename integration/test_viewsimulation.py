"""How soon a change is in force in simulated fleets whose sources are silent."""

import pytest
from flamingolift_standins.viewsimulation import (
    APPLY_S,
    SILENT_STORE,
    SILENT_WATCH,
    SpreadLoad,
    spread,
)

SEEDS = range(4)


def longest(instances, silent, kind, proofs=True):
    load = SpreadLoad(instances, silent, kind, 1, 100.0, proofs)
    return max(spread(load, seed).times[-1] for seed in SEEDS)


@pytest.mark.parametrize("kind", [SILENT_STORE, SILENT_WATCH])
@pytest.mark.parametrize("silent", [0, 1, 2, 3])
@pytest.mark.parametrize("instances", [6, 18, 30, 60])
def test_change_is_in_force_in_time_whatever_is_silent(instances, silent, kind):
    assert longest(instances, silent, kind) <= APPLY_S


# Guards against a simulation that shows nothing: the former rule must break the bound.
@pytest.mark.parametrize("kind", [SILENT_STORE, SILENT_WATCH])
def test_answers_as_proofs_miss_the_bound(kind):
    assert longest(18, 3, kind, proofs=False) > APPLY_S


# Guards against reads of the store that grow with the fleet.
@pytest.mark.parametrize("instances", [18, 60, 120])
def test_reads_of_the_revision_do_not_grow_with_the_fleet(instances):
    result = spread(SpreadLoad(instances, 0, SILENT_STORE, 1, 100.0), 1)
    assert result.checks <= 1.5
