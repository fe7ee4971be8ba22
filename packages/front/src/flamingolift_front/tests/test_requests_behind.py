"""Requests behind the current one whose connection is about to end."""

import asyncio

import h11
from flamingolift_front import (
    answering,
    bytestream,
    callers,
    forwarding,
    httpcall,
    readahead,
)
from pipelines import BOOKING, pipeline_site, read_answers, request, wait_until
from test_unanswered_requests import connect, read_answer


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


def only_connection(site):
    (conn,) = site.front.connections
    return conn


async def read_rest(caller):
    """Returns what arrives until the connection ends, however it does."""
    raw = b""
    try:
        async with asyncio.timeout(5.0):
            while data := await caller.reader.read(1 << 20):
                raw += data
    except ConnectionError:
        pass
    return raw


# Guards against requests that arrive while a stop closes their connection as idle, of
# which only the first one is answered.
async def test_all_requests_that_cross_the_close_of_an_idle_connection_are_answered():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.default_work_s = 0.1
        caller.writer.write(request(1))
        await read_answer(caller)
        conn = only_connection(site)
        begin_stop(site.front)
        conn.stream.data_received(request(2) + request(3, BOOKING, b"x"))
        await wait_until(lambda: "q2" in server.started)
        caller.writer.write(request(4))
        assert (await read_rest(caller)).count(b"HTTP/1.1 200") == 3


# Guards against a booking that is dropped since the head of the streamed answer before
# it has announced the close.
async def test_request_behind_a_streamed_answer_is_answered_in_a_planned_stop():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.answers = {"q1": bytes(30 << 20)}
        caller.writer.transport.pause_reading()
        caller.writer.write(request(1))
        begin_stop(site.front)
        await wait_until(lambda: only_connection(site).responding)
        caller.writer.write(request(2, BOOKING, b"x"))
        await asyncio.sleep(0.1)
        caller.writer.transport.resume_reading()
        assert (await read_rest(caller)).count(b"HTTP/1.1 200") == 2
        assert server.started.count("q2") == 1


# Guards against a caller that is never told of a stop, since it always has sent more.
async def test_caller_that_sends_without_end_is_told_of_the_stop():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.default_work_s = 0.02
        caller.writer.write(b"".join(request(n) for n in range(1, 13)))
        await wait_until(lambda: server.started)
        site.front.stopping = True
        callers.drain_connections(site.front)
        number, raw = 12, b""
        while data := await caller.reader.read(1 << 16):
            raw += data
            number += 1
            caller.writer.write(request(number))
        answers = raw.count(b"HTTP/1.1 200")
        assert 12 <= answers < number
        # It may find all requests that it has sent unread, but none half done.
        assert len(server.started) == answers


# Guards against a request whose answer is replaced by that to the next one, after an
# error within the encoding of its own.
async def test_error_while_an_answer_is_encoded_keeps_the_order(monkeypatch):
    original = answering._encode_head

    def encode_head(conn, response, headers):
        if response.body == b"q1":
            # An encoder that failed sends nothing more.
            conn.parser.send(h11.Data(data=b"x"))
        return original(conn, response, headers)

    monkeypatch.setattr(answering, "_encode_head", encode_head)
    async with pipeline_site() as (site, _server), connect(site) as caller:
        caller.writer.write(request(1) + request(2))
        raw = await read_rest(caller)
        assert raw.count(b"HTTP/1.1") == 2
        assert raw.startswith(b"HTTP/1.1 500")


# Guards against the answer to the next request within the body of a broken one.
async def test_error_within_a_streamed_answer_cuts_it(monkeypatch):
    original = httpcall.iter_body

    async def iter_body(call):
        size = 0
        async for chunk in original(call):
            size += len(chunk)
            yield chunk
            if size > 2 * httpcall.SPOOL_BYTES:
                yield bytes(8 << 20)

    monkeypatch.setattr(httpcall, "iter_body", iter_body)
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.answers = {"q1": bytes(4 << 20)}
        caller.writer.write(request(1) + request(2))
        raw = await read_rest(caller)
        assert raw.startswith(b"HTTP/1.1 200") and raw.count(b"HTTP/1.1") == 1


