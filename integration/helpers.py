"""Starts a fleet of instances as real processes for the tests."""

import pathlib

from flamingolift_standins.commands import apply_policy
from flamingolift_standins.fleet import (
    RAIL_REGIONS,
    start_fleet,
    start_instances,
    stop_fleet,
    wait_ready,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = [
    ("timetable", 6, 6, 20),
    ("seat-booking", 6, 5, 20),
    ("route-packs", 6, 3, 20),
    ("rolling-stock", 3, 3, 20),
]
"""List of (service, number of servers, slots of each, mean processing time (ms))."""
RAIL_POLICY = (ROOT / "policies/rail.toml").read_text()
STORE_TIMEOUT_S = 20.0
"""Timeout of calls to the store while a fleet starts (s); it is long because all
processes start at the same time and share the cores with the store."""


async def make_fleet(folder, *, per_domain=1, services=SERVICES, **options):
    """Returns a running fleet of the Rail Authority, with its policy in force."""
    fleet = await start_fleet(
        RAIL_REGIONS, per_domain, services, folder, options=options
    )
    try:
        await start_instances(fleet)
        status, output = await apply_policy(
            fleet, RAIL_POLICY, "--wait-s", "20", store_timeout_s=STORE_TIMEOUT_S
        )
        assert status == 0, output
        await wait_ready(fleet)
    except BaseException:
        await stop_fleet(fleet)
        raise
    return fleet
