"""A fleet of real processes for each test module."""

import pytest_asyncio
from flamingolift_standins.fleet import stop_fleet
from helpers import make_fleet


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory, request):
    options = getattr(request.module, "FLEET_OPTIONS", {})
    running = await make_fleet(tmp_path_factory.mktemp("fleet"), **options)
    yield running
    await stop_fleet(running)
