"""What a caller is told about a request that was tried more than once."""

import pytest
from expression import Error, Ok
from flamingolift_daemon import forwarding
from flamingolift_daemon.backendclient import Outcome
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.forwarding import Forward, forward_request
from flamingolift_daemon.metrics import Metrics
from flamingolift_decisions.policyrules import ServiceRules
from flamingolift_decisions.quarantine import CrashLog, add_quarantine
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode
from flamingolift_model.policy import Service


class FakeInstance:
    """The parts of an instance that forwarding uses."""

    def __init__(self):
        self.clock = Clock()
        self.metrics = Metrics("", 0)
        self.crash_log = CrashLog()
        self.budgets = {}
        self.backends = None
        self.held_slots = {}


class FakeSlot:
    server_id = "s1"
    service = "timetable"
    region = "r"


def make_forward(instance, traffic_class="lookup", method="GET"):
    service = Service(name="timetable", traffic_class=traffic_class)
    rules = ServiceRules(service)
    deadline = instance.clock.now() + 2.0
    return Forward("timetable", rules, method, "/x", [], None, "t", "f", deadline)


def script(monkeypatch, acquired, sent):
    """Makes the slots and the answers follow a script; returns the calls."""
    calls = []

    async def acquire(instance, forward, hold_s, wait_s, avoid):
        return acquired.pop(0)

    async def send(clients, slot, *args, **options):
        calls.append(slot)
        return sent.pop(0)

    monkeypatch.setattr(forwarding, "acquire_anywhere", acquire)
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
async def test_sent_request_is_never_said_not_to_have_run(monkeypatch, second):
    instance = FakeInstance()
    script(monkeypatch, [Ok(FakeSlot())] * 3, [crashed(), second(), second()])
    result = await forward_request(instance, make_forward(instance))
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_full_pool_after_a_sent_try_is_not_a_refusal(monkeypatch):
    instance = FakeInstance()
    full = Error(Fault(ResultCode.OVERLOADED, "full"))
    script(monkeypatch, [Ok(FakeSlot()), full], [crashed()])
    result = await forward_request(instance, make_forward(instance))
    assert result.error.code == ResultCode.BACKEND_FAILED


async def test_quarantine_after_a_sent_try_is_not_a_refusal(monkeypatch):
    instance = FakeInstance()
    script(monkeypatch, [Ok(FakeSlot())] * 2, [crashed()])
    original = forwarding.withdraw

    def convict(budget):
        add_quarantine(instance.crash_log, "f", 60.0, instance.clock.now())
        return original(budget)

    monkeypatch.setattr(forwarding, "withdraw", convict)
    result = await forward_request(instance, make_forward(instance))
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_post_is_sent_once_when_it_may_have_run(monkeypatch):
    instance = FakeInstance()
    calls = script(monkeypatch, [Ok(FakeSlot())] * 3, [crashed(), crashed()])
    result = await forward_request(instance, make_forward(instance, method="POST"))
    assert len(calls) == 1
    assert RESULT_CODE_INFO[result.error.code].ran == "unknown"


async def test_shed_request_goes_elsewhere_and_is_not_run_in_the_end(monkeypatch):
    instance = FakeInstance()
    calls = script(monkeypatch, [Ok(FakeSlot())] * 3, [shed(), shed(), shed()])
    result = await forward_request(instance, make_forward(instance, method="POST"))
    assert len(calls) == 3
    assert RESULT_CODE_INFO[result.error.code].ran == "no"


async def test_retries_stay_within_the_budget(monkeypatch):
    instance = FakeInstance()
    total = 0
    for _ in range(300):
        calls = script(monkeypatch, [Ok(FakeSlot())] * 3, [shed(), shed(), shed()])
        await forward_request(instance, make_forward(instance))
        total += len(calls)
    assert total <= 300 + 10 + 0.1 * 300


async def test_region_that_learns_of_its_servers_late_serves_the_request(monkeypatch):
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
    forward = make_forward(instance)
    got = await forwarding.acquire_anywhere(instance, forward, 1.0, 2.0, [])
    assert got.is_ok()


async def test_service_without_servers_is_refused_after_a_short_while(monkeypatch):
    instance = FakeInstance()

    async def acquire(*args, **options):
        return Error(Fault(ResultCode.NO_BACKEND, "no backend server"))

    monkeypatch.setattr(forwarding, "acquire_slot", acquire)
    monkeypatch.setattr(forwarding, "regions_to_try", lambda *args: ["r"])
    forward = make_forward(instance)
    began = instance.clock.now()
    got = await forwarding.acquire_anywhere(instance, forward, 1.0, 10.0, [])
    assert got.error.code == ResultCode.NO_BACKEND
    assert instance.clock.now() - began <= forwarding.UNKNOWN_SERVERS_S + 0.5
