"""Reasons for which a backend server gets no requests."""

from flamingolift_decisions import availability, backends, evacuations
from flamingolift_decisions.availability import Unused, why_unused
from flamingolift_decisions.backends import BackendView
from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import Evacuation, Route, WeightedService

ROUTE = Route(
    name="maps",
    host="h",
    prefix="/",
    services=[WeightedService(service="maps", weight=1.0)],
    idempotent=True,
    timeout_ms=1000.0,
)


def make_entry(server_id="i-1", started_ms=5, **fields):
    return BackendEntry(
        server_id=server_id,
        service="maps",
        region="upland",
        failure_domain="d0",
        host="127.0.0.1",
        port=1,
        slots=3,
        started_ms=started_ms,
        **fields,
    )


def make_view(*entries):
    view = BackendView()
    for entry in entries or (make_entry(),):
        backends.apply_entry(view, entry, 0.0)
    return view


def reason(view, now=1.0, server_id="i-1"):
    return why_unused(view, view.backends[server_id], now)


def test_each_reason_is_named():
    view = make_view()
    assert reason(view) is None
    backends.suspend_backend(view, view.backends["i-1"], 1.0)
    assert reason(view) is Unused.SUSPENDED
    evacuation = Evacuation(failure_domain="d0", reason="fire drill")
    evacuations.set_evacuations(view, {"d0": evacuation}, 1.0)
    assert reason(view) is Unused.EVACUATED
    availability.record_leaving(view, "i-1", 5)
    assert reason(view) is Unused.SAID_LEAVING
    backends.apply_entry(view, make_entry(state="leaving"), 1.0)
    assert reason(view) is Unused.LEAVING


def test_server_that_said_that_it_leaves_takes_no_request():
    view = make_view(make_entry(), make_entry("i-2"))
    assert availability.record_leaving(view, "i-1", 5)
    assert not availability.record_leaving(view, "i-1", 5)
    warm, cold = backends.eligible_backends(view, "maps", ROUTE, 1.0)
    assert [b.entry.server_id for b in warm] == ["i-2"]
    assert not cold


# Guards against an entry that is older than the answer, or comes from a restored copy.
def test_entry_of_the_same_start_does_not_end_it():
    view = make_view()
    availability.record_leaving(view, "i-1", 5)
    backends.apply_entry(view, make_entry(sequence=9), 1.0)
    assert reason(view) is Unused.SAID_LEAVING
    backends.remove_entry(view, "i-1")
    backends.apply_entry(view, make_entry(sequence=10), 2.0)
    assert reason(view) is Unused.SAID_LEAVING


def test_new_start_under_the_same_id_is_in_use():
    view = make_view()
    availability.record_leaving(view, "i-1", 5)
    backends.apply_entry(view, make_entry(started_ms=6), 1.0)
    assert reason(view) is None
    backends.remove_entry(view, "i-1")
    backends.apply_entry(view, make_entry(started_ms=7), 2.0)
    assert reason(view) is None


# Guards against the last answer of a former start, which would keep the new one out.
def test_answer_of_a_former_start_says_nothing_of_the_new_one():
    view = make_view(make_entry(started_ms=6))
    availability.record_leaving(view, "i-1", 5)
    assert reason(view) is None


def test_server_that_is_listed_after_it_said_that_it_leaves_is_not_used():
    view = make_view(make_entry("i-2"))
    availability.record_leaving(view, "i-1", 5)
    backends.apply_entry(view, make_entry(), 1.0)
    assert reason(view) is Unused.SAID_LEAVING


def test_notices_of_servers_that_are_gone_do_not_add_up():
    view = make_view()
    availability.record_leaving(view, "i-1", 5)
    for number in range(availability.MAX_NOTICES + 50):
        availability.record_leaving(view, f"gone-{number}", 1)
    assert len(view.notices) <= availability.MAX_NOTICES + 1
    assert reason(view) is Unused.SAID_LEAVING
