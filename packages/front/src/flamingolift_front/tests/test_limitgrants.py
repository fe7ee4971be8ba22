"""Instances that share the limit of a backend server over their peer ports."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_decisions import backends, serverlimits
from flamingolift_front import limitgrants, peerlink
from flamingolift_front.bytestream import ByteStream
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.lookups import serve_control
from flamingolift_front.requesttrace import Trace
from flamingolift_front.viewsync import apply_snapshot
from flamingolift_model.plan import BackendEntry
from frontviews import make_entry, make_front

SERVER = BackendEntry(
    server_id="i-1",
    service="reads",
    region="upland",
    failure_domain="d0",
    host="127.0.0.1",
    port=1,
    slots=3,
    started_ms=5,
)


class Member:
    """A front that serves its peer port.

    Attributes:
        front: Front.
        backend: Backend of the limited server.
        entry: InstanceEntry.
        server: asyncio server of the peer port.
        silent: Whether it no longer answers.
        asked: Number of questions received.
    """

    __slots__ = ("asked", "backend", "entry", "front", "server", "silent")


async def start_member(number):
    member = Member()
    member.front = make_front()
    member.front.cfg.instance_id = f"front-{number}"
    member.silent, member.asked = False, 0

    async def handle(front, target):
        member.asked += 1
        if member.silent:
            await asyncio.sleep(3600.0)
        return await handle_internal(front, target)

    def on_open(stream):
        task = asyncio.ensure_future(serve_control(member.front, stream, handle))
        member.front.tasks.add(task)

    loop = asyncio.get_running_loop()
    member.server = await loop.create_server(
        lambda: ByteStream(on_open), "127.0.0.1", 0
    )
    port = member.server.sockets[0].getsockname()[1]
    member.entry = make_entry(number, port)
    return member


@contextlib.asynccontextmanager
async def run_members(change, count):
    """Starts members that list each other; coordinator and deputy first."""
    members = [await start_member(n) for n in range(count)]
    documents = [(f"instances/{n}", m.entry) for n, m in enumerate(members)]
    for member in members:
        documents_now = [*documents, ("servers/i-1", SERVER)]
        changes = [change(key, document, 1) for key, document in documents_now]
        apply_snapshot(member.front, changes, 10)
        member.backend = member.front.view.backends.backends["i-1"]
    order = serverlimits.grantors(SERVER, [m.entry for m in members])
    names = [e.instance_id for e in order]
    members.sort(key=lambda m: (*[m.entry.instance_id != n for n in names],))
    try:
        yield members
    finally:
        for member in members:
            member.server.close()
            tasks = list(member.front.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for idle in member.front.grant_links.values():
                for link in idle:
                    peerlink.close_link(link)


def answer(member, value):
    limitgrants.observe_answer(member.front, member.backend, value, time.monotonic())


async def wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def ask(member):
    trace = Trace()
    granted = await limitgrants.obtain_grant(member.front, member.backend, trace)
    return granted, trace.withheld


async def count_grants(members, for_s):
    """Returns the number of grants while the members ask in turn."""
    ends, granted = time.monotonic() + for_s, 0
    while time.monotonic() < ends:
        for member in members:
            if not backends.is_withheld(member.backend, time.monotonic()):
                granted += (await ask(member))[0]
        await asyncio.sleep(0.005)
    return granted


# Guards against instances that never had an answer of a server and send it what they
# like, and against ones that wait for a limit that has ended.
async def test_all_instances_hear_of_a_limit_and_of_its_end(change):
    async with run_members(change, 5) as members:
        answer(members[3], "4.5")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        assert {m.backend.limit.per_s for m in members} == {4.5}
        answer(members[4], None)
        await wait_until(
            lambda: not any(serverlimits.is_limited(m.backend) for m in members)
        )


async def test_grants_of_all_instances_keep_the_limit(change):
    async with run_members(change, 5) as members:
        answer(members[0], "10")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        granted = await count_grants(members, 2.0)
        # A burst of half a second may come on top.
        assert 10 <= granted <= 10.0 * (2.0 + serverlimits.BURST_S)


# Guards against a service that gets nothing while the coordinator is dead, and against
# a deputy that grants as much again as the coordinator.
async def test_deputy_grants_little_while_the_coordinator_is_silent(change):
    async with run_members(change, 4) as members:
        answer(members[0], "40")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        members[0].silent = True
        granted = await count_grants(members[1:], 2.0)
        share = serverlimits.DEPUTY_SHARE
        assert 1 <= granted <= 40.0 * share * (2.0 + serverlimits.BURST_S) + 1


async def test_server_is_withheld_when_no_grantor_responds(change):
    async with run_members(change, 4) as members:
        answer(members[0], "40")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        members[0].silent = members[1].silent = True
        granted, withheld = await ask(members[2])
        assert not granted
        assert withheld[0][:2] == ("i-1", "")
        assert backends.is_withheld(members[2].backend, time.monotonic())
        asked = members[0].asked
        members[2].backend.next_grant_at = 0.0
        await ask(members[2])
        assert members[0].asked == asked


async def test_instance_alone_grants_its_own_requests(change):
    async with run_members(change, 1) as members:
        answer(members[0], "50")
        assert await count_grants(members, 0.2) >= 1


async def test_question_about_another_incarnation_is_not_coordinated(change):
    async with run_members(change, 2) as members:
        query = {"server": "i-1", "started": "6", "limit": "3", "age_ms": "5"}
        response = await limitgrants.serve_grant(members[0].front, query)
        assert response.status == 200
        assert members[0].backend.limit is None


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e3", "4,5", "9" * 30, "2000000", "\u0664"]
)
async def test_unusable_limit_is_ignored_and_logged_once(change, value):
    async with run_members(change, 1) as members:
        lines = []
        members[0].front.log.formatter = Recorder(lines)
        answer(members[0], value)
        answer(members[0], value)
        assert not serverlimits.is_limited(members[0].backend)
        assert lines == ["server_limit_invalid"]
        answer(members[0], "3")
        assert members[0].backend.limit.per_s == 3.0


class Recorder:
    """Formatter that collects the names of the events."""

    __slots__ = ("lines",)

    def __init__(self, lines):
        self.lines = lines

    def format(self, record):
        self.lines.append(record.getMessage())
        return ""


# Guards against connections to instances that are gone, which would add up.
async def test_connections_that_a_grantor_closed_are_forgotten(change):
    async with run_members(change, 3) as members:
        answer(members[0], "40")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        await ask(members[2])
        front = members[2].front
        links = [link for idle in front.grant_links.values() for link in idle]
        assert links
        for task in list(members[0].front.tasks):
            task.cancel()
        await wait_until(lambda: all(link.stream.ended for link in links))
        limitgrants.close_ended_links(front)
        assert not front.grant_links


# Guards against a request that fails because the limit ended while it asked.
async def test_limit_that_ends_during_the_question_is_none(change):
    async with run_members(change, 2) as members:
        answer(members[0], "0.1")
        await wait_until(
            lambda: all(serverlimits.is_limited(m.backend) for m in members)
        )
        former, deputy = members
        # The former coordinator is leaving the list and knows that the limit ended.
        del former.front.view.instances[former.entry.instance_id]
        serverlimits.record_limit(former.backend, None, time.monotonic() + 0.05)
        await asyncio.sleep(0.1)
        assert (await ask(deputy))[0]
        assert not serverlimits.is_limited(deputy.backend)


async def test_malformed_question_is_refused(change):
    async with run_members(change, 1) as members:
        for query in ({"server": "i-1", "started": "5", "age_ms": "x"}, {}):
            response = await limitgrants.serve_grant(members[0].front, query)
            assert response.status == 400
