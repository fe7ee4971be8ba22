"""Generated bursts of requests on one connection, with closes, cuts, stops and exits.

A state machine holds what callers and servers see of requests that are sent before
the first answer. Variants of the code that break a promise are rejected.
"""

import asyncio
import contextlib

import pytest
from expression import Ok
from flamingolift_decisions import earlystarts
from flamingolift_front import callers, readahead
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)
from pipelines import (
    BOOKING,
    pipeline_site,
    request,
    wait_until,
)
from test_unanswered_requests import connect

WORKS_S = (0.0, 0.01, 0.03, 0.8)
LARGE_ANSWER = bytes(3 << 20)
SPOOLED_ANSWER = bytes(400_000)
ANSWERS_TIMEOUT_S = 30.0
"""Longest wait for the answers to all bursts (s): a hundred requests of 0.8 s, nine at
a time, take 9 s."""
TURNS_TO_ARRIVE = 20
"""Turns of the event loop in which bytes that were sent reach the front."""
CANCEL_S = 0.5
"""Time after the end of a connection by which servers are told (s)."""
MAX_AT_SERVERS = 9
"""Requests of a connection that are with servers at a time: the first one, and those
that were read ahead."""


class Sent:
    """A request that was sent whole.

    Attributes:
        number: Number of the request.
        is_booking: Whether it may run once at most.
        status: Expected status.
        body: Expected body of a success.
    """

    __slots__ = ("body", "is_booking", "number", "status")

    def __init__(self, number, is_booking, status, body):
        self.number = number
        self.is_booking = is_booking
        self.status = status
        self.body = body


