import hypothesis.strategies as st
from flamingolift_decisions.bookings import (
    BookingTable,
    KeyFacts,
    begin_booking,
    complete_claim,
    expire_records,
    finish_booking,
    record_claim,
    resolve_key,
)
from flamingolift_model import ResultCode
from flamingolift_model.peer import BookingAnswer
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

LIFETIME_S = 100.0
KEYS = ["k1", "k2", "k3"]
DIGEST = b"d"


def make_facts(expires_at=LIFETIME_S):
    return KeyFacts("home", 1, "witness", 1, expires_at, "seat-booking")


def make_table(size=100):
    return BookingTable(size, 10_000, LIFETIME_S)


def make_answer():
    return BookingAnswer(status=201, headers=[], body=b"seat")


class Bookings(RuleBasedStateMachine):
    """A home and a witness under lost messages, crashes, pauses and clock skew."""

    def __init__(self):
        super().__init__()
        self.home, self.witness = make_table(), make_table()
        self.clock = {"home": 0.0, "witness": 0.0}
        self.runs = dict.fromkeys(KEYS, 0)
        self.reported_not_run = set()
        self.claimed = set()
        self.running = set()

    @rule(
        key=st.sampled_from(KEYS),
        claim_answered=st.booleans(),
        claim_delivered=st.booleans(),
    )
    def home_begins(self, key, claim_answered, claim_delivered):
        if self.home is None:
            return
        facts = make_facts()
        begun = begin_booking(self.home, key, DIGEST, facts, self.clock["home"])
        if begun.is_error() or begun.ok != "run":
            return
        granted = False
        if claim_delivered and self.witness is not None:
            now = self.clock["witness"]
            claim = record_claim(self.witness, key, DIGEST, facts, now)
            granted = claim.is_ok() and claim_answered
        if granted:
            self.running.add(key)
        else:
            finish_booking(self.home, key, ResultCode.BOOKING_NOT_RUN)
            self.reported_not_run.add(key)

    @rule(
        key=st.sampled_from(KEYS),
        end=st.sampled_from(["done", "unknown", "shed"]),
        completion_delivered=st.booleans(),
    )
    def home_runs(self, key, end, completion_delivered):
        if self.home is None or key not in self.running:
            return
        self.running.discard(key)
        code = {
            "done": ResultCode.OK,
            "unknown": ResultCode.OUTCOME_UNKNOWN,
            "shed": ResultCode.OVERLOADED,
        }[end]
        if end != "shed":
            self.runs[key] += 1
        answer = make_answer() if end == "done" else None
        finish_booking(self.home, key, code, answer)
        if completion_delivered and self.witness is not None:
            complete_claim(self.witness, key, code, answer)

    @rule(key=st.sampled_from(KEYS))
    def witness_resolves(self, key):
        if self.witness is None:
            return
        now = self.clock["witness"]
        found = resolve_key(self.witness, key, DIGEST, make_facts(), now)
        if found.is_error() and found.error.code == ResultCode.BOOKING_NOT_RUN:
            self.reported_not_run.add(key)

    @rule()
    def home_crashes(self):
        self.home, self.running = None, set()

    @rule()
    def witness_crashes(self):
        self.witness = None

    @rule(who=st.sampled_from(["home", "witness"]), seconds=st.floats(0.0, 60.0))
    def time_passes(self, who, seconds):
        self.clock[who] += seconds
        table = self.home if who == "home" else self.witness
        if table is not None:
            expire_records(table, self.clock[who])

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def reported_not_run_never_ran(self):
        assert all(self.runs[key] == 0 for key in self.reported_not_run)


TestBookings = Bookings.TestCase


def test_full_table_refuses_new_keys_and_keeps_its_records():
    table = make_table(size=1)
    assert begin_booking(table, "k1", DIGEST, make_facts(), 0.0).ok == "run"
    refused = begin_booking(table, "k2", DIGEST, make_facts(), 0.0)
    assert refused.error.code == ResultCode.BOOKING_TABLE_FULL
    assert begin_booking(table, "k1", DIGEST, make_facts(), 0.0).ok == "wait"


def test_record_outlives_its_key():
    table = make_table()
    begin_booking(table, "k1", DIGEST, make_facts(), 0.0)
    finish_booking(table, "k1", ResultCode.OK, make_answer())
    assert expire_records(table, LIFETIME_S + 1.0) == 0
    assert expire_records(table, 2 * LIFETIME_S) == 1
    late = begin_booking(table, "k1", DIGEST, make_facts(), 2 * LIFETIME_S)
    assert late.error.code == ResultCode.KEY_EXPIRED


def test_answer_too_large_to_store_is_reported_as_run():
    table = BookingTable(10, 600, LIFETIME_S)
    begin_booking(table, "k1", DIGEST, make_facts(), 0.0)
    large = BookingAnswer(status=201, headers=[], body=b"x" * 1_000)
    finish_booking(table, "k1", ResultCode.OK, large)
    again = begin_booking(table, "k1", DIGEST, make_facts(), 1.0)
    assert again.error.code == ResultCode.ANSWER_NOT_KEPT
