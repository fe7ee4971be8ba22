"""Finds out which backend servers ended, and under which requests.

A lost answer alone says nothing: the connection may have been reset. A server that
refuses connections right after it has ended.
"""

import asyncio
import time

from flamingolift_decisions import crashrecord, quarantine
from flamingolift_model import Fault, ResultCode

from flamingolift_front import bytestream, pathrecords
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.eventlog import log_event
from flamingolift_front.fingerprints import fingerprint_of
from flamingolift_front.refusals import RETRY_AFTER_S

__all__ = [
    "Crashes",
    "apply_exception",
    "held_fault",
    "hold_of",
    "note_change",
    "note_lost",
    "note_success",
    "update_holds",
]

PROBE_TIMEOUT_S = 0.4
"""Longest time for a connect that tells whether a server still runs (s)."""
PROBE_PAUSE_S = 0.05
"""Pause before a server that accepted a connection is tried once more (s): its listener
may end a little later than its connections."""
PROBES = 2
"""Connects that a server must accept to count as running."""
MAX_PROBES = 64
"""Servers that are tried at the same time; further lost answers are no evidence."""
HASHED_BODY_BYTES = 1 << 16
"""Size up to which the body of each request that succeeds is hashed (bytes)."""
MAX_LOGGED_SUSPECTS = 8
"""Suspects that a line of the log names."""


class Crashes:
    """What an instance knows of servers that ended, and what it still has to tell.

    Attributes:
        record: CrashRecord.
        probes: Map of (server id, start (ms)) to the set of the fingerprints that wait
            for the result of a probe.
        probe_tasks: Map of the same to the asyncio task.
        news: Set of the keys of the ends that are to be told to peers.
        exceptions: Set of the fingerprints of the exceptions to be told.
        has_news: Event that is set while there is something to tell.
        held: Set of the fingerprints of the requests that are held.
        silent_until: Map of the id of an instance that does not know these reports, or
            does not respond, to the time until which it is not asked (s, monotonic).
        links: Map of (host, port) to the PeerLink over which reports are pulled.
    """

    __slots__ = (
        "exceptions",
        "has_news",
        "held",
        "links",
        "news",
        "probe_tasks",
        "probes",
        "record",
        "silent_until",
    )

    def __init__(self):
        # Instances hear of ends late and in parts, so that a request that seems to
        # be the only suspect of two ends may not be.
        self.record = crashrecord.CrashRecord(min_ends=quarantine.HELD_ENDS)
        self.probes = {}
        self.probe_tasks = {}
        self.news = set()
        self.exceptions = set()
        self.has_news = asyncio.Event()
        self.held = set()
        self.silent_until = {}
        self.links = {}


def hold_of(front, req):
    """Returns the Hold of a request, or None when it may be sent.

    Args:
        front: Front.
        req: CallerRequest.
    """
    record = front.crashes.record
    if not (record.keys_of or record.exceptions):
        return None
    return quarantine.find_hold(record, fingerprint_of(req), time.monotonic())


def held_fault(front, hold, wait_s):
    """Returns the Fault of a held request.

    Args:
        front: Front.
        hold: Hold.
        wait_s: Time until the request may be tried (s).
    """
    pause_s = wait_s + front.rng.uniform(*RETRY_AFTER_S)
    age_s = time.monotonic() - (hold.ends[-1].at if hold.ends else hold.since)
    detail = (
        f"{hold.reason}; last evidence {age_s:.1f} s ago, held for {wait_s:.1f} s;"
        f" fingerprint {hold.fingerprint}"
    )
    return Fault(ResultCode.REQUEST_HELD, detail, retry_after_ms=pause_s * 1000.0)


def note_success(front, req):
    """Records that a server answered a request and did not end under it.

    Args:
        front: Front.
        req: CallerRequest.
    """
    crashes = front.crashes
    if len(req.body) > HASHED_BODY_BYTES and not crashes.record.keys_of:
        return
    fingerprint = fingerprint_of(req)
    cleared = crashrecord.record_success(crashes.record, fingerprint, time.monotonic())
    if cleared:
        note_change(front, cleared, [fingerprint])


