"""Demonstrates look-up, booking, drain and policy change on a fleet of processes."""

import asyncio
import json
import pathlib
import sys
import tempfile

from flamingolift_standins.commands import run_command
from flamingolift_standins.fleet import (
    RAIL_REGIONS,
    operator_get,
    start_fleet,
    start_instances,
    stop_fleet,
    wait_ready,
    wait_until,
)
from flamingolift_standins.fleetcontrol import backend_reports

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVICES = [
    ("timetable", 6, 6, 20),
    ("seat-booking", 3, 5, 30),
    ("route-packs", 3, 3, 20),
    ("rolling-stock", 3, 3, 20),
    ("plot-listings", 3, 3, 20),
]
IN_FORCE_TIMEOUT_S = 10.0


async def command(fleet, *args):
    """Runs the operator's command line and shows what it prints."""
    print("$ flamingolift", " ".join(args))
    status, output = await run_command(fleet, *args)
    print(output, end="")
    if status != 0:
        raise SystemExit(f"flamingolift {args[0]} failed")


async def look_up(fleet, inst, service, client):
    """Looks up the instance to use for a service."""
    url = f"{inst.url}/v1/lookup?service={service}&client={client}"
    async with fleet.session.get(url) as resp:
        return await resp.json()


async def show_lookup(fleet, instances):
    """Looks up the timetable at two instances and checks that it arrives complete."""
    answers = [await look_up(fleet, i, "timetable", "10.12.7.9") for i in instances[:2]]
    print("look-up:", json.dumps(answers[0]))
    same = [(a["site"], a["instance"]) for a in answers]
    if same[0] != same[1]:
        raise SystemExit(f"two instances disagree: {same}")
    async with fleet.session.get(answers[0]["url"] + "departures?from=kumasi") as resp:
        body = await resp.read()
        length = resp.headers["Content-Length"]
    print(f"timetable: status {resp.status}, {len(body)} of {length} bytes")
    if resp.status != 200 or len(body) != int(length):
        raise SystemExit("the timetable answer is incomplete")


async def show_booking(fleet, instances):
    """Sends one booking to two instances and counts how often it ran."""
    found = await look_up(fleet, instances[0], "seat-booking", "10.13.1.1")
    headers = {"Idempotency-Key": found["idempotency_key"]}

    async def send(inst):
        url = f"{inst.url}/s/seat-booking/bookings"
        async with fleet.session.post(
            url, data=b"club outing, 12 seats", headers=headers
        ) as resp:
            return resp.status, await resp.json()

    answers = await asyncio.gather(*(send(inst) for inst in instances[:2]))
    report = await backend_reports(fleet)
    runs = report["bookings"].get("club outing, 12 seats", 0)
    print(f"booking: sent to two instances, ran {runs} time(s): {answers[0]}")
    if runs != 1 or answers[0] != answers[1]:
        raise SystemExit(f"the booking ran {runs} times: {answers}")


async def show_drain(fleet, inst):
    """Drains a backend server and waits until it gets no new requests."""
    await command(fleet, "drain", "server", "timetable-1")

    async def drained():
        pages = [
            await operator_get(fleet, i, "/v1/status") for i in fleet.instances.values()
        ]
        pools = [p for page in pages for p in page["pools"]]
        servers = [p["servers"].get("timetable-1") for p in pools]
        return all(s["usable"] == 0 for s in servers if s)

    await wait_until(drained, IN_FORCE_TIMEOUT_S, "drain")
    print("drain: timetable-1 gets no new requests")
    await command(fleet, "undrain", "server", "timetable-1")


async def show_policy_change(fleet, folder):
    """Applies a changed policy and shows the reason of an exception."""
    text = (ROOT / "policies/rail.toml").read_text()
    path = pathlib.Path(folder) / "changed.toml"
    path.write_text(text.replace("queue_ms = 500", "queue_ms = 700"))
    await command(fleet, "diff", str(path))
    await command(fleet, "apply", str(path), "--message", "longer timetable queue")
    await command(fleet, "explain", "timetable", "10.12.40.7")
    await command(fleet, "history")
    await command(fleet, "status")


async def main():
    """Runs the demonstration."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start_fleet(RAIL_REGIONS, 1, SERVICES, folder)
        try:
            await start_instances(fleet)
            await command(fleet, "apply", str(ROOT / "policies/rail.toml"))
            await wait_ready(fleet)
            instances = list(fleet.instances.values())
            await show_lookup(fleet, instances)
            await show_booking(fleet, instances)
            await show_drain(fleet, instances[0])
            await show_policy_change(fleet, folder)
        except BaseException:
            for inst in fleet.instances.values():
                log = pathlib.Path(inst.log_path)
                print(log.read_text()[-2000:] if log.exists() else "", file=sys.stderr)
            raise
        finally:
            await stop_fleet(fleet)
    print("demo: done")


if __name__ == "__main__":
    asyncio.run(main())
