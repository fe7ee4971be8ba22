from flamingolift_decisions import admission, backends, loads
from flamingolift_model.plan import BackendEntry
from hypothesis import given
from hypothesis import strategies as st


def make_view(load, slots=4):
    view = backends.BackendView()
    for number in range(3):
        entry = BackendEntry(
            server_id=f"s{number}",
            service="maps",
            region="r0",
            failure_domain="d0",
            host="127.0.0.1",
            port=8000 + number,
            slots=slots,
        )
        backends.apply_entry(view, entry, 0.0)
        waiting = max(0, round(load * slots) - slots)
        running = round(load * slots) - waiting
        loads.record_load(view.backends[entry.server_id], running, waiting, 1.0)
    return view


@given(st.floats(0.0, 100.0))
def test_refused_share_leaves_what_the_queues_may_hold(load):
    kept = load * (1.0 - admission.refused_share(load))
    assert kept <= max(admission.FULL_LOAD, 0.0) * 1.0001
    if load <= admission.FULL_LOAD:
        assert kept == load


def test_nothing_is_refused_while_the_queues_are_short():
    view = make_view(admission.FULL_LOAD)
    assert not any(admission.should_shed(view, "maps", 1.1) for _n in range(1000))


def test_half_is_refused_at_twice_the_load():
    view = make_view(2.0 * admission.FULL_LOAD)
    refused = sum(admission.should_shed(view, "maps", 1.1) for _n in range(1000))
    # Five standard deviations of a binomial count.
    assert 420 < refused < 580


def test_old_reports_refuse_nothing():
    view = make_view(10.0)
    later = 1.0 + loads.LOAD_KEPT_S + 0.1
    assert not any(admission.should_shed(view, "maps", later) for _n in range(100))
