"""Rate-limited structured log that never blocks the event loop."""

import asyncio
import collections
import logging
import os
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["LARGE_MESSAGE_BYTES", "EventLog", "flush_log", "log_event"]

LARGE_MESSAGE_BYTES = 1 << 14
"""Size from which a message between instances gets a log line (bytes)."""

LINES_PER_S = 60
"""Lines of one event that are written within a second (1/s); further ones are dropped
and counted. Lines that report a failure have a limit of their own."""
MAX_PENDING_BYTES = 1 << 18
"""Size of the buffer of unwritten lines from which new lines are dropped (bytes)."""
RETRY_S = 0.05
"""Pause before the next write after the pipe was full (s)."""


class EventLog:
    """Buffer of unwritten lines and counters of the rate limit.

    Attributes:
        fd: File descriptor, made non-blocking.
        formatter: Formatter of one line.
        pending: Bytes that wait to be written.
        scheduled: Whether a write is scheduled.
        second: Current second (s, monotonic).
        lines: Counter of the lines in the current second by event and whether they
            report a failure.
        dropped: Counter of the dropped lines of each event.
    """

    __slots__ = (
        "dropped",
        "fd",
        "formatter",
        "lines",
        "pending",
        "scheduled",
        "second",
    )

    def __init__(self, fd, instance_id):
        self.fd = fd
        os.set_blocking(fd, False)
        self.formatter = JsonFormatter(
            "%(message)s",
            rename_fields={"message": "event"},
            static_fields={"instance": instance_id},
        )
        self.pending = bytearray()
        self.scheduled = False
        self.second = 0
        self.lines = collections.Counter()
        self.dropped = collections.Counter()


def log_event(log, event, *, failure=False, **fields):
    """Queues one line.

    Args:
        log: EventLog.
        event: Name of the event, as listed in schema/events.toml.
        failure: Whether the line reports a failure. Failures are limited separately,
            so that a flood of successes of the same event does not displace them.
        **fields: Values of the line; they must be JSON values.
    """
    now = time.monotonic()
    if int(now) != log.second:
        _start_second(log, int(now))
    log.lines[event, failure] += 1
    if log.lines[event, failure] > LINES_PER_S or len(log.pending) > MAX_PENDING_BYTES:
        log.dropped[event] += 1
        return
    _append(log, now, event, fields)


def _start_second(log, second):
    log.second = second
    log.lines.clear()
    if log.dropped and len(log.pending) <= MAX_PENDING_BYTES:
        dropped, log.dropped = dict(log.dropped), collections.Counter()
        _append(log, time.monotonic(), "log_lines_dropped", {"counts": dropped})


def _append(log, now, event, fields):
    record = logging.LogRecord("flamingolift", 0, "", 0, event, (), None)
    record.__dict__.update(at=round(time.time(), 3), mono=round(now, 3), **fields)
    log.pending += log.formatter.format(record).encode() + b"\n"
    if not log.scheduled:
        log.scheduled = True
        asyncio.get_running_loop().call_soon(flush_log, log)


def flush_log(log):
    """Writes pending lines until the pipe is full, then schedules the rest.

    Args:
        log: EventLog.
    """
    log.scheduled = False
    if not log.pending:
        return
    try:
        written = os.write(log.fd, log.pending)
    except BlockingIOError:
        written = 0
    except OSError:
        # The reader closed the pipe, so the lines cannot be delivered.
        log.pending.clear()
        return
    del log.pending[:written]
    if log.pending:
        log.scheduled = True
        asyncio.get_running_loop().call_later(RETRY_S, flush_log, log)
