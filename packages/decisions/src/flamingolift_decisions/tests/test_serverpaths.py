"""Whether an instance is cut off from the backend servers."""

from flamingolift_decisions import serverpaths
from flamingolift_decisions.serverpaths import (
    ServerPaths,
    cut_off_services,
    is_cut_off,
    record_reached,
    record_unreached,
)

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
