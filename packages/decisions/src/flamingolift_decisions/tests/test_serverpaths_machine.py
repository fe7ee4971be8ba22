"""Instances, crashes and cuts at random: what counts as an instance's own cut."""

import functools
import random

import hypothesis.strategies as st
import pytest
from flamingolift_decisions.serverpaths import (
    CUT_OFF_SERVERS,
    CUT_OFF_SERVERS_OVERALL,
    EVIDENCE_S,
    ServerPaths,
    cut_off_services,
    is_cut_off,
    record_reached,
    record_unreached,
)
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

SERVERS = {"maps": 6, "reads": 4, "rows": 2, "books": 1}
INSTANCES = 3

instances = st.integers(0, INSTANCES - 1)
services = st.sampled_from(sorted(SERVERS))
numbers = st.integers(0, max(SERVERS.values()) - 1)


class Connects:
    """The connects of one instance, as a list of (time, service, server, reached)."""

    def __init__(self):
        self.done = []

    def failed_since_reached(self, now, reaches):
        """Returns the servers that failed lately, back to the last of `reaches`."""
        failed = set()
        for at, service, server, reached in reversed(self.done):
            if at < now - EVIDENCE_S or (reached and reaches(service)):
                break
            if not reached:
                failed.add((service, server))
        return failed

    def proves_cut(self, service, now):
        """Returns whether enough servers of a service failed and none was reached."""
        failed = self.failed_since_reached(now, lambda name: name == service)
        return len([s for s in failed if s[0] == service]) >= CUT_OFF_SERVERS

    def proves_full_cut(self, now):
        """Returns whether enough servers of several services failed, none reached."""
        failed = self.failed_since_reached(now, lambda name: True)
        several = len({service for service, _server in failed}) > 1
        return several and len(failed) >= CUT_OFF_SERVERS_OVERALL


