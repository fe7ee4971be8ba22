"""Whether an instance is cut off from the backend servers."""

import random

from flamingolift_decisions import backends, serverpaths
from flamingolift_decisions.backends import BackendView
from flamingolift_decisions.serverpaths import (
    ServerPaths,
    cut_off_services,
    is_cut_off,
    record_reached,
    record_unreached,
)
from flamingolift_model.plan import BackendEntry

SERVICES = ("maps", "reads", "rows")


def fail(paths, service, number, now=0.0):
    return record_unreached(paths, service, f"{service}-{number}", SERVICES, now)


def test_servers_that_fail_in_a_row_mean_that_the_service_is_cut_off():
    paths = ServerPaths()
    assert fail(paths, "maps", 1).is_none()
    assert fail(paths, "maps", 2).is_none()
    assert fail(paths, "maps", 3).value == ["maps"]
    assert cut_off_services(paths) == ["maps"]
    assert not is_cut_off(paths, "reads")


def test_one_server_that_fails_often_is_its_own_fault():
    paths = ServerPaths()
    for number in range(20):
        assert fail(paths, "maps", 1, number * 0.1).is_none()


def test_servers_that_fail_while_others_are_reached_are_their_own_fault():
    paths = ServerPaths()
    for number in range(20):
        fail(paths, "maps", number)
        fail(paths, "maps", number + 100)
        record_reached(paths, "maps", 0.0)
    assert not cut_off_services(paths)


def test_old_failures_do_not_count():
    paths = ServerPaths()
    for number in range(20):
        fail(paths, "maps", number, number * serverpaths.EVIDENCE_S / 1.5)
    assert not cut_off_services(paths)


def test_failures_over_several_services_cut_off_all_of_them():
    paths = ServerPaths()
    fail(paths, "maps", 1)
    fail(paths, "reads", 1)
    fail(paths, "reads", 2)
    assert fail(paths, "rows", 1).value == list(SERVICES)


def test_failures_before_a_server_was_reached_do_not_cut_off_all_services():
    paths = ServerPaths()
    fail(paths, "maps", 1, 1.0)
    fail(paths, "reads", 1, 1.1)
    fail(paths, "reads", 2, 1.2)
    record_reached(paths, "books", 1.3)
    assert fail(paths, "rows", 1, 1.4).is_none()


def test_a_service_is_in_use_again_once_a_server_of_it_is_reached():
    paths = ServerPaths()
    for number in range(3):
        fail(paths, "maps", number, 5.0)
    assert record_reached(paths, "reads", 6.0).is_none()
    assert record_reached(paths, "maps", 6.0).value == 5.0
    assert not is_cut_off(paths, "maps")
    assert record_reached(paths, "maps", 6.0).is_none()


def make_view(cold_ms):
    view = BackendView(random.Random(4))
    view.instances = 20
    entry = BackendEntry(
        server_id="maps-1",
        service="maps",
        region="upland",
        failure_domain="north",
        host="10.0.0.1",
        port=80,
        cold_ms=cold_ms,
    )
    backends.apply_entry(view, entry, 0.0)
    return view, view.backends["maps-1"]


# Guards against a burst on a cold server: all instances find the end of a cut together.
def test_cold_server_keeps_its_pace_when_its_suspension_is_lifted():
    view, backend = make_view(cold_ms=60000.0)
    backends.suspend_backend(view, backend, 1.0)
    serverpaths.lift_suspensions(view, ["maps-1", "unknown"], 1.1)
    share_s = view.instances / backends.DEFAULT_COLD_RATE_PER_S
    assert backend.suspended_until < 1.1
    assert backend.next_cold_request_at > 1.1 + share_s / 2.0


def test_warm_server_is_in_use_at_once_when_its_suspension_is_lifted():
    view, backend = make_view(cold_ms=0.0)
    backends.suspend_backend(view, backend, 1.0)
    serverpaths.lift_suspensions(view, ["maps-1"], 1.1)
    assert backends.is_in_use(view, backend, 1.1)
    assert not backends.is_cold(backend, 1.1)


# Guards against the ends of several servers that are taken for an own cut.
def test_ends_of_servers_take_back_a_cut_that_rests_on_them():
    paths = ServerPaths()
    for number in (1, 2, 3):
        fail(paths, "maps", number)
    assert serverpaths.record_ended(paths, "maps", "maps-1") == {"maps": 0.0}
    assert not is_cut_off(paths, "maps")
    # What is left does not suffice without a further server.
    assert fail(paths, "maps", 2, 1.0).is_none()
    assert fail(paths, "maps", 4, 1.0).value == ["maps"]


def test_cut_that_other_servers_confirm_outlasts_the_end_of_one():
    paths = ServerPaths()
    for number in (1, 2, 3, 4):
        fail(paths, "maps", number)
    assert serverpaths.record_ended(paths, "maps", "maps-1") == {}
    assert is_cut_off(paths, "maps")
    assert serverpaths.record_ended(paths, "maps", "maps-9") == {}
    assert set(serverpaths.record_ended(paths, "maps", "maps-2")) == {"maps"}


def test_end_of_a_server_takes_back_a_cut_of_all_services():
    paths = ServerPaths()
    found = [fail(paths, name, number) for name in SERVICES for number in (1, 2)]
    assert any(option.is_some() for option in found)
    assert cut_off_services(paths) == sorted(SERVICES)
    for name in SERVICES:
        serverpaths.record_ended(paths, name, f"{name}-1")
        serverpaths.record_ended(paths, name, f"{name}-2")
    assert cut_off_services(paths) == []
