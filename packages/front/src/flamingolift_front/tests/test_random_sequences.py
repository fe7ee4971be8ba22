"""Random sequences of events on callers' connections of one front.

`FRONT_SEQUENCES` sets the number of sequences, and `FRONT_SEED` the first seed.
"""

import asyncio
import contextlib
import itertools
import os
import random
import socket
import time

import pytest
from flamingolift_front import callers, requestreading, run
from flamingolift_model.routing import RequestLimits
from troubledserver import CLOSE, RESET, SOUND_BODY, head, run_site

SEQUENCES = int(os.environ.get("FRONT_SEQUENCES", "6"))
FIRST_SEED = int(os.environ.get("FRONT_SEED", "1"))
MARGIN_S = 0.05
GRACE_S = 0.9
WAIT_S = 8.0
MAX_CALLERS = 6
STEPS = 30
EVENTS = (
    *["send"] * 5,
    *["rest"] * 3,
    *["part", "connect", "block"] * 2,
    *["limits", "leave", "garbage"],
)


class SequenceCaller:
    """A caller's connection and what was sent and received on it.

    Attributes:
        sock: Non-blocking socket.
        rest: Bytes of a request of which the first part was sent.
        received: Bytes received.
        ended: How the connection ended ("fin" or "reset"), or "".
        left: Whether the caller closed the connection.
        reader: Task that reads from the socket.
    """

    __slots__ = ("ended", "left", "reader", "received", "rest", "sock")

    def __init__(self, sock):
        self.sock = sock
        self.rest = b""
        self.received = bytearray()
        self.ended = ""
        self.left = False
        self.reader = asyncio.create_task(_read(self))


async def _read(caller):
    loop = asyncio.get_running_loop()
    try:
        while data := await loop.sock_recv(caller.sock, 65536):
            caller.received += data
        caller.ended = "fin"
    except OSError:
        caller.ended = "reset"


def make_script(rng):
    """Returns a script of a server that answers in a random manner."""

    def script(request_id):
        length = b"content-length: %d" % len(SOUND_BODY)
        whole = head(request_id, length) + SOUND_BODY
        kind = rng.choice(["whole"] * 6 + ["cut", "silent", "refused", "error"])
        if kind == "whole":
            return [whole]
        if kind == "cut":
            return [whole[: rng.randrange(len(whole))], rng.choice([CLOSE, RESET])]
        if kind == "silent":
            return []
        status = b"503 X\r\nrequest-not-run: 1" if kind == "refused" else b"500 X"
        return [whole.replace(b"200 OK", status)]

    return script


def make_request(rng, number):
    """Returns the bytes of a random valid request."""
    method, body = rng.choice(["GET", "GET", "HEAD", "POST"]), b""
    fields = f"Host: h\r\nRequest-Id: q{number}\r\n"
    fields += f"Request-Deadline-Ms: {rng.choice([1, 100, 400, 3000])}\r\n"
    if method == "POST":
        body = bytes(rng.randrange(2000))
        if rng.random() < 0.5:
            fields += f"Content-Length: {len(body)}\r\n"
        else:
            fields += "Transfer-Encoding: chunked\r\n"
            chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            body = chunk + b"0\r\n\r\n"
        if rng.random() < 0.2:
            fields += "Expect: 100-continue\r\n"
    if rng.random() < 0.1:
        fields += "Connection: close\r\n"
    version = "1.0" if rng.random() < 0.1 and "chunked" not in fields else "1.1"
    path = rng.choice(["/a", "/a", "/a", "/none"])
    return f"{method} {path} HTTP/{version}\r\n{fields}\r\n".encode() + body


def send(caller, data):
    with contextlib.suppress(OSError):
        caller.sock.send(data)


async def connect(site, open_callers):
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", site.port))
    open_callers.append(SequenceCaller(sock))


async def stop_reading(caller):
    """Ends the reader, which has to let go of the socket before it is closed."""
    caller.reader.cancel()
    await asyncio.wait({caller.reader})


async def leave(caller, rng):
    caller.left = True
    await stop_reading(caller)
    if rng.random() < 0.5:
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
    else:
        caller.sock.close()


def change_limits(site, rng):
    site.front.view.table.limits = RequestLimits(
        idle_timeout_ms=rng.choice([20.0, 100.0, 2000.0]),
        header_timeout_ms=rng.choice([50.0, 200.0, 2000.0]),
        max_header_bytes=rng.choice([300, 4096, 16384]),
        max_body_bytes=rng.choice([500, 1000, 100_000]),
    )
    for route in site.front.view.table.routes.values():
        route.timeout_ms = rng.choice([50.0, 150.0, 2000.0])
        route.idempotent = rng.random() < 0.7


