"""Peak memory of one front against its limit, under what callers and servers send."""

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time

from integration.memoryload import (
    ROUTES,
    hold_answer,
    own_peak_mb,
    put_large_limits,
    send_endlessly,
    start_large_server,
    trickle,
    try_bookings,
    upload,
)
from integration.platformfleet import (
    events,
    has_policy,
    make_platform,
    make_routes,
    start_front,
    stop_platform,
    wait_until,
)

__all__ = ["CASES", "main"]

MIB = 1 << 20
START_TIMEOUT_S = 60.0
ODD_INPUT_S = 8.0
"""Time for which odd input is sent (s)."""
HOLD_S = 4.0
"""Time for which slow callers do not read their answers (s)."""
LARGE_POLICY_ROUTES = 9000


def _uploads(count, size):
    async def run(_fleet, front):
        sizes = (upload(front, f"u{n}", size) for n in range(count))
        return collections.Counter(await asyncio.gather(*sizes))

    return run


def _slow_callers(count):
    async def run(_fleet, front):
        calls = (hold_answer(front, f"s{n}", HOLD_S) for n in range(count))
        return collections.Counter(await asyncio.gather(*calls))

    return run


def _uploads_beside_policies(count, size):
    async def run(fleet, front):
        uploads = asyncio.create_task(_uploads(count, size)(fleet, front))
        for version in (2, 3):
            rows = make_routes(LARGE_POLICY_ROUTES, seed=version)
            put_large_limits(fleet, version, ROUTES + [_as_long(r) for r in rows])
            await asyncio.sleep(1.0)
        await wait_until(lambda: has_policy(front, 3), START_TIMEOUT_S)
        return await uploads

    return run


def _as_long(row):
    return [*row[:4], "5s", *row[5:]]


def _endless_bodies(count):
    async def run(_fleet, front):
        calls = (send_endlessly(front, f"e{n}", ODD_INPUT_S) for n in range(count))
        return collections.Counter(await asyncio.gather(*calls))

    return run


def _trickles(count):
    async def run(_fleet, front):
        await asyncio.gather(*(trickle(front, ODD_INPUT_S) for _ in range(count)))
        return {}

    return run


def _all_at_once():
    parts = (_uploads_beside_policies(50, 22 * MIB), _slow_callers(500))

    async def run(fleet, front):
        counts = await asyncio.gather(*(part(fleet, front) for part in parts))
        return sum(counts, collections.Counter())

    return run


CASES = {
    "idle": _trickles(0),
    "uploads-5x22": _uploads(5, 22 * MIB),
    "uploads-5x60": _uploads(5, 60 * MIB),
    "uploads-50x22": _uploads(50, 22 * MIB),
    "uploads-50x60": _uploads(50, 60 * MIB),
    "uploads-5x22-policies": _uploads_beside_policies(5, 22 * MIB),
    "slow-callers-500": _slow_callers(500),
    "all-at-once": _all_at_once(),
    "length-over-limit-50": _uploads(50, 65 * MIB),
    "endless-bodies-20": _endless_bodies(20),
    "trickles-2000": _trickles(2000),
}
"""Map of a case's name to its load: a coroutine function of the fleet and the front
that returns the counts of how its requests ended."""


async def _run_case(name, memory_mb, folder):
    """Returns the figures of one case as a map."""
    fleet = await make_platform(folder, policy=False)
    server = None
    try:
        put_large_limits(fleet, 1)
        server = await start_large_server(fleet, "i-large-1")
        front = await start_front(fleet, "front-a", memory_mb=memory_mb)
        await wait_until(lambda: has_policy(front, 1), START_TIMEOUT_S)
        await wait_until(lambda: events(front, "server_changed"), START_TIMEOUT_S)
        done = asyncio.Event()
        bookings = asyncio.create_task(try_bookings(front, done))
        await asyncio.sleep(1.0)
        started = time.monotonic()
        counts = await CASES[name](fleet, front)
        seconds = time.monotonic() - started
        done.set()
        served, sent = await bookings
        return {
            "case": name,
            "limit_mb": memory_mb,
            "peak_mb": round(own_peak_mb(front), 1),
            "ended": {str(end): number for end, number in counts.items()},
            "bookings_served": served,
            "bookings_sent": sent,
            "seconds": round(seconds, 1),
        }
    finally:
        if server is not None:
            for writer in list(server.writers):
                writer.transport.abort()
            server.server.close()
        await stop_platform(fleet)


def main(argv):
    """Runs cases and prints the figures of each as a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", type=float, action="append", help="MB")
    parser.add_argument("cases", nargs="*", choices=[*CASES, []])
    args = parser.parse_args(argv)
    for memory_mb in args.limit or [152, 222, 552]:
        for name in args.cases or CASES:
            with tempfile.TemporaryDirectory() as folder:
                case = _run_case(name, memory_mb, pathlib.Path(folder))
                print(json.dumps(asyncio.run(case)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
