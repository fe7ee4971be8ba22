"""Verdicts on requests under which servers ended, and their trials."""

import itertools

import pytest
from flamingolift_decisions.crashrecord import (
    MAX_ENDS,
    MAX_SUSPECTS,
    RETENTION_S,
    CrashRecord,
    ServerEnd,
    Suspicion,
    drop_expired,
    merge_end,
    record_digest,
    record_end,
    record_success,
)
from flamingolift_decisions.quarantine import (
    FIRST_FULL_PAUSE,
    HELD_ENDS,
    PAUSE_FACTORS,
    TRIAL_SPACING_S,
    HoldException,
    current_holds,
    find_hold,
    set_exception,
    take_trial,
)
from hypothesis import given
from hypothesis import strategies as st

PAUSE_S = 60.0


def make_record():
    return CrashRecord(PAUSE_S, min_ends=HELD_ENDS)


def end_servers(record, fingerprints, count, at=0.0, first=0):
    """Records the ends of servers, a tenth of a second apart."""
    for number in range(first, first + count):
        now = at + 0.1 * (number - first)
        record_end(record, (f"s{number}", 1), "reads", fingerprints, now)


def is_held(record, fingerprint, now):
    return find_hold(record, fingerprint, now) is not None


def test_request_is_held_at_the_third_end():
    record = make_record()
    end_servers(record, ["crasher"], 2)
    assert not is_held(record, "crasher", 1.0)
    end_servers(record, ["crasher"], 1, 1.0, first=2)
    hold = find_hold(record, "crasher", 1.0)
    assert [end.server_id for end in hold.ends] == ["s0", "s1", "s2"]
    assert (hold.service, hold.since, hold.until) == ("reads", 1.0, 1.0 + PAUSE_S)


def test_several_reports_of_one_end_count_once():
    record = make_record()
    for at in (0.0, 0.1, 0.2):
        record_end(record, ("s0", 1), "reads", ["crasher"], at)
    assert not is_held(record, "crasher", 1.0)
    # The next start of the same server is another one.
    for started_ms in (2, 3):
        record_end(record, ("s0", started_ms), "reads", ["crasher"], 1.0)
    assert is_held(record, "crasher", 1.0)


# Guards against a popular request that is refused for the ends under another one.
def test_request_is_explained_by_one_that_ended_more_servers():
    record = make_record()
    end_servers(record, ["crasher", "popular"], 3)
    end_servers(record, ["crasher"], 1, 1.0, first=3)
    assert is_held(record, "crasher", 2.0)
    assert not is_held(record, "popular", 2.0)
    # An end without the other one is its own.
    end_servers(record, ["popular"], 1, 2.0, first=4)
    assert is_held(record, "popular", 3.0)


# Guards against an innocent request that always travels with one that ends servers.
def test_earlier_success_decides_between_requests_with_the_same_ends():
    record = make_record()
    record_success(record, "popular", 0.0)
    end_servers(record, ["crasher", "popular"], 3, 1.0)
    assert is_held(record, "crasher", 2.0)
    assert not is_held(record, "popular", 2.0)


def test_requests_with_the_same_ends_and_no_success_are_all_held():
    record = make_record()
    end_servers(record, ["one", "other"], 3)
    assert is_held(record, "one", 1.0)
    assert is_held(record, "other", 1.0)
    record_success(record, "other", 70.0)
    assert is_held(record, "one", 70.0)
    assert not is_held(record, "other", 70.0)


def test_several_requests_that_end_servers_are_all_held():
    record = make_record()
    end_servers(record, ["one"], 4)
    end_servers(record, ["other"], 2, 1.0, first=4)
    record_end(record, ("s0", 1), "reads", ["other"], 1.0)
    assert is_held(record, "one", 2.0)
    assert is_held(record, "other", 2.0)


def test_success_clears_the_ends_before_it_only():
    record = make_record()
    end_servers(record, ["popular"], 3)
    record_success(record, "popular", 1.0)
    assert not is_held(record, "popular", 1.0)
    end_servers(record, ["popular"], 2, 2.0, first=3)
    assert not is_held(record, "popular", 3.0)
    end_servers(record, ["popular"], 1, 3.0, first=5)
    assert is_held(record, "popular", 3.0)


def test_success_on_one_instance_counts_on_the_others():
    ours, theirs = make_record(), make_record()
    record_success(theirs, "popular", 0.5)
    end_servers(ours, ["popular"], 3)
    for end in ours.ends.values():
        assert merge_end(theirs, end, 1.0)
    assert not is_held(theirs, "popular", 1.0)
    for end in theirs.ends.values():
        merge_end(ours, end, 1.0)
    assert not is_held(ours, "popular", 1.0)


def test_each_trial_that_ends_a_server_makes_the_next_pause_longer():
    record, now = make_record(), 0.0
    end_servers(record, ["crasher"], HELD_ENDS, now)
    for number, factor in enumerate(PAUSE_FACTORS[FIRST_FULL_PAUSE:]):
        last = find_hold(record, "crasher", now).ends[-1].at
        due_at = last + PAUSE_S * factor
        assert take_trial(record, "crasher", due_at - 1.0) == pytest.approx(1.0)
        assert is_held(record, "crasher", due_at - 1.0)
        assert take_trial(record, "crasher", due_at) == 0.0
        assert take_trial(record, "crasher", due_at) == pytest.approx(TRIAL_SPACING_S)
        now = due_at + 0.1
        record_end(record, (f"trial{number}", 1), "reads", ["crasher"], now)