class CutInstances(RuleBasedStateMachine):
    """Instances connect while servers crash and paths are cut and restored."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.paths = [ServerPaths() for _ in range(INSTANCES)]
        self.connects = [Connects() for _ in range(INSTANCES)]
        self.crashed = set()
        self.cut = set()

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 1.0, 2.0, 2.9, 3.1]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(service=services, number=numbers, is_up=st.booleans())
    def server_crashes_or_restarts(self, service, number, is_up):
        (self.crashed.discard if is_up else self.crashed.add)((service, number))

    @rule(instance=instances, name=st.none() | services, is_up=st.booleans())
    def paths_are_cut_or_restored(self, instance, name, is_up):
        pairs = {(instance, service) for service in SERVERS if name in (None, service)}
        self.cut = self.cut - pairs if is_up else self.cut | pairs

    @rule(instance=instances, service=services, number=numbers)
    def instance_connects(self, instance, service, number):
        self.connect(instance, service, number % SERVERS[service])

    @rule(instance=instances, names=st.lists(services, min_size=4, max_size=8))
    def instance_serves_a_burst(self, instance, names):
        for position, service in enumerate(names):
            self.now += 0.01
            self.connect(instance, service, position % SERVERS[service])

    def connect(self, instance, service, number):
        paths, connects = self.paths[instance], self.connects[instance]
        reached = (instance, service) not in self.cut
        reached = reached and (service, number) not in self.crashed
        # Two events at the same time have no order.
        self.now += 0.001
        connects.done.append((self.now, service, number, reached))
        before = set(cut_off_services(paths))
        if reached:
            since = paths.cut_off_at.get(service)
            assert record_reached(paths, service, self.now).default_value(None) == since
            assert set(cut_off_services(paths)) == before - {service}
            return
        found = record_unreached(paths, service, number, list(SERVERS), self.now)
        new = set(cut_off_services(paths)) - before
        assert set(found.default_value([])) == new
        self.check_found(connects, paths, service, new)

    def check_found(self, connects, paths, service, new):
        """Checks that the evidence suffices for what was found, and no more."""
        if connects.proves_full_cut(self.now):
            assert cut_off_services(paths) == sorted(SERVERS)
        elif connects.proves_cut(service, self.now):
            assert is_cut_off(paths, service)
            assert new <= {service}
        else:
            assert not new

    @invariant()
    def cut_ends_when_a_server_of_the_service_is_reached(self):
        for paths, connects in zip(self.paths, self.connects, strict=True):
            for at, service, _server, reached in connects.done:
                assert not reached or paths.cut_off_at.get(service, at) >= at


TestCutInstances = CutInstances.TestCase


@given(
    st.lists(
        st.tuples(services, numbers, st.integers(1, CUT_OFF_SERVERS - 1)), max_size=40
    )
)
def test_no_cut_while_servers_are_reached_between_failures(steps):
    """Fewer failures in a row than `CUT_OFF_SERVERS` are never a cut."""
    paths = ServerPaths()
    now = 0.0
    for service, number, failures in steps:
        for position in range(failures):
            now += 0.01
            server = f"{service}-{number + position}"
            assert record_unreached(paths, service, server, [], now).is_none()
        now += 0.01
        record_reached(paths, service, now)
    assert not cut_off_services(paths)


@given(
    st.integers(CUT_OFF_SERVERS, 100),
    st.floats(0.0, EVIDENCE_S / (CUT_OFF_SERVERS - 1) - 0.01),
    st.integers(0, 5),
)
def test_cut_service_is_found_by_three_connects_to_different_servers(n, gap, reached):
    """It takes at most two gaps between the connects, so below `EVIDENCE_S`."""
    paths = ServerPaths()
    for _ in range(reached):
        record_reached(paths, "maps", 99.9)
    found = [
        record_unreached(paths, "maps", server, ["maps", "rows"], 100.0 + server * gap)
        for server in range(n)
    ]
    assert [option.is_some() for option in found[:3]] == [False, False, True]
    assert found[2].value == ["maps"]


@given(st.permutations(["maps", "reads", "rows", "books"]), st.floats(0.0, 0.9))
def test_full_cut_is_found_by_four_connects_to_several_services(order, gap):
    """Services with one or two servers, which cannot be found on their own."""
    paths = ServerPaths()
    for service in order:
        record_reached(paths, service, 99.9)
    for position, service in enumerate(order):
        found = record_unreached(paths, service, 1, order, 100.0 + position * gap)
        assert found.is_some() == (position == 3)
    assert cut_off_services(paths) == sorted(order)


@functools.cache
def probability_of_false_cut(servers, crashed, found=0, in_a_row=0):
    """Computes how likely a crash is taken for a cut until each server has failed once.

    Args:
        servers: Servers of the service.
        crashed: Those that crashed.
        found: Crashed servers that have failed a connect, and are suspended.
        in_a_row: Failed connects since a server was reached.
    """
    if in_a_row == CUT_OFF_SERVERS:
        return 1.0
    if found == crashed:
        return 0.0
    after_failure = probability_of_false_cut(servers, crashed, found + 1, in_a_row + 1)
    if in_a_row == 0:
        return after_failure
    share = (crashed - found) / (servers - found)
    after_success = probability_of_false_cut(servers, crashed, found, 0)
    return share * after_failure + (1.0 - share) * after_success


def is_taken_for_cut(servers, crashed, rng):
    """Connects to servers at random until each crashed one has failed once."""
    paths = ServerPaths()
    usable, left, now = list(range(servers)), crashed, 0.0
    while left:
        now += 0.001
        server = rng.choice(usable)
        if server >= crashed:
            record_reached(paths, "maps", now)
            continue
        usable.remove(server)
        left -= 1
        if record_unreached(paths, "maps", server, ["maps"], now).is_some():
            return True
    return False


# The probability is that of one instance, with connects that are independent of
# each other. Three of ten servers, for example, fail in a row with 2/9 * 1/8.
@pytest.mark.parametrize(
    ("servers", "crashed", "expected"),
    [
        (10, 1, 0.0),
        (10, 2, 0.0),
        (10, 3, 0.0278),
        (100, 10, 0.0242),
        (100, 15, 0.0886),
        (100, 30, 0.5740),
    ],
)
def test_crash_is_taken_for_a_cut_as_often_as_computed(servers, crashed, expected):
    trials = 2_000
    rng = random.Random(7)
    count = sum(is_taken_for_cut(servers, crashed, rng) for _ in range(trials))
    computed = probability_of_false_cut(servers, crashed)
    assert computed == pytest.approx(expected, abs=5e-5)
    deviation = (computed * (1.0 - computed) / trials) ** 0.5
    assert abs(count / trials - computed) <= 4.0 * deviation
