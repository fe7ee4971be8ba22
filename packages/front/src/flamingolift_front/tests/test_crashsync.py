"""Instances that tell each other of requests under which servers ended."""

import asyncio
import contextlib
import time

import msgpack
import pytest
from flamingolift_decisions import crashrecord, quarantine
from flamingolift_front import crashsync, crashtrials, crashwatch, peerlink
from flamingolift_front.bytestream import ByteStream
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.lookups import serve_control
from flamingolift_front.responses import problem_response
from flamingolift_front.sending import CallerRequest
from flamingolift_front.viewsync import apply_snapshot
from flamingolift_model import Fault, ResultCode
from frontviews import make_entry, make_front

DUE_S = 61.0
"""Age of the ends at which a trial is due (s)."""
KNOWN_WITHIN_S = 4.0
"""Time in which each instance that can be reached has to know of a change (s)."""


class Member:
    """A front that serves its peer port and shares its record.

    Attributes:
        front: Front.
        entry: InstanceEntry.
        server: asyncio server of the peer port.
        is_old: Whether its build knows no crash reports.
        is_cut: Whether nothing reaches it and it reaches nobody.
        asked: Number of requests received.
        tasks: List of the tasks that share its record.
    """

    __slots__ = ("asked", "entry", "front", "is_cut", "is_old", "server", "tasks")


async def start_member(number, is_old=False):
    member = Member()
    member.front = make_front()
    member.front.cfg.instance_id = f"front-{number}"
    member.is_old, member.is_cut, member.asked = is_old, False, 0
    member.tasks = []

    async def handle(front, target, body):
        member.asked += 1
        if member.is_cut:
            await asyncio.sleep(3600.0)
        if member.is_old:
            return problem_response(Fault(ResultCode.NOT_FOUND, "unknown path"))
        return await handle_internal(front, target, body)

    def on_open(stream):
        serving = serve_control(
            member.front, stream, handle, crashsync.MAX_REPORT_BYTES
        )
        member.front.tasks.add(asyncio.ensure_future(serving))

    loop = asyncio.get_running_loop()
    member.server = await loop.create_server(
        lambda: ByteStream(on_open), "127.0.0.1", 0
    )
    port = member.server.sockets[0].getsockname()[1]
    member.entry = make_entry(number, port)
    return member


def share_record(member):
    """Starts the tasks that share a member's record."""
    for function in (crashsync.spread_crashes, crashsync.pull_crashes):
        member.tasks.append(asyncio.ensure_future(function(member.front)))