# Guards against a request that cannot be read, and whose place the next answer takes.
async def test_error_while_a_request_is_read_ahead_keeps_the_order(monkeypatch):
    original = readahead.read_request

    async def read_request(front, conn):
        received = await original(front, conn)
        if received.is_ok() and received.ok and received.ok.request_id == "q2":
            raise RuntimeError("broken")
        return received

    monkeypatch.setattr(readahead, "read_request", read_request)
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.default_work_s = 0.1
        caller.writer.write(request(1) + request(2) + request(3))
        statuses = [status for status, _body in await read_answers(caller, 2)]
        assert statuses == [200, 503]
        assert "q3" not in server.started


# Guards against a whole request that is dropped at the exit, since it waits for its
# turn to ask for a body that has arrived unasked.
async def test_request_whose_body_came_unasked_is_answered_at_the_exit():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 5.0}
        caller.writer.write(request(1))
        await wait_until(lambda: server.started)
        expecting = request(2, BOOKING, b"seat", "Expect: 100-continue\r\n")
        caller.writer.write(expecting[:-4])
        await asyncio.sleep(0.05)
        caller.writer.write(expecting[-4:])
        await wait_until(lambda: only_connection(site).ahead)
        begin_stop(site.front)
        callers.end_requests(site.front)
        assert (await read_rest(caller)).count(b"HTTP/1.1 50") == 2


# Guards against a 100 that is written into the answer to an earlier request when the
# connection takes no more input.
async def test_body_is_not_asked_for_out_of_turn():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 0.2}
        expecting = request(2, BOOKING, b"seat", "Expect: 100-continue\r\n")
        caller.writer.write(request(1) + expecting[:-4])
        await wait_until(lambda: server.started and only_connection(site).reader)
        bytestream.hold_input(only_connection(site).stream)
        raw = await read_rest(caller)
        assert raw.startswith(b"HTTP/1.1 200") and raw.count(b"HTTP/1.1") == 1


# Guards against a request that is dropped at the exit behind one that asks for another
# protocol, as the parser waits for the answer to that.
async def test_request_behind_an_upgrade_is_answered_at_the_exit():
    async with pipeline_site() as (site, server), connect(site) as caller:
        server.work_s = {"q1": 5.0}
        upgrade = "Connection: Upgrade\r\nUpgrade: h2c\r\n"
        caller.writer.write(request(1, fields=upgrade) + request(2, BOOKING, b"x"))
        await wait_until(lambda: server.started)
        begin_stop(site.front)
        callers.end_requests(site.front)
        assert (await read_rest(caller)).count(b"HTTP/1.1 50") == 2


# Guards against an early start that fails between two requests, in a front that has
# streamed an answer before.
async def test_part_behind_an_answered_request_starts_early():
    async with pipeline_site() as (site, server), connect(site) as caller:
        site.front.streamed_routes.add("other")
        part = request(2)
        caller.writer.write(request(1) + part[:20])
        assert await read_answer(caller) == (200, b"q1")
        server.work_s = {"q2": 0.2}
        caller.writer.write(part[20:] + request(3))
        await wait_until(lambda: "q3" in server.finished)
        assert await read_answers(caller, 2) == [(200, b"q2"), (200, b"q3")]


# Guards against a request that was read and is in no count of ends.
async def test_each_request_that_was_read_has_an_end():
    async with pipeline_site() as (site, server):
        server.work_s = {"q1": 5.0}
        async with connect(site) as caller:
            caller.writer.write(request(1))
            caller.writer.write(b"".join(request(n, BOOKING) for n in range(2, 60)))
            await wait_until(lambda: server.started)
            begin_stop(site.front)
            callers.end_requests(site.front)
            await asyncio.sleep(0)
        await wait_until(lambda: not site.front.connections)
        metrics = site.front.metrics
        ends = (*ENDS, "caller_left")
        counts = [metrics.request_ends.labels(end)._value.get() for end in ends]
        assert metrics.requests_read._value.get() == sum(counts)
