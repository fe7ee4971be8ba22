"""A burst of uploads within the configured limits drives instances out of memory.

Each of two instances (222 MB) has eight kept connections with bookings, and three
users who upload documents of 22 MiB (`max_body_bytes` is 64 MiB). In a burst, 5 users
upload, 1.67 times as many. The platform kills a process that exceeds its memory.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MIB = 222
MAX_BODY_BYTES = 64 << 20
UPLOAD_BYTES = 22 << 20
USERS, BURST_USERS = 3, 5
USER_BYTES_PER_S = 16_000_000
KEPT_CONNECTIONS = 8
ROUNDS = 3
ROUND_S = 8.0
LOST_FROM = 4
"""Requests of kept connections from which LOST is broken: "more than three times"."""
ENDS_PER_MACHINE = 3
ROUTES = [
    ["booking", st.HOST, "/book/", "unsafe", "3s", "600ms", 1, 2, "bokun"],
    ["documents", st.HOST, "/docs/", "unsafe", "5s", "2s", 2, 2, "skjol"],
]


class Machine:
    """An instance, its bookings that are in flight, and what became of them."""

    def __init__(self, instance):
        self.instance, self.ends, self.largest = instance, 0, []
        self.sent = {}


async def guard(platform, machine):
    """Kills the process above its memory, and starts it again."""
    while True:
        watcher = await asyncio.create_subprocess_exec(
            "python3",
            "-B",
            str(FOLDER.parent / "standins" / "memory_guard.py"),
            str(machine.instance.process.pid),
            str(MEMORY_MIB),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            text = (await watcher.communicate())[0].decode().strip()
        finally:
            if watcher.returncode is None:
                watcher.kill()
        platform.record.write(f"{machine.instance.name}: {text}")
        machine.ends += 1
        await machine.instance.process.wait()
        await asyncio.sleep(0.5)
        await platform.launch(machine.instance)


async def book(machine, number, record, lost):
    """Sends bookings on a kept connection, one after the other."""
    count, port = 0, machine.instance.ports["front"]
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        name, answered = "", 0
        try:
            while True:
                name = f"{machine.instance.name}-book-{number}-{count}"
                count += 1
                writer.write(st.build_request("POST", "/book/x", name, 4000, b"row 7"))
                await st.read_answer(reader)
                answered += 1
        except (OSError, asyncio.IncompleteReadError) as exc:
            record.write(f"{name}: no answer, {type(exc).__name__}")
            # A connection on which answers came before is a kept one.
            if answered:
                lost.append(name)
        finally:
            writer.close()


async def upload(machine, name, record):
    """Uploads one document at the user's bandwidth."""
    data = st.build_request("POST", "/docs/x", name, 6000, bytes(UPLOAD_BYTES))
    port, started, sent = machine.instance.ports["front"], time.monotonic(), 0
    try:
        async with asyncio.timeout(6.5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                while sent < len(data):
                    writer.write(data[sent : sent + 65536])
                    sent += 65536
                    await writer.drain()
                    ahead_s = started + sent / USER_BYTES_PER_S - time.monotonic()
                    if ahead_s > 0.0:
                        await asyncio.sleep(ahead_s)
                status = (await st.read_answer(reader))[0]
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        status = type(exc).__name__
    record.write(f"{name}: {status}")


async def run(record):
    """Returns whether bookings were lost or machines ended too often."""
    async with st.Platform(record) as platform:
        limits = {"max_body_bytes": MAX_BODY_BYTES}
        platform.put_config(3, ROUTES, ["bokun", "skjol"], limits)
        for number in (1, 2, 3):
            await platform.add_server(f"i-book-{number}", "bokun", lambda path: 0.5)
            await platform.add_server(f"i-docs-{number}", "skjol")
        machines, lost = [], []
        for zone in ("sud-hvoll", "sud-myri"):
            instance = await platform.add_instance(f"front-{zone}-1", zone=zone)
            machines.append(Machine(instance))
        for machine in machines:
            await platform.wait_ready(machine.instance)
        tasks = [asyncio.create_task(guard(platform, m)) for m in machines]
        await asyncio.sleep(4.0)
        for machine in machines:
            for number in range(KEPT_CONNECTIONS):
                task = book(machine, number, record, lost)
                tasks.append(asyncio.create_task(task))
        for turn in range(ROUNDS):
            await asyncio.sleep(ROUND_S - 4.0)
            users = BURST_USERS if TROUBLE else USERS
            record.write(f"{users} users upload to each instance")
            await asyncio.gather(
                *(
                    upload(m, f"{m.instance.name}-docs-{turn}-{user}", record)
                    for m in machines
                    for user in range(users)
                )
            )
        await asyncio.sleep(1.0)
        done = {run[0] for s in platform.servers for run in s.runs}
        ends = [machine.ends for machine in machines]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ran = sum(name in done for name in lost)
        record.write(f"own ends of the processes: {ends}")
        record.write(
            f"{len(lost)} bookings of kept connections lost, {ran} of them ran"
        )
        ends_broken = sum(n >= ENDS_PER_MACHINE for n in ends) >= len(machines)
        record.write(f"LOST: {ran >= LOST_FROM}; Fault: {ends_broken}")
        return ran >= LOST_FROM or ends_broken


st.run_case(FOLDER, run)
