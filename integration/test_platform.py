"""Callers' requests through a front that runs as a real process on loopback."""

import asyncio
import signal

import pytest
from flamingolift_decisions.backends import TIMEOUTS_BEFORE_SUSPENSION
from flamingolift_standins.platformserver import stop_server
from platformfleet import (
    ANSWER_PREFIX,
    HOST,
    Reply,
    add_known_server,
    events,
    is_ready,
    received_requests,
    send,
    wait_until,
)


async def test_each_route_kind_gets_a_complete_response(platform, front):
    for method, path, body in (
        ("GET", "/read/a%2Fb?x=1&y=%20", b""),
        ("POST", "/book/seat", b"two seats"),
        ("GET", "/map/north", b""),
    ):
        reply = await send(front, method, path, body=body, headers=["X-Own: kept"])
        assert reply.status == 200
        assert reply.body.startswith(ANSWER_PREFIX)
        assert reply.headers["server-seal"] == "sealed"
        assert reply.headers["request-id"] == "q1"
    seen = received_requests(platform, "i-read-1")[0]
    assert seen.line == "GET /read/a%2Fb?x=1&y=%20 HTTP/1.1"
    assert seen.headers["x-own"] == "kept"
    assert seen.headers["host"] == HOST
    assert seen.headers["expect-instance"] == "i-read-1"
    assert 0 < int(seen.headers["deadline-ms"]) <= 1500
    assert received_requests(platform, "i-book-1")[0].body == b"two seats"


async def test_callers_deadline_is_passed_on(platform, front):
    await send(front, "GET", "/read/a", headers=["Deadline-Ms: 400"])
    assert int(received_requests(platform, "i-read-1")[0].headers["deadline-ms"]) <= 400


async def test_callers_own_expected_server_is_replaced(platform, front):
    reply = await send(front, "GET", "/read/a", headers=["Expect-Instance: i-other"])
    assert reply.status == 200
    seen = received_requests(platform, "i-read-1")[0]
    assert seen.headers["expect-instance"] == "i-read-1"


async def test_chunked_body_arrives_whole(platform, front):
    reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    writer.write(
        f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: q2\r\n"
        "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n".encode()
    )
    reply = Reply(await reader.read())
    writer.close()
    assert reply.status == 200
    assert received_requests(platform, "i-book-1")[0].body == b"abcde"


async def test_conflicting_lengths_are_refused(platform, front):
    reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    writer.write(
        f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: q3\r\n"
        "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde".encode()
    )
    reply = Reply(await reader.read())
    writer.close()
    assert reply.status == 400
    assert not received_requests(platform, "i-book-1")


async def test_exceeded_limits_are_refused_with_a_result_code(platform, front):
    long = await send(front, "GET", "/read/a", headers=["X-Long: " + "x" * 8000])
    large = await send(front, "POST", "/book/a", body=b"x" * 20000)
    missing = await send(front, "GET", "/read/a", rid="")
    nowhere = await send(front, "GET", "/other/a")
    assert (long.status, long.headers["result-code"]) == (431, "1008")
    assert (large.status, large.headers["result-code"]) == (413, "1002")
    assert (missing.status, missing.headers["result-code"]) == (400, "1001")
    assert (nowhere.status, nowhere.headers["result-code"]) == (404, "1009")


async def test_booking_is_sent_once_when_its_answer_is_lost(platform, front):
    await add_known_server(platform, front, "i-book-2", "books")
    for server_id in ("i-book-1", "i-book-2"):
        platform.servers[server_id].script = {1: "reset", 2: "reset"}
    reply = await send(front, "POST", "/book/a", body=b"seat")
    assert reply.status == 504
    assert reply.headers["result-code"] == "3001"
    total = len(received_requests(platform, "i-book-1")) + len(
        received_requests(platform, "i-book-2")
    )
    assert total == 1


async def test_unsafe_get_is_sent_once_too(platform, front):
    await add_known_server(platform, front, "i-book-2", "books")
    for server_id in ("i-book-1", "i-book-2"):
        platform.servers[server_id].script = {1: "reset"}
    reply = await send(front, "GET", "/book/a")
    assert reply.headers["result-code"] == "3001"
    total = len(received_requests(platform, "i-book-1")) + len(
        received_requests(platform, "i-book-2")
    )
    assert total == 1


async def test_booking_goes_on_to_another_server_when_it_was_not_run(platform, front):
    await add_known_server(platform, front, "i-book-2", "books")
    for server_id in ("i-book-1", "i-book-2"):
        platform.servers[server_id].script = {1: "reject"}
    reply = await send(front, "POST", "/book/a", body=b"seat")
    first, second = (
        received_requests(platform, "i-book-1"),
        received_requests(platform, "i-book-2"),
    )
    assert (len(first), len(second)) == (1, 1)
    # Both servers rejected it without running it, so the refusal may say not run.
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0.0


