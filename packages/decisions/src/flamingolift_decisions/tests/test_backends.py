"""Index of the servers by service, in fleets of thousands of servers."""

import time

from flamingolift_decisions import backends
from hypothesis import given
from hypothesis import strategies as st
from serverviews import make_entry

SMALL, LARGE = 500, 4000
"""Servers of a small and of a large fleet."""
MAX_GROWTH = 3.0
"""Time for each server there, relative to that in the small fleet (ratio)."""


def make_ordered_entry(number, **changes):
    """Returns an entry whose id sorts like its number."""
    return make_entry(number, server_id=f"s{number:05}", **changes)


def apply_time_s(count):
    """Returns the processor time for the entries of a fleet, in the order of a read."""
    entries = [make_ordered_entry(n, service=f"service-{n % 4}") for n in range(count)]
    started = time.process_time()
    view = backends.BackendView()
    for entry in entries:
        backends.apply_entry(view, entry, 0.0)
    return time.process_time() - started


# Guards against an index that is built anew for each entry of a view: most of the time
# until an instance that has just started could serve.
def test_time_for_an_entry_does_not_grow_with_the_fleet():
    small = min(apply_time_s(SMALL) for _run in range(3)) / SMALL
    large = min(apply_time_s(LARGE) for _run in range(3)) / LARGE
    assert large <= MAX_GROWTH * small


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["apply", "remove"]),
        st.integers(0, 6),
        st.sampled_from(["maps", "rows", "books"]),
        st.integers(0, 1),
    ),
    max_size=40,
)


@given(STEPS)
def test_index_holds_each_server_once_under_its_service(steps):
    view = backends.BackendView()
    for action, number, service, moved in steps:
        generation, before = view.generation, set(view.backends)
        known = {name: list(servers) for name, servers in view.by_service.items()}
        if action == "apply":
            entry = make_ordered_entry(number, service=service, port=9000 + moved)
            backends.apply_entry(view, entry, 0.0)
        else:
            backends.remove_entry(view, f"s{number:05}")
        expected = {}
        for server_id in sorted(view.backends):
            backend = view.backends[server_id]
            expected.setdefault(backend.entry.service, []).append(backend)
        assert view.by_service == expected
        if known != expected or before != set(view.backends):
            assert view.generation > generation


# A task may wait between two servers of a list.
def test_list_that_is_being_read_stays_as_it_is():
    view = backends.BackendView()
    for number in (1, 3):
        backends.apply_entry(view, make_ordered_entry(number), 0.0)
    read = view.by_service["maps"]
    backends.apply_entry(view, make_ordered_entry(2), 0.0)
    backends.remove_entry(view, "s00001")
    assert [b.entry.server_id for b in read] == ["s00001", "s00003"]
    assert [b.entry.server_id for b in view.by_service["maps"]] == ["s00002", "s00003"]
