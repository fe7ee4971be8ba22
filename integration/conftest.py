"""Fixtures that start fleets of real processes."""

import asyncio

import pytest_asyncio
from flamingolift_standins.fleet import stop_fleet
from helpers import make_fleet
from platformfleet import (
    RETRY_WINDOW_S,
    add_server,
    is_ready,
    make_platform,
    start_front,
    stop_platform,
    wait_until,
)

START_TIMEOUT_S = 30.0
"""Longest time to wait until a front is ready (s); it allows for a busy machine, and
the benchmark measures the start itself."""


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory, request):
    options = getattr(request.module, "FLEET_OPTIONS", {})
    running = await make_fleet(tmp_path_factory.mktemp("fleet"), **options)
    yield running
    await stop_fleet(running)


@pytest_asyncio.fixture
async def platform(tmp_path):
    fleet = await make_platform(tmp_path)
    await add_server(fleet, "i-read-1", "reads")
    await add_server(fleet, "i-book-1", "books")
    yield fleet
    await stop_platform(fleet)


@pytest_asyncio.fixture
async def front(platform):
    started = await start_front(platform, "front-1")
    await wait_until(lambda: is_ready(started), START_TIMEOUT_S)
    await asyncio.sleep(RETRY_WINDOW_S)
    return started
