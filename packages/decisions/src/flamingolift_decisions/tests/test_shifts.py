import hypothesis.strategies as st
from flamingolift_decisions.hashing import weighted_choice
from flamingolift_decisions.planner import make_plan
from flamingolift_decisions.shifts import (
    ShiftLimiter,
    advance_rows,
    largest_move,
    moved_fraction,
    step_toward,
)
from flamingolift_model.plan import Plan
from flamingolift_model.policy import Shift
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

KEYS = [f"10.{i // 250}.{i % 250}.0/24" for i in range(20_000)]
SITES = ["a", "b", "c", "d"]
CAP = 0.1
WINDOW_S = 60.0

weights = st.dictionaries(
    st.sampled_from(SITES), st.floats(0.01, 1.0), min_size=1, max_size=4
)


def quadratic_moved_fraction(old, new):
    """The cited formula, term by term."""
    p_sum, q_sum = sum(old.values()), sum(new.values())
    p = {n: w / p_sum for n, w in old.items()}
    q = {n: w / q_sum for n, w in new.items()}
    kept = 0.0
    for i in set(p) & set(q):
        total = sum(
            max(p.get(j, 0.0) / p[i], q.get(j, 0.0) / q[i]) for j in set(p) | set(q)
        )
        kept += 1.0 / total
    return 1.0 - kept


@given(weights, weights)
def test_moved_fraction_is_the_cited_formula(old, new):
    assert abs(moved_fraction(old, new) - quadratic_moved_fraction(old, new)) < 1e-9


@given(weights, weights, weights)
def test_moves_add_up(first, second, third):
    whole = moved_fraction(first, third)
    parts = moved_fraction(first, second) + moved_fraction(second, third)
    assert whole <= parts + 1e-9


def test_moved_fraction_matches_a_count():
    old = {"a": 0.5, "b": 0.3, "c": 0.2}
    new = {"a": 0.2, "b": 0.3, "d": 0.5}
    moved = sum(weighted_choice(k, old) != weighted_choice(k, new) for k in KEYS)
    assert abs(moved / len(KEYS) - moved_fraction(old, new)) < 0.02


@given(weights, weights, st.floats(0.0, 1.0))
def test_step_stays_within_its_budget(old, new, budget):
    rows, moved = step_toward({"s": {"o": old}}, {"s": {"o": new}}, budget)
    assert moved <= budget + 1e-9
    assert abs(largest_move({"s": {"o": old}}, rows) - moved) < 1e-9


class CappedShifts(RuleBasedStateMachine):
    """Deciders that race, pause and lie about the time; one instance that guards."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        self.stored = Plan(number=0, policy_number=1, rows={"s": {"o": {"a": 1.0}}})
        self.read = {}
        self.guard = ShiftLimiter()
        advance_rows(self.guard, self.stored, CAP, WINDOW_S, self.now)
        self.trail = [(self.now, {"a": 1.0})]

    @rule(decider=st.integers(0, 2), skew=st.floats(-200.0, 200.0))
    def read_plan(self, decider, skew):
        self.read[decider] = (self.stored, self.now + skew)

    @rule(decider=st.integers(0, 2), wanted=weights)
    def write_plan(self, decider, wanted):
        if decider not in self.read:
            return
        current, clock = self.read.pop(decider)
        shift = Shift(cap=CAP, window_s=WINDOW_S)
        planned = make_plan(
            current, {"s": {"o": wanted}}, {}, 1, shift, max(0.0, clock), "d", "id"
        )
        if planned is not None and current is self.stored:
            self.stored = planned

    @rule(wanted=weights)
    def faulty_decider_ignores_the_cap(self, wanted):
        self.stored = Plan(
            number=self.stored.number + 1, policy_number=1, rows={"s": {"o": wanted}}
        )

    @rule(seconds=st.floats(0.0, 90.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def instance_takes_the_plan(self):
        advance_rows(self.guard, self.stored, CAP, WINDOW_S, self.now)
        self.trail.append((self.now, dict(self.guard.rows["s"]["o"])))

    @invariant()
    def no_window_moves_more_than_the_cap(self):
        last_at, last = self.trail[-1]
        for at, row in self.trail[-12:]:
            if last_at - at < WINDOW_S:
                assert moved_fraction(row, last) <= CAP + 1e-6


TestCappedShifts = CappedShifts.TestCase
