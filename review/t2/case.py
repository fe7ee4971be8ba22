"""A booking that an instance has read is left without an answer in a planned stop.

One connection carries two look-ups and a booking behind them. The instance has read
all three when it gets SIGTERM: they came in one segment, and the second look-up was
sent to its server before the first one was answered.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONNECTIONS = 5
WORK_S = 1.0
LOSS_SLACK_S = 0.2
DEADLINE_MS = 5000
ROUTES = [
    ["listing", st.HOST, "/list/", "safe", "3s", "400ms", 2, 2, "plotaskra"],
    ["booking", st.HOST, "/book/", "unsafe", "3s", "600ms", 1, 2, "bokun"],
]


class Caller:
    """One connection and the answers that came back on it."""

    def __init__(self, number):
        self.names = [f"{kind}-{number}" for kind in ("list-a", "list-b", "book")]
        self.sent_at = self.closed_at = 0.0
        self.answers = []


async def use_connection(instance, caller, record):
    """Sends three requests and reads answers until the connection ends."""
    port = instance.ports["front"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    first, second, booking = caller.names
    data = st.build_request("GET", "/list/a", first, DEADLINE_MS)
    data += st.build_request("GET", "/list/b", second, DEADLINE_MS)
    data += st.build_request("POST", "/book/x", booking, DEADLINE_MS, b"row 7")
    writer.write(data)
    caller.sent_at = time.monotonic()
    record.write(f"sent on one connection: {', '.join(caller.names)}")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000.0 + 1.0):
            while len(caller.answers) < len(caller.names):
                status, headers, body = await st.read_answer(reader)
                name = caller.names[len(caller.answers)]
                caller.answers.append(status)
                close = headers.get("connection", "-")
                record.write(f"{name} answered {status}, Connection: {close}, {body}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        record.write(f"connection of {caller.names[0]} ended: {type(exc).__name__}")
    caller.closed_at = time.monotonic()
    writer.close()


async def run(record):
    """Returns whether a booking that was read got no answer."""
    async with st.Platform(record) as platform:
        platform.put_config(3, ROUTES, ["plotaskra", "bokun"])
        lists = [
            await platform.add_server(f"i-list-{n}", "plotaskra", lambda path: WORK_S)
            for n in (1, 2)
        ]
        books = [
            await platform.add_server(f"i-book-{n}", "bokun", lambda path: 0.2)
            for n in (1, 2)
        ]
        instance = await platform.add_instance("front-sud-hvoll-1")
        await platform.wait_ready(instance)
        # In touch, and none of the servers is taken for cold any more.
        await asyncio.sleep(4.0)
        callers = [Caller(n) for n in range(CONNECTIONS)]
        tasks = [
            asyncio.create_task(use_connection(instance, caller, record))
            for caller in callers
        ]
        await asyncio.sleep(0.5)
        begun = {run[0] for server in lists for run in server.runs}
        for caller in callers:
            if caller.names[1] not in begun:
                raise RuntimeError(f"{caller.names[1]} was not started early")
        if TROUBLE:
            record.write("SIGTERM to the instance; each second look-up runs already")
            instance.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        booked = {run[0] for server in books for run in server.runs}
        lost = 0
        for caller in callers:
            late = caller.closed_at - caller.sent_at > LOSS_SLACK_S
            if len(caller.answers) < len(caller.names) and late:
                name = caller.names[2]
                ran = "ran" if name in booked else "did not run"
                open_s = caller.closed_at - caller.sent_at
                record.write(
                    f"{name} was read and got no answer; it {ran}; its connection"
                    f" ended {open_s:.2f} s after it was sent"
                )
                lost += 1
        record.write(f"{lost} of {CONNECTIONS} bookings got no answer")
        return lost > 0


st.run_case(FOLDER, run)
