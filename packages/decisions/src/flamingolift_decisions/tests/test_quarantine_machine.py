"""Instances that learn of ended servers late, in parts or not at all, at random."""

import hypothesis.strategies as st
import pytest
from flamingolift_decisions import crashrecord, quarantine
from flamingolift_decisions.crashrecord import (
    RETENTION_S,
    CrashRecord,
    ServerEnd,
    Suspicion,
    merge_end,
    record_digest,
    record_end,
    record_success,
)
from flamingolift_decisions.quarantine import HELD_ENDS, find_hold, take_trial
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

INSTANCES = 3
COORDINATOR = 0
"""Instance that grants trials."""
CRASHERS = ("crasher-a", "crasher-b")
POPULAR = ("popular-a", "popular-b")

instances = st.integers(0, INSTANCES - 1)


def copy(end):
    return ServerEnd(
        end.server_id, end.started_ms, end.service, end.at, dict(end.suspects)
    )


class HeldRequests(RuleBasedStateMachine):
    """Requests end servers at instances whose records are exchanged now and then."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.records = [CrashRecord(60.0, HELD_ENDS) for _ in range(INSTANCES)]
        self.servers = 0
        # Ends under each request of which an instance still knows.
        self.ended = {name: set() for name in (*CRASHERS, *POPULAR)}

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 10.0, 60.0, 300.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(
        instance=instances,
        crashers=st.sets(st.sampled_from(CRASHERS), min_size=1),
        others=st.sets(st.sampled_from(POPULAR)),
    )
    def server_ends_under_requests(self, instance, crashers, others):
        """A server ends; the requests on it came through any instances."""
        ran = [name for name in sorted(crashers) if self.may_send(instance, name)]
        if ran:
            bystanders = [n for n in sorted(others) if self.may_send(instance, n)]
            self.end_server([(instance, n) for n in ran], bystanders)

    @rule(others=st.sets(st.sampled_from(POPULAR)))
    def server_is_killed(self, others):
        sent = [name for name in sorted(others) if self.may_send(1, name)]
        self.end_server([(1, name) for name in sent], ())

    @rule(instance=instances, name=st.sampled_from(POPULAR))
    def popular_request_succeeds(self, instance, name):
        if self.may_send(instance, name):
            record_success(self.records[instance], name, self.now)

    @rule(instance=instances)
    def instance_restarts(self, instance):
        """It forgets everything; the others know what they know."""
        self.records[instance] = CrashRecord(60.0, HELD_ENDS)
        for name, keys in self.ended.items():
            self.ended[name] = {key for key in keys if self.is_known(key, name)}

    def is_known(self, key, name):
        """Returns whether an instance still knows of an end under a request."""
        known = [r.ends[key].suspects for r in self.records if key in r.ends]
        return any(name in suspects for suspects in known)

    @rule(sender=instances, receiver=instances, count=st.integers(1, 4))
    def some_reports_arrive(self, sender, receiver, count):
        ends = list(self.records[sender].ends.values())[-count:]
        for end in ends:
            merge_end(self.records[receiver], copy(end), self.now)

    @rule()
    def all_compare_their_records(self):
        for _ in range(2):
            for sender in self.records:
                for receiver in self.records:
                    for end in list(sender.ends.values()):
                        merge_end(receiver, copy(end), self.now)
        assert len({record_digest(record) for record in self.records}) == 1
        self.check_verdicts()

    def check_verdicts(self):
        """Checks what all instances say once they know the same."""
        for name in (*CRASHERS, *POPULAR):
            found = {find_hold(r, name, self.now) is not None for r in self.records}
            assert len(found) == 1
            if found == {True}:
                assert len(self.ended[name]) >= HELD_ENDS
        worst = max(CRASHERS, key=lambda name: len(self.recent(name)))
        most = max(len(self.recent(name)) for name in (*CRASHERS, *POPULAR))
        if len(self.recent(worst)) >= HELD_ENDS and len(self.recent(worst)) == most:
            # Of requests with as many ends at least one is held.
            equal = [n for n in self.ended if len(self.recent(n)) == most]
            assert any(find_hold(self.records[1], n, self.now) for n in equal)

    def recent(self, name):
        """Returns the keys of the ends under a request that still count."""
        record = self.records[0]
        return {
            key
            for key in self.ended[name]
            if key in record.ends
            and self.now - record.ends[key].at < RETENTION_S
            and not record.ends[key].suspects[name] & Suspicion.CLEARED
        }

    def may_send(self, instance, name):
        """Returns whether an instance sends a request, perhaps as its trial."""
        hold = find_hold(self.records[instance], name, self.now)
        if hold is None:
            return True
        if self.now < hold.until:
            return False
        coordinator = self.records[COORDINATOR]
        if quarantine.take_trial(coordinator, name, self.now) > 0.0:
            return False
        again = quarantine.take_trial(coordinator, name, self.now)
        assert again > 0.0 or find_hold(coordinator, name, self.now) is None
        return True

    def end_server(self, runs, bystanders):
        self.servers += 1
        key = (f"s{self.servers}", 1)
        for instance, name in [*runs, *((2, name) for name in bystanders)]:
            record = self.records[instance]
            # The same end is reported more than once.
            record_end(record, key, "reads", [name], self.now)
            record_end(record, key, "reads", [name], self.now)
            self.ended[name].add(key)

    @invariant()
    def success_clears_the_ends_before_it(self):
        for record in self.records:
            for name, at in record.successes.items():
                for key in record.keys_of.get(name, ()):
                    assert record.ends[key].at >= at

    @invariant()
    def no_hold_without_three_ends(self):
        for record in self.records:
            for name in (*CRASHERS, *POPULAR):
                hold = find_hold(record, name, self.now)
                assert hold is None or len({e.server_id for e in hold.ends}) >= 3

    @invariant()
    def request_that_ends_three_known_servers_is_not_sent_freely(self):
        record = self.records[1]
        for name in CRASHERS:
            keys = record.keys_of.get(name, ())
            recent = [k for k in keys if self.now - record.ends[k].at < RETENTION_S]
            if len(recent) < HELD_ENDS:
                continue
            # It is held, or the requests that explain its ends are.
            held = [n for n in self.ended if find_hold(record, n, self.now)]
            explained = set().union(*(record.keys_of[n] for n in held))
            assert set(recent) <= explained


TestHeldRequests = HeldRequests.TestCase
TestHeldRequests.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)


def count_reports(record, fingerprint, now):
    """Counts each report as an end of its own."""
    ends = crashrecord.ends_of(record, fingerprint, now)
    return ends * 2


def merge_into_nothing(record, end, now):
    """Keeps only what the instance itself saw."""
    return False


def clear_nothing(record, fingerprint, now):
    """Remembers the success, and holds the ends against the request all the same."""
    record.successes[fingerprint] = now
    return []


def grant_each_trial(record, fingerprint, now):
    """Lets each instance try a held request."""
    return 0.0


def explain_all(record, fingerprint, now):
    """Takes any other suspect for the cause."""
    return True


VARIANTS = {
    "reports are counted instead of ends": (quarantine, "ends_of", count_reports),
    "reports of others are ignored": (None, "merge_end", merge_into_nothing),
    "a success clears nothing": (None, "record_success", clear_nothing),
    "each instance tries": (quarantine, "take_trial", grant_each_trial),
    "any suspect explains": (quarantine, "_is_explained", explain_all),
}


VARIANT_SETTINGS = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
)


@pytest.mark.parametrize("variant", VARIANTS)
def test_broken_variant_is_rejected(variant, monkeypatch):
    module, name, function = VARIANTS[variant]
    if module is None:
        monkeypatch.setitem(globals(), name, function)
    else:
        monkeypatch.setattr(module, name, function)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            HeldRequests,
            settings=VARIANT_SETTINGS,
        )


def test_trial_of_a_request_that_is_not_held_is_granted():
    assert take_trial(CrashRecord(60.0, HELD_ENDS), "any", 0.0) == 0.0
