"""Answers to requests that were started before their turn, and break off or stall."""

import asyncio
import time

import pytest
from flamingolift_front import crashwatch
from pipelines import (
    BOOKING,
    pipeline_site,
    read_answers,
    request,
    start_work_server,
    wait_until,
)
from test_unanswered_requests import connect, read_answer
from troubledserver import add_entry, stop_server

SPOOLED_BYTES = 400_000
"""Size of an answer that is read whole before its first byte is passed on (bytes), and
larger than what is kept of an early answer."""


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


async def add_second_server(site, server, is_cut=False):
    """Adds a server that answers q2, and ends the suspension of the first one."""
    other = await start_work_server(site)
    add_entry(site.front, "other", server_port(other), "other", slots=1000)
    add_entry(site.front, "work", server_port(server), "upland", slots=1000)
    other.answers["q2"] = bytes(SPOOLED_BYTES)
    if is_cut:
        other.cut = {"q2"}
    return other


# Guards against a broken early answer that no other server is asked for, and against a
# second broken one that takes along the answers behind it.
@pytest.mark.parametrize(("is_cut", "status"), [(False, 200), (True, 502)])
async def test_broken_early_answer_is_asked_for_at_another_server(is_cut, status):
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        server.answers["q2"] = bytes(SPOOLED_BYTES)
        server.cut = {"q2"}
        caller.writer.write(request(1) + request(2) + request(3))
        caller.writer.write(request(4, BOOKING, b"x"))
        await wait_until(lambda: "q3" in server.finished)
        other = await add_second_server(site, server, is_cut)
        try:
            answers = await read_answers(caller, 4)
        finally:
            await stop_server(other)
        assert [answer[0] for answer in answers] == [200, status, 200, 200]
        assert is_cut or answers[1][1] == bytes(SPOOLED_BYTES)
        assert other.started[:1] == ["q2"]
        assert not site.front.streamed_routes


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


# Guards against an early answer that stalls and holds back the others beyond the
# timeout of its route.
async def test_stalled_early_answer_ends_with_its_route():
    async with pipeline_site(timeout_s=1.0) as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        server.answers["q2"] = bytes(SPOOLED_BYTES)
        server.stalled = {"q2"}
        sent_at = time.monotonic()
        caller.writer.write(request(1) + request(2) + request(3))
        answers = await read_answers(caller, 3)
        assert [status for status, _body in answers] == [200, 504, 200]
        # The rule's bound is 0.5 s after the timeout.
        assert time.monotonic() - sent_at < 1.5


# Guards against a request that stays a suspect though its early answer was whole.
async def test_whole_early_answer_counts_as_success(monkeypatch):
    succeeded, original = [], crashwatch.note_success

    def note_success(front, req):
        succeeded.append(req.request_id)
        original(front, req)

    monkeypatch.setattr(crashwatch, "note_success", note_success)
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        server.answers["q2"] = bytes(SPOOLED_BYTES)
        caller.writer.write(request(1) + request(2))
        await read_answer(caller)
        assert (await read_answer(caller))[0] == 200
        assert "q2" in succeeded
