"""Starts fleets of real processes and runs the command line, for the tests."""

import asyncio
import os
import pathlib
import sys

from flamingolift_standins.fleet import (
    OPERATOR_KEY,
    start_fleet,
    start_instances,
    stop_fleet,
    wait_ready,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
RAIL = {
    "greater-accra": ["accra-central", "tema-junction"],
    "ashanti": ["kumasi-yard", "obuasi-line"],
    "western": ["takoradi-port", "tarkwa-depot"],
}
SERVICES = [
    ("timetable", 6, 6, 20),
    ("seat-booking", 6, 5, 20),
    ("route-packs", 6, 3, 20),
    ("rolling-stock", 3, 3, 20),
]
RAIL_POLICY = (ROOT / "policies/rail.toml").read_text()


async def run_cli(fleet, *args):
    """Runs the operator's command line; returns (exit status, output)."""
    env = {
        **os.environ,
        "FLAMINGOLIFT_STORE_URL": fleet.store_url,
        "FLAMINGOLIFT_OPERATOR_KEY": OPERATOR_KEY,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "flamingolift_cli.main",
        *args,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def apply_text(fleet, text, *args, name="policy.toml"):
    """Applies a policy text; returns (exit status, output)."""
    path = pathlib.Path(fleet.folder) / name
    path.write_text(text)
    return await run_cli(fleet, "apply", str(path), *args)


async def make_fleet(folder, *, per_domain=1, services=SERVICES, **options):
    """Returns a running fleet of the Rail Authority with its policy in force."""
    fleet = await start_fleet(RAIL, per_domain, services, folder, options=options)
    try:
        await start_instances(fleet)
        status, output = await apply_text(fleet, RAIL_POLICY, "--wait-s", "20")
        assert status == 0, output
        await wait_ready(fleet)
    except BaseException:
        await stop_fleet(fleet)
        raise
    return fleet
