"""Fronts of the last landing's build beside those of this one."""

import asyncio
import os
import pathlib
import subprocess
import sys
import time

import pytest
from platformfleet import (
    HOST,
    ROUTES,
    add_server,
    events,
    is_ready,
    late_route,
    put_policy,
    send,
    start_front,
    wait_until,
)
from test_crashing_requests import (
    arrivals,
    crash_play,
    crash_times,
    end_three_servers,
    send_crash,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
LAST_LANDING = "d43db16"
"""Commit of the last landing, whose build runs when an upgrade begins."""
PACKAGES = ("model", "decisions", "wire", "front")
START_TIMEOUT_S = 30.0
IN_FORCE_S = 3.0
"""Time in which an acknowledged policy must be in force on every instance (s)."""


@pytest.fixture(scope="module")
def old_path(tmp_path_factory):
    """Returns the module search path of the last landing's build."""
    folder = tmp_path_factory.mktemp("old")
    names = [f"packages/{name}/src" for name in PACKAGES]
    archive = subprocess.run(
        ["git", "archive", LAST_LANDING, *names, "platform/src"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(["tar", "-x"], cwd=folder, input=archive.stdout, check=True)
    return os.pathsep.join(str(folder / name) for name in (*names, "platform/src"))


async def start_ready(platform, name, search_path=None):
    """Starts a front of this build, or of the one on a search path."""
    front = await start_front(platform, name, search_path=search_path)
    await wait_until(lambda: is_ready(front), START_TIMEOUT_S)
    return front


async def stop(front):
    front.process.terminate()
    await front.process.wait()


def test_search_path_selects_the_old_build(old_path):
    program = "import flamingolift_front as f; print(f.__path__[0])"
    run = subprocess.run(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": old_path},
        check=True,
        capture_output=True,
        text=True,
    )
    assert run.stdout.strip() in [
        f"{folder}/flamingolift_front" for folder in old_path.split(os.pathsep)
    ]


async def has_route(front, path):
    return (await send(front, "GET", path, rid="probe")).status == 200


async def check_change(platform, fronts, number):
    """Checks that a new route is in force on all fronts in time."""
    put_policy(platform.store, number, [*ROUTES, late_route(number)])
    started = time.monotonic()
    for front in fronts:
        await wait_until(
            lambda front=front: has_route(front, f"/late{number}/a"), IN_FORCE_S
        )
    assert time.monotonic() - started < IN_FORCE_S


async def check_traffic(fronts, label, count=20):
    """Checks that reads and bookings are served, each booking once."""
    for number in range(count):
        front = fronts[number % len(fronts)]
        rid = f"{label}-{number}"
        cookie = [f"Cookie: Affinity-Key={number}"]
        method, path = ("POST", "/book/a") if number % 4 == 0 else ("GET", "/read/a")
        reply = await send(front, method, path, rid=rid, headers=cookie)
        assert (rid, reply.status) == (rid, 200)


def check_unharmed(fronts):
    for front in fronts:
        assert not events(front, "task_failed")
        assert not events(front, "crash_report_invalid")


# Guards against a message between instances that the last landing's build cannot take,
# on the way there and on the way back.
@pytest.mark.parametrize("is_upgrade", [True, False], ids=["upgrade", "way back"])
async def test_builds_run_side_by_side(platform, old_path, is_upgrade):
    first, second = (old_path, None) if is_upgrade else (None, old_path)
    await add_server(platform, "i-read-2", "reads")
    fronts = [await start_ready(platform, f"first-{n}", first) for n in range(3)]
    await asyncio.sleep(1.0)
    for number in range(3):
        await check_traffic(fronts, f"before-{number}")
        await stop(fronts[number])
        fronts[number] = await start_ready(platform, f"second-{number}", second)
        await check_change(platform, fronts, 2 + number)
    await check_traffic(fronts, "after")
    check_unharmed(platform.fronts)
    runs = [
        request.headers["request-id"]
        for server in platform.servers.values()
        for request in server.requests
        if request.line.startswith("POST") and request.ended == "ran"
    ]
    assert len(runs) == len(set(runs))


async def test_new_builds_hold_a_request_beside_old_ones(platform, old_path):
    async with crash_play(platform, "/read/", 8) as play:
        old = [await start_ready(platform, f"old-{n}", old_path) for n in range(2)]
        new = [await start_ready(platform, f"new-{n}") for n in range(2)]
        await end_three_servers(play, new[0])

        def is_held():
            return bool(events(new[1], "request_hold_began"))

        await wait_until(is_held)
        before = arrivals(play)
        for front in new:
            reply = await send_crash(front, "late")
            assert (reply.status, reply.headers["result-code"]) == (503, "2011")
        assert arrivals(play) == before
        assert len(crash_times(play)) >= 3
        for front in (*old, *new):
            served = await send(front, "GET", "/read/a", rid="r", host=HOST)
            assert served.status == 200
        check_unharmed([*old, *new])