def test_request_that_had_succeeded_is_tried_sooner():
    record = make_record()
    record_success(record, "popular", 0.0)
    end_servers(record, ["popular"], 3, 1.0)
    hold = find_hold(record, "popular", 2.0)
    assert hold.until == pytest.approx(1.2 + PAUSE_S / 30.0)
    # A trial without a result, such as a refusal by a full server, keeps nobody long.
    assert take_trial(record, "popular", 3.5) == 0.0
    assert take_trial(record, "popular", 3.5) == pytest.approx(PAUSE_S / 30.0)
    record_end(record, ("s9", 1), "reads", ["popular"], 4.0)
    hold = find_hold(record, "popular", 5.0)
    assert hold.until == pytest.approx(4.0 + PAUSE_S / 6.0)


# Guards against an innocent request that is held for long, since it was in flight at
# all ends under another one.
def test_requests_with_the_same_ends_are_tried_soon_and_one_after_the_other():
    record = make_record()
    end_servers(record, ["one", "other"], 3)
    first, second = (find_hold(record, name, 1.0).until for name in ("one", "other"))
    assert first == pytest.approx(0.2 + PAUSE_S / 30.0)
    assert second == pytest.approx(0.2 + 2.0 * PAUSE_S / 30.0)
    # The trial of one decides on the other: if a server ends under it, it explains all
    # ends; if it succeeds, the other alone is to blame.
    ended, succeeded = make_record(), make_record()
    for copy in (ended, succeeded):
        end_servers(copy, ["one", "other"], 3)
    record_end(ended, ("s9", 1), "reads", ["one"], 2.5)
    assert is_held(ended, "one", 3.0)
    assert not is_held(ended, "other", 3.0)
    record_success(succeeded, "one", 2.5)
    assert not is_held(succeeded, "one", 3.0)
    assert find_hold(succeeded, "other", 3.0).until == pytest.approx(0.2 + PAUSE_S)


# Guards against a popular request that is held long, since it was in flight on many
# servers when the others had not heard of it yet.
def test_ends_that_were_on_their_way_are_no_failed_trials():
    record = make_record()
    end_servers(record, ["crasher"], 8)
    hold = find_hold(record, "crasher", 1.0)
    assert hold.until == pytest.approx(0.7 + PAUSE_S)


# Guards against requests that are held since several others ended the same servers.
def test_request_is_explained_by_several_others_together():
    record = make_record()
    for number, other in enumerate(["a", "b", "c"]):
        end_servers(record, [other, "popular"], 1, first=3 * number)
        end_servers(record, [other], 2, 1.0, first=3 * number + 1)
    assert all(is_held(record, other, 2.0) for other in ("a", "b", "c"))
    assert not is_held(record, "popular", 2.0)


def test_hold_ends_with_its_evidence():
    record = make_record()
    end_servers(record, ["crasher"], 3)
    assert is_held(record, "crasher", RETENTION_S - 1.0)
    assert not is_held(record, "crasher", RETENTION_S + 1.0)
    drop_expired(record, RETENTION_S + 1.0)
    assert not record.ends
    assert not record.keys_of


def test_exceptions_of_the_operator_go_first_until_they_end():
    record = make_record()
    end_servers(record, ["crasher"], 3)
    release = HoldException(False, "the service was repaired", 2, 5.0, 100.0)
    assert set_exception(record, "crasher", release)
    assert not is_held(record, "crasher", 10.0)
    older = HoldException(True, "older", 1, 0.0, 500.0)
    assert not set_exception(record, "crasher", older)
    assert is_held(record, "crasher", 101.0)
    hold = HoldException(True, "it costs too much", 3, 0.0, 50.0)
    assert set_exception(record, "other", hold)
    assert find_hold(record, "other", 10.0).reason == "it costs too much"
    assert {h.fingerprint for h in current_holds(record, 10.0)} == {"other"}
    assert not is_held(record, "other", 51.0)


def test_record_is_bounded():
    record = make_record()
    for number in range(MAX_ENDS + 50):
        names = [f"r{number}-{i}" for i in range(MAX_SUSPECTS + 10)]
        record_end(record, (f"s{number}", 1), "reads", names, float(number))
    assert len(record.ends) == MAX_ENDS
    assert len(record.keys_of) <= MAX_ENDS * MAX_SUSPECTS
    assert min(end.at for end in record.ends.values()) == 50.0


# Guards against a report of an end that is older than all that are kept.
def test_report_that_does_not_fit_leaves_nothing_behind():
    record = make_record()
    for number in range(MAX_ENDS):
        record_end(record, (f"s{number}", 1), "reads", ["a"], 100.0 + number)
    older = ServerEnd("older", 1, "reads", 1.0, {"b": Suspicion.NONE})
    assert not merge_end(record, older, 400.0)
    assert "b" not in record.keys_of
    assert ("older", 1) not in record.ends
    assert is_held(record, "a", 400.0)


suspicions = st.sampled_from([Suspicion(value) for value in range(4)])
reports = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.floats(0.0, 10.0),
        st.dictionaries(st.sampled_from(["a", "b", "c"]), suspicions),
    ),
    max_size=8,
)


@given(reports, st.randoms(use_true_random=False))
def test_records_agree_whatever_the_order_of_the_reports(drawn, rng):
    made = []
    for shuffle, twice in itertools.product((False, True), repeat=2):
        order = [*drawn, *drawn] if twice else list(drawn)
        if shuffle:
            rng.shuffle(order)
        record = make_record()
        for number, at, suspects in order:
            merge_end(record, ServerEnd(f"s{number}", 1, "x", at, dict(suspects)), 10.0)
        made.append(record)
    assert len({record_digest(record) for record in made}) == 1
    for name in ("a", "b", "c"):
        found = [find_hold(record, name, 10.0) for record in made]
        assert len({hold and (hold.since, hold.until) for hold in found}) == 1
