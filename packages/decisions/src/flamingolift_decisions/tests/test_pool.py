import hypothesis.strategies as st
from flamingolift_decisions.fairness import FairQueue, pop_next, push_waiter
from flamingolift_decisions.pool import (
    Grant,
    SlotPool,
    SlotRequest,
    expire_grants,
    grant_or_queue,
    grant_waiting,
    release_grant,
    sync_servers,
)
from flamingolift_decisions.servers import record_probe, usable_slots
from flamingolift_model.plan import BackendEntry
from flamingolift_model.policy import Service
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

SLOTS = 3
SERVERS = ["s1", "s2", "s3"]


def make_service(**changes):
    values = {"name": "timetable", "traffic_class": "lookup", "slots": SLOTS}
    return Service(**{**values, "ramp_s": 0.0, **changes})


def make_entry(name, state="live"):
    return BackendEntry(
        server_id=name,
        service="timetable",
        region="r",
        failure_domain="d",
        host="127.0.0.1",
        port=1,
        slots=SLOTS,
        state=state,
    )


def make_pool(now=0.0, names=SERVERS):
    pool = SlotPool(make_service(), 1, now, 0.0)
    sync_servers(pool, make_service(), [make_entry(n) for n in names], set(), {}, now)
    return pool


def make_request(tenant="t", fingerprint="", hold_s=10.0):
    return SlotRequest("i", tenant, fingerprint, hold_s)


