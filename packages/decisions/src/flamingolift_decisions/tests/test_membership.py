import hypothesis.strategies as st
from flamingolift_decisions.documents import LatestDocuments, offer_document
from flamingolift_decisions.membership import (
    Membership,
    apply_live_list,
    apply_state,
    changes_since,
    confirm_dead,
    mark_suspect,
    record_contact,
    serving_instances,
)
from flamingolift_decisions.topology import desired_peers
from flamingolift_model.peer import MemberState
from flamingolift_model.plan import InstanceEntry, LiveList
from hypothesis import given

NAMES = [f"i{n}" for n in range(6)]


def make_entry(name, domain="d1", region="r1", state="live"):
    return InstanceEntry(
        instance_id=name,
        region=region,
        failure_domain=domain,
        host="127.0.0.1",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        state=state,
    )


def make_list(number, names=NAMES):
    return LiveList(number=number, instances=[make_entry(n) for n in names])


def make_view():
    view = Membership("i0", 1, 0.0)
    apply_live_list(view, make_list(1), 0.0)
    for name in NAMES[1:]:
        record_contact(view, name, 1, 0.0)
    return view


def test_live_list_alone_cannot_empty_the_fleet():
    view = make_view()
    assert not apply_live_list(view, make_list(2, []), 1.0)
    assert set(serving_instances(view)[0]) == set(NAMES)


def test_heartbeats_alone_cannot_empty_the_fleet():
    view = make_view()
    for name in NAMES[1:]:
        mark_suspect(view, name, 1, 1.0)
    confirm_dead(view, 10.0)
    serving, isolated = serving_instances(view)
    assert isolated
    assert set(serving) == set(NAMES)


def test_a_minority_of_dead_is_left_out():
    view = make_view()
    mark_suspect(view, "i1", 1, 1.0)
    assert "i1" in serving_instances(view)[0]
    assert confirm_dead(view, 10.0) == ["i1"]
    serving, isolated = serving_instances(view)
    assert not isolated
    assert "i1" not in serving


def test_instance_that_answers_stays_although_the_list_lost_it():
    view = make_view()
    assert apply_live_list(view, make_list(2, NAMES[:-1]), 1.0)
    assert NAMES[-1] in serving_instances(view)[0]


def test_suspicion_of_oneself_is_refuted():
    view = make_view()
    accused = MemberState(instance_id="i0", incarnation=1, state="dead")
    assert apply_state(view, accused, 1.0)
    states, _ = changes_since(view, 0, 64)
    mine = next(s for s in states if s.instance_id == "i0")
    assert (mine.state, mine.refutation) == ("alive", 1)


def test_older_list_is_ignored():
    view = make_view()
    apply_live_list(view, make_list(5), 1.0)
    assert not apply_live_list(view, make_list(4, NAMES[:1]), 2.0)


states = st.builds(
    MemberState,
    instance_id=st.sampled_from(NAMES[1:]),
    incarnation=st.integers(1, 3),
    refutation=st.integers(0, 2),
    state=st.sampled_from(["alive", "suspect", "dead"]),
)


@given(st.lists(states, max_size=12), st.randoms(use_true_random=False))
def test_views_agree_whatever_the_order(updates, rng):
    views = []
    for _ in range(2):
        view = Membership("i0", 1, 0.0)
        for update in updates:
            apply_state(view, update, 0.0)
        views.append(
            {n: (m.incarnation, m.refutation, m.state) for n, m in view.members.items()}
        )
        updates = list(updates)
        rng.shuffle(updates)
    assert views[0] == views[1]


@given(st.lists(st.integers(0, 50), max_size=30))
def test_documents_never_go_back(numbers):
    shelf, seen = LatestDocuments(), -1
    for number in numbers:
        taken = offer_document(shelf, "policy", number, b"", None)
        assert taken == (number > seen)
        seen = max(seen, number)
        assert shelf.held["policy"].number == seen


def test_peers_do_not_grow_with_the_fleet():
    sizes = []
    for count in (24, 240, 2_400):
        entries = {
            f"i{n}": make_entry(f"i{n}", f"d{n % 48}", f"r{n % 16}")
            for n in range(count)
        }
        wanted = [
            len(desired_peers(entries, entries[f"i{n}"], 2, 2)) for n in range(24)
        ]
        sizes.append(max(wanted))
    assert max(sizes) <= 7
