"""Look-ups that reach an instance before it has read its first view."""

import asyncio
import json
import time

import pytest
from cutsites import run_cut_site
from flamingolift_decisions.fleetreturn import FIRST_VIEW_S, LOOKUP_WAIT_S
from flamingolift_front.state import notify_change
from flamingolift_platform.controlapi import answer_lookup

TARGET = "/api/resolve?name=shop.example&region=upland&zone=upland-0"
MARGIN_S = 0.2
"""Time that an answer may take beyond its bound (s)."""


@pytest.fixture
async def front(monkeypatch, tmp_path):
    """Yields a front that has just started, and the instances it will know."""
    async with run_cut_site(monkeypatch, tmp_path) as site:
        front = site.instances[0].front
        known, front.view.instances = front.view.instances, {}
        front.started_at = time.monotonic()
        yield front, known


async def look_up(front):
    started = time.monotonic()
    response = await answer_lookup(front, TARGET)
    return response.status, json.loads(response.body), time.monotonic() - started


# Guards against failed look-ups at every instance of a fleet that has just come back.
async def test_look_up_is_answered_after_the_first_view(front):
    front, known = front

    def arrive():
        front.view.instances = known
        notify_change(front.view)

    asyncio.get_running_loop().call_later(0.3, arrive)
    status, body, took_s = await look_up(front)
    assert status == 200
    assert len(body["addresses"]) == len(known)
    assert took_s <= 0.3 + MARGIN_S


async def test_wait_of_a_look_up_is_bounded(front):
    front, _known = front
    status, _body, took_s = await look_up(front)
    assert status == 503
    assert LOOKUP_WAIT_S <= took_s <= LOOKUP_WAIT_S + MARGIN_S


async def test_instance_without_a_view_for_long_fails_a_look_up_at_once(front):
    front, _known = front
    front.started_at -= FIRST_VIEW_S
    status, _body, took_s = await look_up(front)
    assert status == 503
    assert took_s <= MARGIN_S
