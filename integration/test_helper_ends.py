"""Ends of another instance while requests are handed on to it."""

import asyncio
import time

import pytest
from cutsites import REFUSE, cut_paths, run_cut_site, send, wait_until
from flamingolift_front import callers, helperlist, run

STOP_GRACE_S = 2.0


@pytest.fixture
async def site(monkeypatch, tmp_path):
    async with run_cut_site(monkeypatch, tmp_path, ["upland"] * 3) as running:
        yield running


async def ask_both(site):
    """Cuts the first instance off and waits until it knows both others."""
    first = site.instances[0]
    cut_paths(site, first, REFUSE)
    await send(first, "GET", "/read/warm-up", number=900)
    await wait_until(lambda: len(first.front.helpers.answers) == 2)
    return first


# Guards against requests that are lost in the planned stop of the instance that they
# are handed on to: its kept connections, its listener and its last answers.
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/a"), ("POST", "/book/a")])
async def test_planned_stop_of_the_other_instance_loses_nothing(site, method, path):
    first = await ask_both(site)
    second = site.instances[1]
    second.front.cfg.grace_s = STOP_GRACE_S
    registration = asyncio.ensure_future(asyncio.sleep(0))
    statuses = []

    async def keep_sending(part):
        number = 0
        while not stopped.done():
            number += 1
            status, _data = await send(
                first, method, path, number=f"{part}-{number}", body=b"x"
            )
            statuses.append(status)

    stopped = asyncio.ensure_future(
        run.shut_down(second.front, second.listeners, registration)
    )
    await asyncio.gather(*(keep_sending(part) for part in range(4)))
    assert len(statuses) > 50
    assert set(statuses) == {200}


# Guards against a caller that is told nothing, or that its request did not run, when
# another instance accepts the request and never answers.
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/a"), ("POST", "/book/a")])
async def test_frozen_instance_ends_with_an_answer_in_time(site, method, path):
    first = await ask_both(site)
    writers = []

    async def take(_reader, writer):
        writers.append(writer)

    silent = await asyncio.start_server(take, "127.0.0.1", 0)
    for name in ("front-1", "front-2"):
        entry = first.front.view.instances[name]
        entry.handover_port = silent.sockets[0].getsockname()[1]
    started = time.monotonic()
    status, data = await send(first, method, path, body=b"x", deadline_ms=800)
    assert time.monotonic() - started < 1.2
    assert status == 504
    assert b"Request-Outcome: unknown" in data
    silent.close()
    for writer in writers:
        writer.transport.abort()


# Guards against a booking on a kept connection, which the other instance may have
# closed, and against a lost one that is sent again or is said not to have run.
@pytest.mark.parametrize("close", ["closed", "reset"])
async def test_lost_booking_is_told_as_unknown_and_sent_once(site, close):
    first = await ask_both(site)
    taken = []

    async def end(reader, writer):
        taken.append(await reader.readuntil(b"\r\n\r\n"))
        if close == "reset":
            writer.transport.abort()
        writer.close()

    ending = await asyncio.start_server(end, "127.0.0.1", 0)
    for name in ("front-1", "front-2"):
        entry = first.front.view.instances[name]
        entry.handover_port = ending.sockets[0].getsockname()[1]
    status, data = await send(first, "POST", "/book/a", body=b"x")
    assert status == 504
    assert b"Request-Outcome: unknown" in data
    assert len(taken) == 1
    ending.close()


# Guards against a request that waits for a list of other instances and is dropped
# without an answer: by a planned stop, by its deadline, or when all others go.
@pytest.mark.parametrize("end", ["stop", "deadline", "others gone"])
async def test_wait_for_other_instances_ends_with_a_refusal(site, monkeypatch, end):
    first = site.instances[0]
    await ask_both(site)
    asked = asyncio.Event()

    async def ask_no_one(_front):
        asked.set()
        await asyncio.sleep(10.0)

    monkeypatch.setattr(helperlist, "ask_peers", ask_no_one)
    helperlist.forget_all(first.front)
    started = time.monotonic()
    deadline_ms = 300 if end == "deadline" else 2000
    call = asyncio.ensure_future(
        send(first, "POST", "/book/a", body=b"x", deadline_ms=deadline_ms)
    )
    await wait_until(lambda: any(c.req for c in first.front.connections))
    if end == "stop":
        first.front.stopping = True
        callers.end_requests(first.front)
    elif end == "others gone":
        first.front.view.instances.clear()
    status, data = await call
    assert status == 503
    assert b"Request-Outcome: not-run" in data
    assert time.monotonic() - started < 1.0
