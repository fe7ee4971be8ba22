"""Requests that reach an instance before it has read its first view."""

import asyncio
import time

import pytest
from flamingolift_decisions.fleetreturn import FIRST_VIEW_S, MAX_WAIT_SHARE
from flamingolift_front import callers
from flamingolift_front.state import notify_change
from troubledserver import (
    SOUND_BODY,
    fetch,
    open_request,
    run_site,
    sound,
)

VIEW_S = 0.4
"""Time after the start at which the first view has been read (s)."""
BURST = 6
"""Requests that come in meanwhile, as many as the servers have slots."""
MARGIN_S = 0.3
"""Time that a refusal may take beyond its bound (s)."""


class Withheld:
    """First policy of a site that has not been read yet."""

    __slots__ = ("front", "table")

    def __init__(self, front, started_s_ago=0.0):
        self.front = front
        self.table, front.view.table = front.view.table, None
        front.started_at = time.monotonic() - started_s_ago

    def arrive(self):
        self.front.view.table = self.table
        notify_change(self.front.view)


async def fetch_timed(site, **options):
    started = time.monotonic()
    data, _reset = await fetch(site, **options)
    return data, time.monotonic() - started


# Guards against refusals by every instance of a fleet that has just come back.
async def test_requests_of_a_returning_fleet_are_served_after_the_first_view():
    async with run_site(sound, keep_open=True) as site:
        withheld = Withheld(site.front)
        asyncio.get_running_loop().call_later(VIEW_S, withheld.arrive)
        calls = []
        for number in range(BURST):
            calls.append(asyncio.ensure_future(fetch(site, number=number)))
            await asyncio.sleep(VIEW_S / BURST / 2)
        answers = [data for data, _reset in await asyncio.gather(*calls)]
        assert [data[:12] for data in answers] == [b"HTTP/1.1 200"] * BURST
        assert all(data.endswith(SOUND_BODY) for data in answers)


@pytest.mark.parametrize("deadline_s", [0.4, 2.0, 20.0])
async def test_wait_for_the_first_view_is_bounded(deadline_s):
    async with run_site(sound) as site:
        Withheld(site.front)
        data, took_s = await fetch_timed(site, deadline_s=deadline_s)
        assert data.startswith(b"HTTP/1.1 503")
        assert b"request-outcome: not-run" in data.lower()
        assert b"retry-after:" in data.lower()
        bound_s = min(FIRST_VIEW_S, deadline_s * MAX_WAIT_SHARE)
        assert took_s <= bound_s + MARGIN_S
        assert site.failed.requests == site.sound.requests == 0


async def test_instance_without_a_view_for_long_refuses_at_once():
    async with run_site(sound) as site:
        Withheld(site.front, started_s_ago=FIRST_VIEW_S)
        data, took_s = await fetch_timed(site, deadline_s=20.0)
        assert data.startswith(b"HTTP/1.1 503")
        assert took_s <= MARGIN_S


async def test_caller_that_leaves_while_it_waits_reaches_no_server():
    async with run_site(sound) as site:
        withheld = Withheld(site.front)
        _reader, writer = await open_request(site, deadline_s=20.0)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        assert not site.front.connections
        withheld.arrive()
        await asyncio.sleep(0.1)
        assert site.failed.requests == site.sound.requests == 0


# Guards against a request that waits for the first view and is dropped without an
# answer when its instance ends its requests in a planned stop.
async def test_stop_during_the_wait_for_the_first_view_is_told():
    async with run_site(sound) as site:
        Withheld(site.front)
        call = asyncio.ensure_future(fetch_timed(site, deadline_s=20.0))
        await asyncio.sleep(0.1)
        site.front.stopping = True
        callers.end_requests(site.front)
        data, took_s = await call
        assert data.startswith(b"HTTP/1.1 503")
        assert b"request-outcome: not-run" in data.lower()
        assert took_s <= MARGIN_S + 0.1
        assert site.failed.requests == site.sound.requests == 0


# Guards against a request that waits for the view of a restored store, which takes its
# route back and brings it again: it is answered by what is in force when it is sent.
async def test_route_that_goes_and_comes_back_during_the_wait():
    async with run_site(sound) as site:
        withheld = Withheld(site.front)
        call = asyncio.ensure_future(fetch_timed(site, deadline_s=20.0))
        await asyncio.sleep(0.1)
        withheld.arrive()
        site.front.view.table = None
        notify_change(site.front.view)
        await asyncio.sleep(0.1)
        withheld.arrive()
        data, _took_s = await call
        assert data.startswith(b"HTTP/1.1 200")
        assert data.endswith(SOUND_BODY)
