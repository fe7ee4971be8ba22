"""Retries: what is sent again, and which result the caller gets in the end."""

import pytest
from expression import Error, Ok
from flamingolift_daemon import forwarding
from flamingolift_daemon.backendclient import Outcome
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.forwarding import CallerRequest, forward_request
from flamingolift_daemon.metrics import Metrics
from flamingolift_daemon.waits import WaitGroup
from flamingolift_decisions.crashrecord import CrashRecord
from flamingolift_decisions.policyrules import ServiceRules
from flamingolift_decisions.quarantine import add_quarantine
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode
from flamingolift_model.policy import Service


class FakeInstance:
    """The attributes of an instance that forwarding uses."""

    def __init__(self):
        self.clock = Clock()
        self.metrics = Metrics("", 0)
        self.crash_log = CrashRecord()
        self.budgets = {}
        self.backends = None
        self.held_slots = {}
        self.slot_waits = WaitGroup()


class FakeSlot:
    server_id = "s1"
    service = "timetable"
    region = "r"


def make_request(instance, traffic_class="lookup", method="GET"):
    service = Service(name="timetable", traffic_class=traffic_class)
    rules = ServiceRules(service)
    deadline = instance.clock.now() + 2.0
    return CallerRequest("timetable", rules, method, "/x", [], None, "t", "f", deadline)


def stub_attempts(monkeypatch, acquired, sent):
    """Stubs the slots and the answers in order; returns the slots used."""
    calls = []

    async def acquire(instance, request, hold_s, wait_s, avoid):
        return acquired.pop(0)

    async def send(clients, slot, *args, **options):
        calls.append(slot)
        return sent.pop(0)

    monkeypatch.setattr(forwarding, "acquire_in_any_region", acquire)
    monkeypatch.setattr(forwarding, "send_request", send)
    monkeypatch.setattr(forwarding, "release_slot", lambda *args: None)
    return calls


def crashed():
    fault = Fault(ResultCode.BACKEND_FAILED, "cut")
    return Error(Outcome("crashed", True, fault))


def refused():
    fault = Fault(ResultCode.NO_BACKEND, "refused")
    return Error(Outcome("refused_connection", False, fault))


def shed():
    return Error(Outcome("not_run", False, Fault(ResultCode.OVERLOADED, "shed")))


@pytest.mark.parametrize("second", [refused, shed])
async def test_sent_request_is_never_reported_as_not_run(monkeypatch, second):
    instance = FakeInstance()
    stub_attempts(monkeypatch, [Ok(FakeSlot())] * 3, [crashed(), second(), second()])
    result = await forward_request(instance, make_request(instance))
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_full_pool_after_a_sent_attempt_is_not_reported_as_not_run(monkeypatch):
    instance = FakeInstance()
    full = Error(Fault(ResultCode.OVERLOADED, "full"))
    stub_attempts(monkeypatch, [Ok(FakeSlot()), full], [crashed()])
    result = await forward_request(instance, make_request(instance))
    assert result.error.code == ResultCode.BACKEND_FAILED


async def test_quarantine_after_a_sent_attempt_is_not_reported_as_not_run(monkeypatch):
    instance = FakeInstance()
    stub_attempts(monkeypatch, [Ok(FakeSlot())] * 2, [crashed()])
    original = forwarding.withdraw

    def quarantine_then_withdraw(budget):
        add_quarantine(instance.crash_log, "f", 60.0, instance.clock.now())
        return original(budget)

    monkeypatch.setattr(forwarding, "withdraw", quarantine_then_withdraw)
    result = await forward_request(instance, make_request(instance))
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_post_is_sent_once_when_it_may_have_run(monkeypatch):
    instance = FakeInstance()
    calls = stub_attempts(monkeypatch, [Ok(FakeSlot())] * 3, [crashed(), crashed()])
    result = await forward_request(instance, make_request(instance, method="POST"))
    assert len(calls) == 1
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_shed_request_is_retried_on_other_servers_and_reported_as_not_run(
    monkeypatch,
):
    instance = FakeInstance()
    calls = stub_attempts(monkeypatch, [Ok(FakeSlot())] * 3, [shed(), shed(), shed()])
    result = await forward_request(instance, make_request(instance, method="POST"))
    assert len(calls) == 3
    assert RESULT_CODE_INFO[result.error.code].ran == "no"


async def test_retries_stay_within_the_budget(monkeypatch):
    instance = FakeInstance()
    total = 0
    for _ in range(300):
        calls = stub_attempts(
            monkeypatch, [Ok(FakeSlot())] * 3, [shed(), shed(), shed()]
        )
        await forward_request(instance, make_request(instance))
        total += len(calls)
    assert total <= 300 + 10 + 0.1 * 300


async def test_request_waits_until_the_region_knows_its_servers(monkeypatch):
    instance = FakeInstance()
    answers = [
        Error(Fault(ResultCode.NO_BACKEND, "no backend server")),
        Error(Fault(ResultCode.NOT_READY, "no policy")),
        Ok(FakeSlot()),
    ]

    async def acquire(*args, **options):
        return answers.pop(0)

    monkeypatch.setattr(forwarding, "acquire_slot", acquire)
    monkeypatch.setattr(forwarding, "regions_to_try", lambda *args: ["r"])
    request = make_request(instance)
    got = await forwarding.acquire_in_any_region(instance, request, 1.0, 2.0, [])
    assert got.is_ok()


async def test_service_without_servers_is_refused_after_the_retry_period(monkeypatch):
    instance = FakeInstance()

    async def acquire(*args, **options):
        return Error(Fault(ResultCode.NO_BACKEND, "no backend server"))

    monkeypatch.setattr(forwarding, "acquire_slot", acquire)
    monkeypatch.setattr(forwarding, "regions_to_try", lambda *args: ["r"])
    request = make_request(instance)
    started_at = instance.clock.now()
    got = await forwarding.acquire_in_any_region(instance, request, 1.0, 10.0, [])
    assert got.error.code == ResultCode.NO_BACKEND
    assert instance.clock.now() - started_at <= forwarding.NO_SERVERS_RETRY_S + 0.5