async def take_step(site, rng, active, numbers):
    """Lets one random event happen."""
    free = [c for c in active if not c.left and not c.ended]
    kind = rng.choice(EVENTS)
    if not free or (kind == "connect" and len(free) < MAX_CALLERS):
        await connect(site, active)
        return
    caller = rng.choice(free)
    if kind == "send" and not caller.rest:
        send(caller, make_request(rng, next(numbers)))
    elif kind == "part" and not caller.rest:
        data = make_request(rng, next(numbers))
        at = rng.randrange(1, len(data))
        send(caller, data[:at])
        caller.rest = data[at:]
    elif kind == "rest" and caller.rest:
        send(caller, caller.rest)
        caller.rest = b""
    elif kind == "garbage" and not caller.rest:
        send(caller, b"GARBAGE\r\n\r\n")
    elif kind == "limits":
        change_limits(site, rng)
    elif kind == "block":
        time.sleep(rng.choice([0.01, 0.06, 0.2]))
    elif kind == "leave":
        await leave(caller, rng)
    if rng.random() < 0.6:
        await asyncio.sleep(rng.choice([0.0, 0.0, 0.002, 0.02, 0.08]))


def count(metric):
    """Returns the sum of a counter's values over its labels."""
    samples = itertools.chain(*(family.samples for family in metric.collect()))
    return sum(s.value for s in samples if s.name.endswith("_total"))


def end_count(front, end):
    return front.metrics.request_ends.labels(end)._value.get()


async def begin_long_request(site, active, number):
    """Sends a request that is still in progress when the process ends."""
    site.failed.script = lambda _request_id: []
    for route in site.front.view.table.routes.values():
        route.timeout_ms = 3000.0
    for backend in site.front.view.backends.backends.values():
        backend.suspended_until = 0.0
        backend.entry.slots = 100
    await connect(site, active)
    fields = f"Host: h\r\nRequest-Id: q{number}\r\nRequest-Deadline-Ms: 3000\r\n"
    send(active[-1], f"GET /a HTTP/1.1\r\n{fields}\r\n".encode())
    received = site.failed.requests
    async with asyncio.timeout(WAIT_S):
        while site.failed.requests == received and not active[-1].received:
            await asyncio.sleep(0.01)


async def stop(site):
    """Runs the planned stop; the process would end when it returns."""
    site.front.cfg.grace_s = GRACE_S
    registration = asyncio.create_task(asyncio.sleep(0))
    async with asyncio.timeout(WAIT_S):
        await run.shut_down(site.front, [], registration)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEQUENCES))
async def test_every_request_that_was_read_whole_ends(monkeypatch, seed):
    rng = random.Random(seed)
    monkeypatch.setattr(requestreading, "IDLE_MARGIN_S", MARGIN_S)
    events = []
    monkeypatch.setattr(
        callers, "log_event", lambda _log, name, **fields: events.append((name, fields))
    )
    end_requests = callers.end_requests

    def end_and_log(front):
        events.append(("end_requests", {}))
        end_requests(front)

    monkeypatch.setattr(callers, "end_requests", end_and_log)
    site_of_one = run_site(make_script(rng), with_sound=False, keep_open=True)
    async with site_of_one as site:
        change_limits(site, rng)
        active, numbers = [], itertools.count(1)
        for _step in range(STEPS):
            await take_step(site, rng, active, numbers)
        if rng.random() < 0.7:
            await begin_long_request(site, active, next(numbers))
        stopping = asyncio.create_task(stop(site))
        for _step in range(STEPS):
            await take_step(site, rng, active, numbers)
        await stopping
        front = site.front
        lost = [e for e in events if e[0] in ("request_unanswered", "task_failed")]
        assert not lost
        assert all(conn.req is None for conn in front.connections)
        assert not any(conn.task.done() for conn in front.connections)
        ends = {e: end_count(front, e) for e in ("answered", "refused", "caller_left")}
        assert count(front.metrics.requests_read) == count(front.metrics.request_ends)
        assert sum(ends.values()) == count(front.metrics.requests_read)
        # A request behind one that ends with the process is not taken.
        before = itertools.takewhile(lambda e: e[0] != "end_requests", events)
        unread = [fields for name, fields in before if name == "bytes_unread"]
        assert all(fields["cause"] != "cancelled" for fields in unread)
        for caller in active:
            await stop_reading(caller)
            caller.sock.close()
