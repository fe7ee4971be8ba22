import ast
import asyncio
import gc
import json
import os
import pathlib
import time

from flamingolift_front import eventlog
from flamingolift_model.events import EVENT_FIELDS

ROOT = pathlib.Path(__file__).resolve().parents[5]
SOURCES = ("packages/front/src", "platform/src")


def logged_events():
    """Yields the name and the fields of each log call in the sources."""
    for folder in SOURCES:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and _name(node) in _LOG_CALLS:
                    yield from _read_call(node)


_LOG_CALLS = {"log_event": 1, "_append": 2}


def _name(call):
    return getattr(call.func, "attr", getattr(call.func, "id", ""))


def _read_call(call):
    event = call.args[_LOG_CALLS[_name(call)]]
    if isinstance(event, ast.Constant):
        if _name(call) == "log_event":
            names = [keyword.arg for keyword in call.keywords]
            yield event.value, [name for name in names if name != "failure"]
        else:
            yield event.value, [key.value for key in call.args[3].keys]


def test_every_event_in_the_code_is_in_the_schema():
    # A leaked connection that is collected while `ast` parses breaks that parse.
    gc.collect()
    found = dict(logged_events())
    assert set(found) == set(EVENT_FIELDS)
    for name, fields in found.items():
        assert set(fields) == set(EVENT_FIELDS[name]), name


def read_lines(fd):
    os.set_blocking(fd, False)
    try:
        text = os.read(fd, 1 << 20).decode()
    except BlockingIOError:
        return []
    return [json.loads(line) for line in text.splitlines()]


async def test_lines_above_the_rate_limit_are_dropped_and_counted():
    reader, writer = os.pipe()
    log = eventlog.EventLog(writer, "i1")
    for _line in range(1000):
        eventlog.log_event(log, "stopped", unfinished=0)
    await asyncio.sleep(0)
    assert len(read_lines(reader)) <= 2 * eventlog.LINES_PER_S
    log.second -= 1
    eventlog.log_event(log, "stopped", unfinished=1)
    await asyncio.sleep(0)
    reports = [
        line for line in read_lines(reader) if line["event"] == "log_lines_dropped"
    ]
    assert reports[0]["counts"]["stopped"] >= 1000 - 2 * eventlog.LINES_PER_S


async def test_flood_of_successes_does_not_displace_failures():
    reader, writer = os.pipe()
    log = eventlog.EventLog(writer, "i1")
    for number in range(1000):
        eventlog.log_event(log, "stopped", unfinished=0)
        if number % 100 == 99:
            eventlog.log_event(log, "stopped", failure=True, unfinished=1)
    await asyncio.sleep(0)
    failures = [line for line in read_lines(reader) if line.get("unfinished")]
    assert len(failures) == 10


async def test_full_pipe_drops_lines_without_blocking():
    reader, writer = os.pipe()
    log = eventlog.EventLog(writer, "i1")
    started = time.monotonic()
    for second in range(200):
        log.second = -second - 1
        for _line in range(eventlog.LINES_PER_S):
            eventlog.log_event(log, "stopped", unfinished="x" * 400)
        await asyncio.sleep(0)
    assert len(log.pending) <= eventlog.MAX_PENDING_BYTES + 4096
    assert sum(log.dropped.values()) > 0
    # A blocking write to the full pipe would never return.
    assert time.monotonic() - started < 30.0
    os.close(reader)
