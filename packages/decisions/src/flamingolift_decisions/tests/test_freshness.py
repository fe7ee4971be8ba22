"""That a view is never older than its proof says, whatever its sources do.

The machine models the store, instances that watch it and an instance that follows them.
Any source may go silent, answer from an old view, restart, or deliver only a part; time
passes between all steps.
"""

import pytest
from flamingolift_decisions import freshness
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

APPLY_S = 2.5
WATCHERS = 2
STEP_S = 0.1


def proof_of(fresh, now):
    """Returns what an instance may say of its view: its revision and proof."""
    return fresh.position, now - freshness.proof_age(fresh, now)


def liveness_as_proof(fresh, now):
    """Takes the fact that an instance answers for a proof of its view."""
    return fresh.position, now


def proof_without_revision(fresh, now):
    """Passes on the moment of a proof whose revision was not reached."""
    pending = [as_of for as_of, _revision in fresh.pending]
    return fresh.position, max([fresh.proven_at, *pending])


class Views(RuleBasedStateMachine):
    """A store, instances that watch it, and one that follows them.

    Attributes:
        statement: Function that an instance answers its followers by.
    """

    statement = staticmethod(proof_of)

    @initialize()
    def start(self):
        self.now = 100.0
        self.written = [0.0]
        self.views = [freshness.Freshness() for _ in range(WATCHERS + 1)]
        self.delivered = [0] * WATCHERS
        for fresh in self.views:
            freshness.record_position(fresh, 0, self.now, self.now)
            freshness.advance(fresh, 0, self.now)

    @property
    def revision(self):
        return len(self.written) - 1

    @rule(steps=st.integers(1, 20))
    def wait(self, steps):
        self.now += steps * STEP_S

    @rule()
    def write(self):
        self.now += STEP_S
        self.written.append(self.now)

    @precondition(lambda self: self.revision > 0)
    @rule(watcher=st.integers(0, WATCHERS - 1), missing=st.integers(0, 3))
    def deliver(self, watcher, missing):
        """A watch delivers changes, up to all of them."""
        fresh = self.views[watcher]
        reached = max(fresh.position, self.revision - missing)
        freshness.advance(fresh, reached, self.now)

    @rule(watcher=st.integers(0, WATCHERS), late=st.integers(0, 30))
    def check(self, watcher, late):
        """The store's answer to a read of its position arrives late."""
        sent_at, position = self.now, self.revision
        self.now += late * STEP_S
        freshness.record_position(self.views[watcher], position, sent_at, self.now)

    @rule(watcher=st.integers(0, WATCHERS - 1), takes=st.booleans())
    def answer(self, watcher, takes):
        """A watcher answers the follower, which may not get the update itself."""
        position, as_of = self.statement(self.views[watcher], self.now)
        follower = self.views[WATCHERS]
        freshness.record_proof(follower, position, as_of, self.now)
        if takes and position > follower.position:
            freshness.advance(follower, position, self.now)

    @rule(watcher=st.integers(0, WATCHERS), claim=st.integers(0, 50))
    def claim(self, watcher, claim):
        freshness.record_claim(self.views[watcher], claim)

    @rule(watcher=st.integers(0, WATCHERS - 1))
    def restart(self, watcher):
        """A watcher starts anew from a stale read, which proves nothing."""
        self.views[watcher] = freshness.Freshness()
        freshness.advance(self.views[watcher], self.revision // 2, self.now)

    @invariant()
    def views_are_as_recent_as_proven(self):
        for fresh in getattr(self, "views", ()):
            lacking = self.written[fresh.position + 1 :]
            assert not lacking or lacking[0] >= fresh.proven_at

    @invariant()
    def an_unproven_view_is_due(self):
        for fresh in getattr(self, "views", ()):
            if freshness.proof_age(fresh, self.now) >= freshness.expiry_age(APPLY_S):
                assert freshness.is_due(fresh, APPLY_S, self.now)


class TestViews(Views.TestCase):
    settings = settings(max_examples=200, stateful_step_count=40, deadline=None)


# Guards against the fault of the report, and a twin of it, passing the machine: an
# answer that is taken for a proof, and a proof that is separated from its revision.
@pytest.mark.parametrize("statement", [liveness_as_proof, proof_without_revision])
def test_machine_rejects_proofs_that_say_too_much(statement):
    broken = type("Broken", (Views,), {"statement": staticmethod(statement)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            broken,
            settings=settings(
                max_examples=2000,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                print_blob=False,
            ),
        )


def test_limits_leave_time_for_the_change_itself():
    renewal_s = freshness.renewal_age(APPLY_S) + freshness.heartbeat_wait(APPLY_S)
    attempts_s = 2.0 * freshness.check_timeout(APPLY_S)
    assert renewal_s + attempts_s <= freshness.expiry_age(APPLY_S) + 0.1
    # The rest is for a connection to the store and a read.
    assert freshness.expiry_age(APPLY_S) <= 0.8 * APPLY_S
    caught_up_s = renewal_s + freshness.catch_up_time(APPLY_S) + attempts_s
    assert caught_up_s <= 0.9 * APPLY_S


def test_claim_of_another_instance_is_refuted_by_the_store():
    fresh = freshness.Freshness()
    freshness.record_position(fresh, 5, 1.0, 1.0)
    freshness.advance(fresh, 5, 1.0)
    freshness.record_claim(fresh, 1000)
    assert freshness.is_due(fresh, APPLY_S, 1.1)
    assert not freshness.is_behind(fresh)
    freshness.record_position(fresh, 5, 1.2, 1.2)
    assert not freshness.is_due(fresh, APPLY_S, 1.3)


def test_silence_counts_from_the_last_progress():
    fresh = freshness.Freshness()
    freshness.record_position(fresh, 9, 1.0, 1.0)
    assert freshness.is_behind(fresh) and fresh.behind_since == 1.0
    freshness.advance(fresh, 7, 3.0)
    assert freshness.is_behind(fresh) and fresh.behind_since == 3.0
    freshness.advance(fresh, 9, 4.0)
    assert not freshness.is_behind(fresh) and fresh.proven_at == 1.0