class Pipelines(RuleBasedStateMachine):
    """One connection of a front, and what was sent and received on it."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.exits = contextlib.AsyncExitStack()
        self.sent = []
        self.received = b""
        self.ended = False
        self.exited = False
        self.rest = b""

    @initialize(
        may_leave=st.booleans(),
        may_stop=st.booleans(),
        may_refuse=st.booleans(),
        may_cut=st.booleans(),
    )
    def open(self, may_leave, may_stop, may_refuse, may_cut):
        self.may_leave, self.may_stop = may_leave, may_stop
        self.may_refuse, self.may_cut = may_refuse, may_cut
        self.runner.run(self._open())

    async def _open(self):
        self.site, self.server = await self.exits.enter_async_context(pipeline_site())
        self.caller = await self.exits.enter_async_context(connect(self.site))
        await wait_until(lambda: self.site.front.connections)

    def teardown(self):
        try:
            self.runner.run(self._finish())
        finally:
            self.runner.run(self.exits.aclose())
            self.runner.close()

    def is_open(self):
        return not (self.ended or self.exited or self.rest)

    def _make(self, is_booking, work_s, kind, body):
        number = len(self.sent) + 1
        name = f"q{number}"
        self.server.work_s[name] = min(work_s, WORKS_S[2]) if is_booking else work_s
        status, answer = 200, name.encode()
        if kind == "refused" and self.may_refuse:
            status = 503
            self.server.refused.add(name)
        elif kind == "large":
            answer = LARGE_ANSWER
            self.server.answers[name] = answer
        elif kind == "cut":
            self.server.answers[name] = LARGE_ANSWER
            self.server.cut.add(name)
            answer = None
        elif kind == "broken" and self.may_cut:
            # The only server is suspended for its loss.
            self.server.answers[name] = SPOOLED_ANSWER
            self.server.cut.add(name)
            status, answer = 504 if is_booking else 502, SPOOLED_ANSWER
        self.sent.append(Sent(number, is_booking, status, answer))
        path = BOOKING if is_booking else "/a"
        return request(number, path, body)

    @precondition(is_open)
    @rule(
        requests=st.lists(
            st.tuples(
                st.sampled_from([False, False, True]),
                st.sampled_from(WORKS_S),
                st.sampled_from(["whole"] * 6 + ["refused", "large", "broken"]),
                st.sampled_from([b"", b"GET /a HTTP/1.1\r\n\r\n"]),
            ),
            min_size=1,
            max_size=14,
        )
    )
    def send_burst(self, requests):
        data = b"".join(self._make(*values) for values in requests)
        self.runner.run(self._send(data))

    @precondition(is_open)
    @rule(at=st.integers(1, 60))
    def send_part(self, at):
        data = self._make(False, 0.0, "whole", b"")
        self.rest = data[at:]
        self.runner.run(self._send(data[:at]))

    @precondition(lambda self: self.rest)
    @rule()
    def send_rest(self):
        data, self.rest = self.rest, b""
        self.runner.run(self._send(data))

    @precondition(lambda self: self.is_open() and self.may_cut)
    @rule()
    def send_one_whose_answer_is_cut(self):
        self.runner.run(self._send(self._make(False, 0.01, "cut", b"")))

    @precondition(lambda self: self.is_open() and self.may_stop)
    @rule()
    def stop(self):
        self.site.front.stopping = True
        self.runner.run(self._pause(0.0))

    @precondition(lambda self: self.is_open() and self.may_stop)
    @rule()
    def exit(self):
        """The time for the last answers of a planned stop has come."""
        self.exited = True
        self.site.front.stopping = True
        self.runner.run(self._exit())

    async def _exit(self):
        for _ in range(TURNS_TO_ARRIVE):
            await asyncio.sleep(0.0)
        callers.end_requests(self.site.front)
        callers.close_idle(self.site.front)
        await asyncio.sleep(0.0)

    @precondition(lambda self: not self.ended and self.may_leave)
    @rule()
    def leave(self):
        self.ended = True
        self.caller.writer.transport.abort()
        self.runner.run(self._pause(0.0))

    @rule(pause_s=st.sampled_from([0.0, 0.005, 0.02]))
    def pause(self, pause_s):
        self.runner.run(self._pause(pause_s))

    async def _send(self, data):
        self.caller.writer.write(data)
        await self._pause(0.0)

    async def _pause(self, pause_s):
        await asyncio.sleep(pause_s)

    async def _finish(self):
        """Reads all answers, and checks what became of each request."""
        if not self.ended:
            self.caller.writer.write(self.rest)
            await self._read_all()
        self.caller.writer.transport.abort()
        with contextlib.suppress(TimeoutError):
            await wait_until(self._is_quiet, CANCEL_S)
        assert self._is_quiet()
        await asyncio.sleep(0.02)
        assert self._is_quiet()
        assert self.server.peak <= MAX_AT_SERVERS
        assert len(set(self.server.started)) == len(self.server.started)
        self._check_bookings()
        if not self.ended:
            self._check_answers()

    async def _read_all(self):
        if not self.sent:
            return
        if not self.exited:
            self.caller.writer.write(
                b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: end\r\n"
                b"Request-Deadline-Ms: 9000\r\nConnection: close\r\n\r\n"
            )
        async with asyncio.timeout(ANSWERS_TIMEOUT_S):
            try:
                while data := await self.caller.reader.read(1 << 20):
                    self.received += data
            except ConnectionError:
                pass

    def _is_quiet(self):
        over = len(self.server.finished) + len(self.server.cancelled)
        return len(self.server.started) == over

    def _check_bookings(self):
        """A booking starts after the work for all requests before it has ended."""
        course = self.server.course
        for sent in self.sent:
            name = f"q{sent.number}"
            if sent.is_booking and (name, "start") in course:
                later = course[course.index((name, "start")) :]
                before = {f"q{number}" for number in range(1, sent.number)}
                assert not [name for name, event in later if name in before]

    def _check_answers(self):
        """Each request has one answer in order; only a cut answer ends them early."""
        answered = list(split_answers(self.received))
        if answered and answered[-1][1] == b"end":
            answered.pop()
        for (status, body), sent in zip(answered, self.sent, strict=False):
            if sent.body is None and status == 200:
                return
            self._check_answer(status, body, sent)
        unanswered = self.sent[len(answered) :]
        if unanswered:
            # Its own answer was cut; a stop or a broken answer ends no other.
            assert unanswered[0].body is None
        for sent in unanswered[1:]:
            assert not sent.is_booking or f"q{sent.number}" not in self.server.started

    def _check_answer(self, status, body, sent):
        name = f"q{sent.number}"
        if status == 503:
            # The only server is not used for a moment after it has refused a request
            # or broken off an answer, and an exit refuses what has not started.
            assert self.exited or self.server.refused or self.server.cut
            assert sent.status == 503 or name not in self.server.started
        elif status in (502, 504):
            assert name in self.server.started
            assert sent.status == status or (self.exited and status == 502)
        else:
            assert (status, body) == (sent.status, sent.body)


def split_answers(data):
    """Yields the status and the body of each whole answer."""
    while data:
        head, separator, data = data.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.lower().split(b"\r\n")
        fields = dict(line.split(b": ", 1) for line in lines[1:])
        if b"content-length" in fields:
            length = int(fields[b"content-length"])
            body, data = data[:length], data[length:]
            if len(body) < length:
                return
        else:
            body, data = split_chunks(data)
            if body is None:
                return
        yield int(head.split()[1]), body


def split_chunks(data):
    """Returns a chunked body and what follows it; None for one that breaks off."""
    body = b""
    while True:
        size, separator, data = data.partition(b"\r\n")
        if not separator:
            return None, b""
        length = int(size, 16)
        if len(data) < length + 2:
            return None, b""
        body, data = body + data[:length], data[length + 2 :]
        if not length:
            return body, data


TestPipelines = Pipelines.TestCase
TestPipelines.settings = settings(
    max_examples=25,
    stateful_step_count=8,
    deadline=None,
    # Each example opens sockets and waits, so that shrinking one takes minutes.
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)


def start_all(route, _stopping, _is_behind_stream):
    """Starts bookings before their turn too."""
    return route is not None


def announce_close(conn):
    """Closes a stopping connection behind the answer that is next."""
    return False


async def answer_current_alone(_front, _conn):
    """Ends a connection without a look at what waits behind the current request."""
    return
    yield


async def keep_early_answer(_front, _req, _trace, forwarded):
    """Passes on a part of an early answer without a look at the rest."""
    return Ok(forwarded)


async def drop_nothing(_front, _conn):
    """Leaves requests at work whose connection has ended."""
    return []


async def answer_in_any_order(_front, conn):
    """Answers what is ready first."""
    exchange = await NEXT_EXCHANGE(_front, conn)
    conn.ahead.append(exchange)
    conn.ahead.rotate(-(len(conn.ahead) // 2))
    return conn.ahead.popleft()


NEXT_EXCHANGE = readahead.next_exchange

VARIANTS = {
    "bookings start early": (earlystarts, {"may_start_early": start_all}),
    "servers are not told": (
        readahead,
        {"drop_ahead": drop_nothing, "cancel_started": lambda _conn: None},
    ),
    "answers in any order": (readahead, {"next_exchange": answer_in_any_order}),
    "close before requests behind": (
        readahead,
        {"has_requests_behind": announce_close},
    ),
    "exit answers the current request alone": (
        readahead,
        {"take_unanswered": answer_current_alone},
    ),
    "early answers break off": (callers, {"read_early_answer": keep_early_answer}),
    "no bound": (earlystarts, {"may_read_ahead": lambda _sizes: True}),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_broken_variant_is_rejected(variant, monkeypatch):
    module, functions = VARIANTS[variant]
    for name, function in functions.items():
        monkeypatch.setattr(module, name, function, raising=False)
    with pytest.raises((AssertionError, TimeoutError)):
        run_state_machine_as_test(
            Pipelines,
            settings=settings(
                max_examples=300,
                stateful_step_count=8,
                derandomize=True,
                deadline=None,
                phases=[Phase.generate],
                verbosity=Verbosity.quiet,
                suppress_health_check=list(HealthCheck),
            ),
        )
