"""Limits of backend servers over any number of instances and views."""

import math

from flamingolift_decisions import backends, instancecount, serverlimits
from flamingolift_model.plan import BackendEntry, InstanceEntry
from hypothesis import given
from hypothesis import strategies as st

WINDOW_S = 4.0
"""Length of the windows in which a limited server's requests are counted (s)."""
OVERAGE = 1.5
"""Requests allowed in a window, relative to what the limit allows (ratio)."""
SLACK = 5
"""Requests allowed in a window besides."""
STEP_S = 0.05


def make_server(started_ms=1):
    return BackendEntry(
        server_id="i-1",
        service="reads",
        region="upland",
        failure_domain="north",
        host="127.0.0.1",
        port=1,
        slots=3,
        started_ms=started_ms,
    )


def make_instance(number, region="upland"):
    return InstanceEntry(
        instance_id=f"front-{number}",
        region=region,
        failure_domain="north",
        host="127.0.0.1",
        caller_port=1,
        peer_port=number + 1,
        operator_port=3,
    )


def make_limited(per_s, now=0.0):
    backend = backends.Backend(make_server())
    serverlimits.record_limit(backend, per_s, now)
    return backend


def most_in_window(times):
    most, first = 0, 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def grants_in(groups, limit, seconds, deputies):
    """Returns the times of all grants while every instance always has a request.

    Args:
        groups: Sizes of the groups of instances that list only each other.
        limit: Function of the time that returns the limit (1/s).
        seconds: Length of the run (s).
        deputies: Whether the deputies are asked as well.
    """
    states = []
    for size in groups:
        count = instancecount.InstanceCount()
        instancecount.record_count(count, sum(groups), 0.0)
        instancecount.record_count(count, size, 0.0)
        ranks = (0, 1) if deputies and size > 1 else (0,)
        states += [(count, make_limited(limit(0.0)), rank) for rank in ranks]
    granted = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for count, backend, rank in states:
            serverlimits.record_limit(backend, limit(now), now)
            share = instancecount.listed_share(count, now)
            while serverlimits.take_grant(backend, rank, share, now) == 0.0:
                granted.append(now)
    return granted


# Guards against several coordinators that each grant the whole limit while the list of
# instances has fallen apart.
@given(
    groups=st.lists(st.integers(1, 50), min_size=1, max_size=3),
    per_s=st.floats(0.1, 200.0),
    deputies=st.booleans(),
)
def test_limit_holds_over_all_groups_of_instances(groups, per_s, deputies):
    seconds = instancecount.RECENT_COUNT_S - 1.0
    granted = grants_in(groups, lambda now: per_s, seconds, deputies)
    assert most_in_window(granted) <= OVERAGE * per_s * WINDOW_S + SLACK


# Guards against grants of a former limit that outlast its fall.
@given(before=st.floats(1.0, 100.0), after=st.floats(0.1, 1.0))
def test_fallen_limit_holds_from_its_first_answer(before, after):
    granted = grants_in([20], lambda now: before if now < 5.0 else after, 10.0, True)
    later = [t for t in granted if t >= 5.0]
    assert most_in_window(later) <= OVERAGE * after * WINDOW_S + SLACK


def test_most_of_a_limit_is_granted():
    for per_s in (0.3, 4.0, 60.0):
        granted = grants_in([30], lambda now, per_s=per_s: per_s, 200.0, False)
        assert 0.9 * per_s <= len(granted) / 200.0 <= per_s


def test_server_that_takes_nothing_is_still_asked_whether_it_takes_more():
    granted = grants_in([30], lambda now: 0.0, 100.0, False)
    assert 1 <= len(granted) <= 100.0 * serverlimits.MIN_RATE_PER_S


def test_every_instance_picks_the_same_grantors_near_the_server():
    near = [make_instance(n) for n in range(5)]
    far = [make_instance(n, "lowland") for n in range(5, 20)]
    picked = serverlimits.grantors(make_server(), [*near, *far])
    again = serverlimits.grantors(make_server(), [*reversed(far), *reversed(near)])
    names = [e.instance_id for e in picked]
    assert names == [e.instance_id for e in again]
    assert len(names) == serverlimits.GRANTORS
    assert {e.region for e in picked} == {"upland"}
    # The deputy takes over when the coordinator leaves.
    rest = [e for e in near if e.instance_id != names[0]]
    assert serverlimits.grantors(make_server(), rest)[0].instance_id == names[1]


def test_leaving_instances_grant_nothing():
    leaving = make_instance(1)
    leaving.state = "leaving"
    picked = serverlimits.grantors(make_server(), [leaving, make_instance(2)])
    assert [e.instance_id for e in picked] == ["front-2"]


def test_newest_answer_decides():
    backend = make_limited(4.0, now=10.0)
    assert serverlimits.record_limit(backend, None, 9.0).is_none()
    assert serverlimits.is_limited(backend)
    assert serverlimits.record_limit(backend, 2.0, 11.0).value == "changed"
    assert serverlimits.record_limit(backend, None, 12.0).value == "ended"
    assert not serverlimits.is_limited(backend)
    assert serverlimits.record_limit(backend, 3.0, 11.5).is_none()
    assert serverlimits.record_limit(backend, 3.0, 13.0).value == "named"


def test_end_of_a_limit_ends_the_wait_for_a_grant():
    backend = make_limited(4.0)
    backend.next_grant_at = 100.0
    serverlimits.record_limit(backend, None, 1.0)
    assert not backends.is_withheld(backend, 1.0)


# Guards against the limit of a process that has ended.
def test_restarted_server_names_its_limit_anew():
    view = backends.BackendView()
    backends.apply_entry(view, make_server(), 0.0)
    backend = view.backends["i-1"]
    serverlimits.record_limit(backend, 4.0, 1.0)
    backend.next_grant_at = 100.0
    assert backends.apply_entry(view, make_server(2), 2.0).value == "restarted"
    assert not serverlimits.is_limited(backend)
    assert backend.next_grant_at == -math.inf
