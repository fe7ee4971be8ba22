"""Requests behind the current one whose connection is about to end."""

import asyncio

import pytest
from flamingolift_front import callers, forwarding
from pipelines import (
    BOOKING,
    pipeline_site,
    read_answers,
    request,
    start_work_server,
    wait_until,
)
from test_unanswered_requests import connect
from troubledserver import add_entry, stop_server

SPOOLED_BYTES = 400_000
"""Size of an answer that is read whole before its first byte is passed on (bytes), and
larger than what is kept of an early answer."""


def begin_stop(front):
    front.stopping = True
    callers.close_idle(front)


# Guards against a booking that was read behind look-ups and is dropped without an
# answer when the instance stops.
async def test_booking_behind_look_ups_is_answered_in_a_planned_stop():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.default_work_s = 0.3
        caller.writer.write(request(1) + request(2) + request(3, BOOKING, b"x"))
        await wait_until(lambda: len(server.started) == 2)
        begin_stop(site.front)
        raw = await caller.reader.read()
        assert raw.count(b"HTTP/1.1 200") == 3
        first, second, third = raw.lower().split(b"http/1.1 200")[1:]
        assert b"connection: close" not in first + second
        assert b"connection: close" in third
        assert server.started.count("q3") == 1


# Guards against a request of which a part had arrived when the answer before it closed
# the connection of a stopping instance.
async def test_request_that_arrives_in_parts_during_a_stop_is_answered():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.default_work_s = 0.1
        last = request(2)
        caller.writer.write(request(1) + last[:20])
        await wait_until(lambda: server.started)
        begin_stop(site.front)
        assert await read_answers(caller, 1) == [(200, b"q1")]
        caller.writer.write(last[20:])
        assert await read_answers(caller, 1) == [(200, b"q2")]
        assert await caller.reader.read() == b""


# Guards against requests that were read and have no answer when the process ends.
async def test_all_requests_that_were_read_are_answered_at_the_exit():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2, "q2": 5.0, "q4": 0.0}
        data = request(1) + request(2) + request(3, BOOKING, b"x") + request(4)
        caller.writer.write(data + b"".join(request(n, BOOKING) for n in range(5, 20)))
        await wait_until(lambda: server.finished == ["q4", "q1"])
        await wait_until(lambda: site.front.metrics.requests_read._value.get() == 2)
        begin_stop(site.front)
        callers.end_requests(site.front)
        answers = await read_answers(caller, 19)
        statuses = [status for status, _body in answers]
        # The second one is at work, and the fourth one had its answer.
        assert statuses == [200, 502, 503, 200] + [503] * 15
        assert answers[3] == (200, b"q4")
        assert await caller.reader.read() == b""
        await wait_until(lambda: not site.front.connections)
        assert set(server.started) == {"q1", "q2", "q4"}
        metrics = site.front.metrics
        assert metrics.requests_read._value.get() == 19
        ends = {e: metrics.request_ends.labels(e)._value.get() for e in ENDS}
        assert ends == {"answered": 2, "refused": 17, "unanswered": 0, "unread": 0}


ENDS = ("answered", "refused", "unanswered", "unread")


# Guards against an error in the instance that takes along the requests behind it.
async def test_requests_behind_a_failed_one_are_answered(monkeypatch):
    original = forwarding.find_route

    def find_route(table, req):
        if req.request_id == "q1":
            raise RuntimeError("broken")
        return original(table, req)

    monkeypatch.setattr(forwarding, "find_route", find_route)
    async with pipeline_site() as (site, server), connect(site) as caller:
        caller.writer.write(request(1) + request(2, BOOKING, b"x") + b"GARBAGE\r\n\r\n")
        statuses = [status for status, _body in await read_answers(caller, 3)]
        assert statuses == [503, 503, 400]
        assert await caller.reader.read() == b""
        assert not server.started


# Guards against a broken answer that was started early and takes along the answers of
# sound servers behind it.
async def test_broken_early_answer_costs_no_other_answer():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        server.answers["q2"] = bytes(SPOOLED_BYTES)
        server.cut = {"q2"}
        caller.writer.write(request(1) + request(2) + request(3))
        caller.writer.write(request(4, BOOKING, b"x"))
        answers = await read_answers(caller, 4)
        assert [status for status, _body in answers] == [200, 502, 200, 200]
        assert server.started.count("q4") == 1


# Guards against a broken early answer that no other server is asked for.
async def test_broken_early_answer_is_replaced_by_that_of_another_server():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        server.answers["q2"] = bytes(SPOOLED_BYTES)
        server.cut = {"q2"}
        caller.writer.write(request(1) + request(2) + request(3))
        await wait_until(lambda: "q3" in server.finished)
        other = await start_work_server(site)
        port = other.server.sockets[0].getsockname()[1]
        add_entry(site.front, "other", port, "other", slots=1000)
        add_entry(site.front, "work", server_port(server), "upland", slots=1000)
        other.answers["q2"] = bytes(SPOOLED_BYTES)
        try:
            answers = await read_answers(caller, 3)
        finally:
            await stop_server(other)
        assert answers == [(200, b"q1"), (200, bytes(SPOOLED_BYTES)), (200, b"q3")]
        assert other.started == ["q2"]


def server_port(server):
    return server.server.sockets[0].getsockname()[1]


# Guards against requests that servers run behind a streamed answer, whose end by a
# reset would take them along.
async def test_no_request_starts_behind_an_answer_that_is_streamed():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.answers = {"q1": bytes(4 << 20), "q2": bytes(4 << 20)}
        server.cut = {"q2"}
        caller.writer.write(request(1))
        assert (await read_answers(caller, 1))[0][0] == 200
        caller.writer.write(request(2) + request(3) + request(4))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await caller.reader.readexactly(8 << 20)
        await wait_until(lambda: not site.front.connections)
        assert server.started == ["q1", "q2"]