class Slots(RuleBasedStateMachine):
    """Grants, releases, drains, probes and false load reports in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.pool = make_pool()
        self.held = []
        self.drained = set()

    @rule(tenant=st.sampled_from("abc"), wait_s=st.sampled_from([0.0, 5.0]))
    def request_slot(self, tenant, wait_s):
        queued = grant_or_queue(
            self.pool, make_request(tenant), wait_s, object(), self.now
        )
        if queued.is_ok() and isinstance(queued.ok, Grant):
            assert queued.ok.server.entry.server_id not in self.drained
            self.held.append(queued.ok.grant_id)

    @rule(
        outcome=st.sampled_from(
            ["ok", "timeout", "crashed", "not_run", "cancelled", "refused_connection"]
        )
    )
    def release(self, outcome):
        if self.held:
            release_grant(self.pool, self.held.pop(0), outcome, 5.0, self.now)
            self.grant_to_waiters()

    @rule(seconds=st.floats(0.0, 8.0))
    def time_passes(self, seconds):
        self.now += seconds
        expire_grants(self.pool, self.now)
        self.held = [g for g in self.held if g in self.pool.grants]
        self.grant_to_waiters()

    @rule(
        name=st.sampled_from(SERVERS),
        alive=st.booleans(),
        draining=st.booleans(),
        busy=st.integers(0, 9),
    )
    def probe(self, name, alive, draining, busy):
        record_probe(self.pool.servers[name], alive, draining, busy, self.now)

    @rule(names=st.sets(st.sampled_from(SERVERS)))
    def operator_drains(self, names):
        self.drained = names
        entries = [make_entry(n) for n in SERVERS]
        sync_servers(self.pool, make_service(), entries, names, {}, self.now)

    def grant_to_waiters(self):
        served, _ = grant_waiting(self.pool, self.now)
        for _, grant in served:
            assert grant.server.entry.server_id not in self.drained
            self.held.append(grant.grant_id)

    @invariant()
    def counts_agree_and_no_server_exceeds_its_slots(self):
        for server in self.pool.servers.values():
            held = [g for g in self.pool.grants.values() if g.server is server]
            assert server.granted == len(held) <= server.slots

    @invariant()
    def drained_servers_have_no_usable_slots(self):
        for name in self.drained:
            assert usable_slots(self.pool.servers[name], self.now) == 0


TestSlots = Slots.TestCase


def test_report_of_zero_load_frees_nothing():
    pool = make_pool(names=["s1"])
    for _ in range(SLOTS):
        assert isinstance(
            grant_or_queue(pool, make_request(), 0.0, None, 0.0).ok, Grant
        )
    record_probe(pool.servers["s1"], True, False, 0, 0.1)
    assert grant_or_queue(pool, make_request(), 0.0, None, 0.1).is_error()


def test_report_of_full_load_cannot_take_a_server_out_of_use():
    pool = make_pool(names=["s1"])
    record_probe(pool.servers["s1"], True, False, SLOTS, 0.1)
    assert isinstance(grant_or_queue(pool, make_request(), 0.0, None, 0.1).ok, Grant)


def test_timeouts_lower_the_limit_although_the_report_is_zero():
    pool = make_pool(names=["s1"])
    grants = [
        grant_or_queue(pool, make_request(), 0.0, None, 0.0).ok for _ in range(SLOTS)
    ]
    for grant in grants:
        release_grant(pool, grant.grant_id, "timeout", 2_000.0, 1.0)
    record_probe(pool.servers["s1"], True, False, 0, 1.1)
    assert usable_slots(pool.servers["s1"], 1.1) < SLOTS


def test_one_tenant_cannot_starve_another():
    queue = FairQueue(10, 0.5)
    for _ in range(8):
        push_waiter(queue, "surge", 9.0, None, "surge")
    assert push_waiter(queue, "club", 9.0, None, "club") is not None
    turns = [pop_next(queue).tenant for _ in range(2)]
    assert "club" in turns
    assert queue.size == 4


def crash_server_with(pool, names, now):
    for fingerprint in names:
        grant_or_queue(pool, make_request(fingerprint=fingerprint), 0.0, None, now)
    quarantined_fingerprint = None
    for grant_id in list(pool.grants):
        found = release_grant(pool, grant_id, "crashed", 1.0, now)
        quarantined_fingerprint = quarantined_fingerprint or found
    for server in pool.servers.values():
        record_probe(server, False, False, None, now + 2.0)
        record_probe(server, True, False, None, now + 3.0)
    return quarantined_fingerprint


def test_crashing_request_is_quarantined_and_bystanders_are_not():
    pool = make_pool(names=["s1"])
    assert crash_server_with(pool, ["crasher", "bystander-1"], 0.0) is None
    assert crash_server_with(pool, ["crasher", "bystander-2"], 10.0) == "crasher"
    refused = grant_or_queue(pool, make_request(fingerprint="crasher"), 0.0, None, 20.0)
    assert refused.is_error()
    served = grant_or_queue(
        pool, make_request(fingerprint="bystander-1"), 0.0, None, 20.0
    )
    assert served.is_ok()
    later = grant_or_queue(pool, make_request(fingerprint="crasher"), 0.0, None, 100.0)
    assert later.is_ok()


def test_popular_request_that_also_succeeds_is_not_quarantined():
    pool = make_pool(names=["s1"])
    for at in (0.0, 10.0, 20.0, 30.0):
        assert crash_server_with(pool, ["popular"], at) is None
        grant = grant_or_queue(
            pool, make_request(fingerprint="popular"), 0.0, None, at + 5.0
        )
        release_grant(pool, grant.ok.grant_id, "ok", 5.0, at + 5.1)


def send_alone(pool, fingerprint, outcome, now):
    """Takes a slot for a request if it may be sent; returns whether it was."""
    granted = grant_or_queue(
        pool, make_request(fingerprint=fingerprint), 0.0, None, now
    )
    if granted.is_error():
        return False
    release_grant(pool, granted.ok.grant_id, outcome, 5.0, now)
    return True


def test_two_requests_always_in_flight_together_are_told_apart_by_trials():
    pool = make_pool(names=["s1"])
    for at in (0.0, 10.0):
        assert crash_server_with(pool, ["crasher", "twin"], at) is None
    # The third end holds both: the fourth is the one to prevent.
    assert crash_server_with(pool, ["crasher", "twin"], 20.0) is not None
    for name in ("crasher", "twin"):
        assert not send_alone(pool, name, "ok", 21.0)
    assert send_alone(pool, "crasher", "crashed", 23.0)
    record_probe(pool.servers["s1"], False, False, None, 24.0)
    record_probe(pool.servers["s1"], True, False, None, 25.0)
    assert send_alone(pool, "twin", "ok", 26.0)
    assert not send_alone(pool, "crasher", "ok", 80.0)