def note_lost(front, req, entry):
    """Records that an answer was lost, and finds out whether its server ended.

    Args:
        front: Front.
        req: CallerRequest.
        entry: BackendEntry of the server, as it was at the send.

    Returns:
        The asyncio task that finds out, or None.
    """
    crashes, key = front.crashes, (entry.server_id, entry.started_ms)
    fingerprint = fingerprint_of(req)
    if key in crashes.record.ends:
        _record(front, key, entry.service, [fingerprint])
        return None
    waiting = crashes.probes.get(key)
    if waiting is None:
        if len(crashes.probes) >= MAX_PROBES:
            return None
        waiting = crashes.probes[key] = set()
        crashes.probe_tasks[key] = start_task(front, _probe(front, key, entry))
    waiting.add(fingerprint)
    return crashes.probe_tasks[key]


async def _probe(front, key, entry):
    """Finds out whether a server ended, and records it."""
    crashes = front.crashes
    try:
        has_ended = await _has_ended(front, entry)
    finally:
        suspects = crashes.probes.pop(key)
        del crashes.probe_tasks[key]
    if has_ended:
        _record(front, key, entry.service, suspects)
    else:
        named = sorted(suspects)[:MAX_LOGGED_SUSPECTS]
        log_event(front.log, "server_still_runs", server=key[0], suspects=named)


async def _has_ended(front, entry):
    """Returns whether a server refuses connections.

    A connect that hangs or fails otherwise may be the fault of the path.
    """
    for number in range(PROBES):
        if number:
            await asyncio.sleep(PROBE_PAUSE_S)
        try:
            stream = await bytestream.connect(entry.host, entry.port, PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        front.pool.opened += 1
        bytestream.close(stream)
    return False


def _record(front, key, service, fingerprints):
    now = time.monotonic()
    if crashrecord.record_end(front.crashes.record, key, service, fingerprints, now):
        note_change(front, [key], fingerprints, "own")


def note_change(front, keys, fingerprints, source=""):
    """Logs changed ends, finds new verdicts, and has the change told to peers.

    Args:
        front: Front.
        keys: List of the keys of the ends that changed.
        fingerprints: Iterable of the fingerprints of which something is known anew.
        source: "own" or "peer" for reports about an end; empty for a success.
    """
    crashes, now = front.crashes, time.monotonic()
    for key in keys:
        end = crashes.record.ends.get(key)
        if end is None or not source:
            continue
        pathrecords.note_ended(front, end.service, end.server_id)
        front.metrics.server_ends.labels(source).inc()
        log_event(
            front.log,
            "server_ended",
            server=key[0],
            started=key[1],
            service=end.service,
            source=source,
            suspects=sorted(end.suspects)[:MAX_LOGGED_SUSPECTS],
            age_s=round(now - end.at, 2),
        )
    crashes.news.update(keys)
    crashes.has_news.set()
    update_holds(front, fingerprints)


def apply_exception(front, fingerprint, exception):
    """Applies an operator's exception, and has it told to peers.

    Args:
        front: Front.
        fingerprint: Fingerprint of the request.
        exception: HoldException.

    Returns:
        Whether it is in force; not if a later one is known.
    """
    crashes = front.crashes
    if not quarantine.set_exception(crashes.record, fingerprint, exception):
        return False
    crashes.exceptions.add(fingerprint)
    crashes.has_news.set()
    update_holds(front, [fingerprint])
    return True


def update_holds(front, fingerprints):
    """Logs which requests are newly held, and which are no longer.

    Args:
        front: Front.
        fingerprints: Iterable of fingerprints of which something is known anew.

    Notes:
        A request that is held may explain the ends under others, so the verdicts on
        all held requests are made anew.
    """
    crashes, now = front.crashes, time.monotonic()
    for fingerprint in crashes.held.union(fingerprints):
        hold = quarantine.find_hold(crashes.record, fingerprint, now)
        if hold is None:
            if fingerprint in crashes.held:
                crashes.held.discard(fingerprint)
                log_event(front.log, "request_hold_ended", fingerprint=fingerprint)
        elif fingerprint not in crashes.held:
            crashes.held.add(fingerprint)
            log_event(
                front.log,
                "request_hold_began",
                fingerprint=fingerprint,
                service=hold.service,
                servers=[end.server_id for end in hold.ends],
                age_s=round(now - hold.ends[-1].at, 2) if hold.ends else 0.0,
                until_s=round(hold.until - now, 2),
                reason=hold.reason,
            )
