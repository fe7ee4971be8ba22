"""Requests that wait for other instances: each is answered by its deadline."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_decisions import serverlimits
from flamingolift_decisions.quarantine import Hold
from flamingolift_front import callers, crashwatch, heldattempts
from flamingolift_front.requesttrace import Trace
from flamingolift_front.sending import CallerRequest
from frontviews import make_entry
from troubledserver import fetch, run_site, sound

DEADLINE_S = 0.4
MARGIN_S = 0.4
"""Time after the deadline at which a request must have been answered (s)."""
PEERS = 4


@contextlib.asynccontextmanager
async def silent_peers(front):
    """Runs instances that accept questions and answer none."""
    writers = []

    async def take(_reader, writer):
        writers.append(writer)

    servers = []
    for number in range(1, PEERS + 1):
        server = await asyncio.start_server(take, "127.0.0.1", 0)
        servers.append(server)
        entry = make_entry(number, server.sockets[0].getsockname()[1])
        front.view.instances[entry.instance_id] = entry
    try:
        yield writers
    finally:
        for server in servers:
            server.close()
        for writer in writers:
            writer.transport.abort()


def hold_all(monkeypatch):
    """Holds all requests, which are due for a trial that another instance grants."""
    now = time.monotonic()

    def hold_of(_front, _req):
        return Hold("0" * 32, "reads", [], now, now, "it ended servers")

    def order(_fingerprint, names):
        return sorted(names, reverse=True)

    monkeypatch.setattr(crashwatch, "hold_of", hold_of)
    monkeypatch.setattr("flamingolift_front.crashtrials.rendezvous_order", order)


def limit_all(front):
    now = time.monotonic()
    for backend in front.view.backends.backends.values():
        serverlimits.record_limit(backend, 0.1, now)


async def fetch_timed(site, deadline_s=DEADLINE_S):
    started = time.monotonic()
    data, _reset = await fetch(site, deadline_s=deadline_s)
    return data, time.monotonic() - started


def make_request(received_at, deadline_at):
    return CallerRequest(
        "q1", b"GET", b"/a", [], b"", "h", "", received_at, deadline_at
    )


def is_refusal(data):
    return (
        data.startswith(b"HTTP/1.1 503")
        and b"request-outcome: not-run" in data.lower()
        and b"retry-after:" in data.lower()
    )


# Guards against a held request that is answered long after its deadline, since the
# instances that may grant its trial are silent.
async def test_wait_for_a_trial_ends_with_the_deadline(monkeypatch):
    async with run_site(sound) as site, silent_peers(site.front) as asked:
        hold_all(monkeypatch)
        data, took_s = await fetch_timed(site)
        assert asked
        assert is_refusal(data)
        assert took_s < DEADLINE_S + MARGIN_S
        assert site.failed.requests == site.sound.requests == 0


# Guards against an answer that is told as lost long after the deadline, since a server
# that may have ended does not answer its probe either.
async def test_wait_for_the_verdict_ends_with_the_deadline(monkeypatch):
    async with run_site(sound) as site:
        probe = asyncio.ensure_future(asyncio.sleep(5.0))
        monkeypatch.setattr(crashwatch, "note_lost", lambda *_args: probe)
        started = time.monotonic()
        req = make_request(started, started + DEADLINE_S)
        trace = Trace()
        trace.is_trial = True
        backend = next(iter(site.front.view.backends.backends.values()))
        await heldattempts.note_lost(site.front, req, trace, backend.entry)
        took_s = time.monotonic() - started
        assert DEADLINE_S - 0.01 <= took_s < DEADLINE_S + MARGIN_S
        assert not probe.cancelled()
        probe.cancel()


async def test_wait_for_a_grant_ends_with_the_deadline():
    async with run_site(sound) as site, silent_peers(site.front) as asked:
        limit_all(site.front)
        data, took_s = await fetch_timed(site)
        assert asked
        assert is_refusal(data)
        assert took_s < DEADLINE_S + MARGIN_S
        assert site.failed.requests == site.sound.requests == 0


# Guards against requests that wait for another instance and are dropped without an
# answer when their own one ends its requests in a planned stop.
@pytest.mark.parametrize("kind", ["trial", "grant"])
async def test_stop_during_a_wait_is_told(monkeypatch, kind):
    async with run_site(sound) as site, silent_peers(site.front) as asked:
        if kind == "trial":
            hold_all(monkeypatch)
        else:
            limit_all(site.front)
        call = asyncio.ensure_future(fetch_timed(site, 10.0))
        while not asked:
            await asyncio.sleep(0.01)
        site.front.stopping = True
        callers.end_requests(site.front)
        data, took_s = await call
        assert is_refusal(data)
        assert took_s < 1.0
        assert site.failed.requests == site.sound.requests == 0


# Guards against a request that is sent to a server which went while it waited.
@pytest.mark.parametrize("kind", ["servers", "policy"])
async def test_change_during_a_wait_ends_with_an_answer(kind):
    async with run_site(sound) as site, silent_peers(site.front) as asked:
        limit_all(site.front)
        call = asyncio.ensure_future(fetch_timed(site, 3.0))
        while not asked:
            await asyncio.sleep(0.01)
        view = site.front.view
        if kind == "servers":
            view.backends.backends.clear()
            view.backends.by_service.clear()
        else:
            view.table = None
        data, took_s = await call
        assert is_refusal(data)
        assert took_s < 3.0 + MARGIN_S
        assert site.failed.requests == site.sound.requests == 0