async def test_read_is_sent_again_when_its_answer_is_lost(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    for action in ("reset", "cut", "garbage", "fail"):
        for server_id in ("i-read-1", "i-read-2"):
            server = platform.servers[server_id]
            server.script = {}
        first = await send(front, "GET", "/read/a", headers=["Cookie: Affinity-Key=7"])
        name = first.body.removeprefix(ANSWER_PREFIX).decode()
        server = platform.servers[name]
        server.script = {len(server.requests) + 1: action}
        reply = await send(front, "GET", "/read/a", headers=["Cookie: Affinity-Key=7"])
        assert reply.status == 200, action
        assert reply.body.startswith(ANSWER_PREFIX), action


async def test_duplicate_response_is_given_to_no_request(platform, front):
    server = platform.servers["i-read-1"]
    server.script = {1: "duplicate", 3: "wrong_id"}
    for number in range(1, 6):
        reply = await send(front, "GET", "/read/a", rid=f"request-{number}")
        if reply.status == 200:
            assert reply.headers["request-id"] == f"request-{number}"


async def test_requests_for_an_object_keep_their_server(platform, front):
    for number in range(2, 7):
        await add_known_server(platform, front, f"i-read-{number}", "reads")
    seen = set()
    for number in range(10):
        cookie = ["Cookie: a=b; Affinity-Key=21"]
        reply = await send(front, "GET", "/read/a", headers=cookie, rid=f"q{number}")
        assert reply.status == 200
        seen.add(reply.body)
    assert len(seen) == 1


async def test_disconnect_of_the_caller_cancels_the_request(platform, front):
    server = platform.servers["i-read-1"]
    server.script = {1: "silent"}
    _reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    writer.write(
        f"GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: g\r\n\r\n".encode()
    )
    await wait_until(lambda: server.requests)
    writer.transport.abort()
    await wait_until(lambda: server.requests[0].ended == "cancelled", 1.0)


async def test_request_is_answered_at_its_routes_timeout(platform, front):
    platform.servers["i-book-1"].script = {1: "silent"}
    loop = asyncio.get_running_loop()
    began = loop.time()
    reply = await send(front, "POST", "/book/a", body=b"x")
    assert reply.status == 504
    assert reply.headers["request-outcome"] == "unknown"
    # The route's timeout is 1.5 s; the response must follow within 0.5 s.
    assert 1.5 <= loop.time() - began < 2.0


async def test_server_that_never_answers_is_suspended(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    cookie = ["Cookie: Affinity-Key=5"]
    first = await send(front, "GET", "/read/a", headers=cookie)
    silent = platform.servers[first.body.removeprefix(ANSWER_PREFIX).decode()]
    silent.script = dict.fromkeys(range(2, 2 + TIMEOUTS_BEFORE_SUSPENSION), "silent")
    late = [
        send(front, "GET", "/read/a", headers=cookie)
        for _request in range(TIMEOUTS_BEFORE_SUSPENSION)
    ]
    assert {reply.status for reply in await asyncio.gather(*late)} == {504}
    failed = await wait_until(lambda: events(front, "server_failed"))
    assert failed[-1]["suspended_s"] > 0.0
    reply = await send(front, "GET", "/read/a", headers=cookie)
    assert reply.status == 200
    assert reply.body != first.body


async def test_stopped_server_is_skipped(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    await stop_server(platform.servers.pop("i-read-1"))
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await send(front, "GET", "/read/a", headers=cookie)).status == 200


async def test_graceful_stop_completes_running_requests_and_exits_in_time(
    platform, front
):
    server = platform.servers["i-read-1"]
    server.work_s = 0.8
    running = [
        asyncio.create_task(send(front, "GET", "/read/a", rid=f"s{n}"))
        for n in range(5)
    ]
    await wait_until(lambda: len(server.requests) == 5)
    front.process.send_signal(signal.SIGTERM)
    await wait_until(lambda: events(front, "stopping"))
    assert not await is_ready(front)
    late = await send(front, "GET", "/read/a", rid="late")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    assert [reply.status for reply in await asyncio.gather(*running)] == [200] * 5
    # The settings allow 3 s for a graceful stop.
    assert await asyncio.wait_for(front.process.wait(), 3.0) == 0
    await wait_until(lambda: "instances/front-1" not in platform.store.items)


async def test_overdue_request_goes_to_another_server(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    slow = platform.servers["i-read-1"]
    for number in range(12):
        assert (await send(front, "GET", f"/read/{number}")).status == 200
    before = len(slow.requests)
    slow.script = {number: "silent" for number in range(before + 1, before + 40)}
    loop = asyncio.get_running_loop()
    for number in range(12):
        began = loop.time()
        reply = await send(front, "GET", f"/read/{number}", rid=f"slow-{number}")
        assert reply.status == 200
        # Below the route's timeout of 1.5 s.
        assert loop.time() - began < 1.0
    given_up = [request for request in slow.requests[before:]]
    assert given_up
    assert {request.ended for request in given_up} == {"cancelled"}
    overdue = events(front, "send_overdue")
    assert {line["server"] for line in overdue} == {"i-read-1"}
    assert all(line["waited_ms"] > line["usual_ms"] for line in overdue)


async def test_overdue_booking_is_not_sent_to_another_server(platform, front):
    await add_known_server(platform, front, "i-book-2", "books")
    for number in range(12):
        assert (await send(front, "POST", f"/book/{number}")).status == 200
    for server_id in ("i-book-1", "i-book-2"):
        server = platform.servers[server_id]
        number = len(server.requests)
        server.script = {number + 1: "silent"}
    total = len(received_requests(platform, "i-book-1")) + len(
        received_requests(platform, "i-book-2")
    )
    reply = await send(front, "POST", "/book/a", rid="slow")
    assert reply.headers["result-code"] == "3004"
    after = len(received_requests(platform, "i-book-1")) + len(
        received_requests(platform, "i-book-2")
    )
    assert after == total + 1


# Guards against a header field that ends the caller's connection without a response.
@pytest.mark.parametrize("value", ["\u00b2", "9" * 3000, "-5", "1e3"])
async def test_malformed_deadline_is_no_deadline(platform, front, value):
    reply = await send(front, "GET", "/read/a", headers=[f"Deadline-Ms: {value}"])
    assert reply.status == 200
    assert not events(front, "task_failed")
