"""The cause of a failed request can be found from the logs of the fronts alone."""

import asyncio
import signal

from flamingolift_cli.tracing import explain_request, read_events
from flamingolift_standins.platformserver import stop_server
from flamingolift_standins.platformstore import put_item
from platformfleet import (
    add_known_server,
    call,
    events,
    has_policy,
    put_policy,
    send,
    wait_until,
)

ROUNDS = 12
"""Requests after which a front knows the usual response time of a route."""


async def explain(front, request_id):
    """Returns the events related to a request and the sentence on its outcome."""
    await wait_until(
        lambda: [e for e in events(front, "request_done") if e["id"] == request_id]
    )
    with front.log_path.open() as file:
        _own, context, sentences = explain_request(read_events([file]), request_id)
    assert len(sentences) == 1
    return context, sentences[0]


async def test_refused_while_all_servers_are_full(platform, front):
    platform.servers["i-read-1"].script = {n: "reject" for n in range(1, 9)}
    reply = await send(front, "GET", "/read/a", rid="full")
    assert reply.status == 503
    _context, sentence = await explain(front, "full")
    assert "i-read-1 (place 0, 0 requests known on it) did not run it" in sentence
    assert "refused with 2001 OVERLOADED" in sentence
    assert "all servers are full, 1 in use" in sentence


async def test_failed_because_a_server_reset_the_connection(platform, front):
    platform.servers["i-book-1"].script = {1: "reset"}
    reply = await send(front, "POST", "/book/a", rid="broken")
    assert reply.status == 504
    context, sentence = await explain(front, "broken")
    assert "gave no whole answer; it may have run" in sentence
    assert "3001 OUTCOME_UNKNOWN" in sentence
    assert [e["server"] for e in context if e["event"] == "server_failed"] == [
        "i-book-1"
    ]


async def test_failed_because_a_server_sent_garbage(platform, front):
    platform.servers["i-book-1"].script = {1: "garbage"}
    reply = await send(front, "POST", "/book/a", rid="garbage")
    assert reply.status == 504
    _context, sentence = await explain(front, "garbage")
    assert "i-book-1" in sentence and "3001 OUTCOME_UNKNOWN" in sentence
    lost = [e for e in events(front, "answer_lost") if e["id"] == "garbage"]
    assert lost[0]["server"] == "i-book-1" and lost[0]["cause"]


async def test_refused_because_no_server_accepts_connections(platform, front):
    await stop_server(platform.servers["i-read-1"])
    reply = await send(front, "GET", "/read/a", rid="dead")
    assert reply.status == 503
    context, sentence = await explain(front, "dead")
    assert "i-read-1" in sentence and "accepted no connection" in sentence
    assert "no server accepted a connection" in sentence
    assert any(e["event"] == "server_failed" for e in context)


async def test_refused_because_a_domain_is_evacuated(platform, front):
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(front, "evacuation_started"))
    reply = await send(front, "GET", "/read/a", rid="moved")
    assert reply.status == 503
    context, sentence = await explain(front, "moved")
    assert "2002 NO_BACKEND" in sentence
    started = [e for e in context if e["event"] == "evacuation_started"]
    assert started[0]["reason"] in sentence


async def test_timed_out_because_a_server_was_silent(platform, front):
    platform.servers["i-book-1"].script = {1: "silent"}
    reply = await send(front, "POST", "/book/a", rid="late")
    assert reply.status == 504
    _context, sentence = await explain(front, "late")
    assert "answered nothing until the deadline; it may have run" in sentence
    assert "3004 BACKEND_TIMEOUT" in sentence


async def test_slow_because_a_server_was_overdue(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    for number in range(ROUNDS):
        await send(front, "GET", f"/read/{number}", rid=f"warm-{number}")
    for server in platform.servers.values():
        count = len(server.requests)
        server.script = {count + 1: "silent"} if server.server_id == "i-read-1" else {}
    names = [f"slow-{number}" for number in range(ROUNDS)]
    for name in names:
        assert (await send(front, "GET", "/read/a", rid=name)).status == 200
    overdue = events(front, "send_overdue")
    assert overdue and overdue[0]["id"] in names
    _context, sentence = await explain(front, overdue[0]["id"])
    assert "was much slower than usual and was given up" in sentence
    assert "the caller got the server's 200" in sentence


async def test_refused_by_an_old_configuration_during_a_store_outage(platform, front):
    platform.store.mode = "busy"
    await wait_until(lambda: events(front, "store_lost"))
    reply = await send(front, "GET", "/new/a", rid="old")
    assert reply.status == 404
    context, sentence = await explain(front, "old")
    assert "by policy 1 (route none" in sentence
    assert any(e["event"] == "store_lost" for e in context)
    platform.store.mode = "up"
    put_policy(platform.store, 7)
    await wait_until(lambda: has_policy(front, 7))
    taken = events(front, "policy_in_force")[-1]
    ended = next(e for e in events(front, "request_done") if e["id"] == "old")
    assert taken["policy"] == 7 and taken["at"] > ended["at"]
    assert taken["revision"] > ended["revision"]


async def test_cut_because_the_instance_was_stopped(platform, front):
    platform.servers["i-book-1"].work_s = 30.0
    waiting = call(
        front.ports["front"],
        "POST",
        "/book/a",
        rid="cut",
        headers=["Deadline-Ms: 20000"],
    )
    booking_task = await _start_booking(waiting, platform)
    front.process.send_signal(signal.SIGTERM)
    await front.process.wait()
    await booking_task
    assert events(front, "stopping")
    _context, sentence = await explain(front, "cut")
    assert "i-book-1" in sentence


async def _start_booking(waiting, platform):
    async def ignore_broken_response():
        try:
            return await waiting
        except (OSError, IndexError, ValueError):
            return None

    task = asyncio.ensure_future(ignore_broken_response())
    await wait_until(lambda: platform.servers["i-book-1"].requests)
    return task