async def end_tasks(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def run_members(change, count, old=0):
    """Starts members that list each other; the last ones have an older build."""
    members = [await start_member(n, n >= count - old) for n in range(count)]
    for member in members:
        changes = [change(f"instances/{n}", m.entry, 1) for n, m in enumerate(members)]
        apply_snapshot(member.front, changes, 10)
        if not member.is_old:
            share_record(member)
    try:
        yield members
    finally:
        for member in members:
            member.server.close()
            await end_tasks(member.tasks)
            await end_tasks(list(member.front.tasks))
            for link in member.front.crashes.links.values():
                peerlink.close_link(link)


def end_server(member, server_id, *fingerprints, age_s=0.0):
    """Lets a member find out that a server ended under requests."""
    key, now = (server_id, 5), time.monotonic() - age_s
    record = member.front.crashes.record
    if crashrecord.record_end(record, key, "reads", fingerprints, now):
        crashwatch.note_change(member.front, [key], fingerprints, "own")


def holds(member, fingerprint):
    record = member.front.crashes.record
    return quarantine.find_hold(record, fingerprint, time.monotonic()) is not None


async def wait_until(condition):
    async with asyncio.timeout(KNOWN_WITHIN_S):
        while not condition():
            await asyncio.sleep(0.01)


def make_request():
    return CallerRequest("q", b"GET", b"/a", [], b"", "shop.example", "", 0.0, 9.0)


# Guards against a request that ends a server at each instance, which all count by
# themselves.
@pytest.mark.parametrize(("count", "old"), [(2, 0), (12, 0), (12, 6)])
async def test_ends_at_different_instances_are_counted_together(change, count, old):
    async with run_members(change, count, old) as members:
        new = members[: count - old]
        for number in range(3):
            end_server(new[number % len(new)], f"s{number}", "crasher")
        await wait_until(lambda: all(holds(m, "crasher") for m in new))


async def test_instance_that_was_cut_off_learns_what_it_missed(change):
    async with run_members(change, 6) as members:
        cut = members[-1]
        cut.is_cut = True
        await end_tasks(cut.tasks)
        for number in range(3):
            end_server(members[0], f"s{number}", "crasher")
        await wait_until(lambda: all(holds(m, "crasher") for m in members[:-1]))
        assert not holds(cut, "crasher")
        cut.is_cut = False
        share_record(cut)
        await wait_until(lambda: holds(cut, "crasher"))


async def test_success_at_one_instance_ends_the_hold_at_all(change):
    async with run_members(change, 6) as members:
        for number in range(3):
            end_server(members[0], f"s{number}", "popular")
        await wait_until(lambda: all(holds(m, "popular") for m in members))
        now, front = time.monotonic(), members[3].front
        cleared = crashrecord.record_success(front.crashes.record, "popular", now)
        crashwatch.note_change(front, cleared, ["popular"])
        await wait_until(lambda: not any(holds(m, "popular") for m in members))


async def test_exception_of_the_operator_reaches_all(change):
    async with run_members(change, 6) as members:
        for number in range(3):
            end_server(members[0], f"s{number}", "crasher")
        await wait_until(lambda: all(holds(m, "crasher") for m in members))
        target = "/hold?request=crasher&hold=0&for_s=600&reason=repaired"
        response = await handle_internal(members[2].front, target)
        assert response.status == 200
        await wait_until(lambda: not any(holds(m, "crasher") for m in members))


# Guards against a trial by each instance at once.
async def test_one_instance_at_a_time_tries_a_held_request(change):
    async with run_members(change, 5) as members:
        for number in range(3):
            end_server(members[0], f"s{number}", "crasher", age_s=DUE_S)
        await wait_until(lambda: all(holds(m, "crasher") for m in members))
        req, waits = make_request(), []
        for member in members:
            record, now = member.front.crashes.record, time.monotonic()
            hold = quarantine.find_hold(record, "crasher", now)
            waits.append(await crashtrials.obtain_trial(member.front, req, hold))
        assert sorted(waits)[0] == 0.0
        assert sorted(waits)[1] > quarantine.TRIAL_SPACING_S / 2


async def test_trial_is_granted_by_another_when_its_coordinator_is_silent(change):
    async with run_members(change, 3) as members:
        for number in range(3):
            end_server(members[0], f"s{number}", "crasher", age_s=DUE_S)
        await wait_until(lambda: all(holds(m, "crasher") for m in members))
        for member in members[1:]:
            member.is_cut = True
        record = members[0].front.crashes.record
        hold = quarantine.find_hold(record, "crasher", time.monotonic())
        wait_s = await crashtrials.obtain_trial(members[0].front, make_request(), hold)
        assert wait_s == 0.0


# Guards against an instance that has just started and grants a trial to each that asks.
async def test_instance_that_does_not_hold_a_request_grants_no_trial():
    front = make_front()
    response = await handle_internal(front, "/trial?request=crasher")
    assert msgpack.unpackb(response.body)["coordinates"] is False


# Guards against an exception that has ended and is told on and on by instances that
# had forgotten it.
async def test_exception_that_has_ended_is_not_told():
    front = make_front()
    now = time.monotonic()
    ended = quarantine.HoldException(True, "over", 1, now - 9.0, now - 1.0)
    crashwatch.apply_exception(front, "crasher", ended)
    response = await handle_internal(front, "/crashes?known=other")
    assert msgpack.unpackb(response.body)["exceptions"] == []
    report = {"fingerprint": "x", "hold": True, "reason": "r", "number": 1}
    body = msgpack.packb({"exceptions": [{**report, "remaining_ms": 0.0}]})
    await handle_internal(front, "/crashes", body)
    assert "x" not in front.crashes.record.exceptions


# Guards against a malformed report that hides the good ones beside it.
@pytest.mark.parametrize(
    "odd", [{}, {"server": 5}, {"server": "s", "started_ms": -1}, 7, None, "s"]
)
async def test_odd_report_hides_no_other(odd):
    front = make_front()
    good = [
        {"server": f"s{n}", "started_ms": 5, "age_ms": 1.0}
        | {"suspects": [{"fingerprint": "crasher", "suspicion": 255 if n else 0}]}
        for n in range(2)
    ]
    body = msgpack.packb({"ends": [odd, *good], "exceptions": [odd]})
    response = await handle_internal(front, "/crashes", body)
    assert response.status == 200
    assert set(front.crashes.record.ends) == {("s0", 5), ("s1", 5)}
    assert set(front.crashes.record.keys_of) == {"crasher"}


@pytest.mark.parametrize(
    "body", [b"\xc1", b"\x00", msgpack.packb([1]), msgpack.packb({"ends": 5})]
)
async def test_odd_message_ends_nothing(body):
    front = make_front()
    response = await handle_internal(front, "/crashes", body)
    assert response.status == 200
    assert not front.crashes.record.ends


@pytest.mark.parametrize(
    "query",
    [
        "",
        "request=a",
        "request=a&hold=2&for_s=5",
        "request=a&hold=1&for_s=x&reason=r",
        "request=a&hold=1&for_s=5",
        "request=a&hold=1&for_s=99999999&reason=r",
    ],
)
async def test_odd_exception_is_refused_and_changes_nothing(query):
    front = make_front()
    response = await handle_internal(front, f"/hold?{query}")
    assert response.status == 400
    assert not front.crashes.record.exceptions
