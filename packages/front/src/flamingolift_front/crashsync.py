"""Tells instances of servers that ended, and of the requests under which they did.

A change is passed on to a few random instances by each instance for which it is new.
Besides, each instance compares its record with a peer's once a second, so that one that
started late, was frozen or cut off learns what it missed. Nothing passes through the
store.
"""

import asyncio
import time

import msgpack
from flamingolift_decisions import crashrecord, quarantine
from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_model import from_plain, to_plain
from flamingolift_model.crashes import (
    CrashReport,
    CrashSuspect,
    ExceptionReport,
)

from flamingolift_front import crashwatch, httpcall, peerlink
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.eventlog import log_event
from flamingolift_front.responses import binary_response

__all__ = [
    "MAX_REPORT_BYTES",
    "call_peer",
    "pull_crashes",
    "serve_crashes",
    "spread_crashes",
]

SPREAD_PAUSE_S = 0.05
"""Time for which changes are collected before they are told (s)."""
FANOUT = 4
"""Instances that are told of a change by each instance for which it is new."""
MAX_SENDING = 16
"""Reports that are being sent at the same time."""
PULL_INTERVAL_S = 1.0
"""Mean interval between comparisons with a peer (s): several within the time in which
all instances have to know of a request that ends servers."""
FIRST_PULL_INTERVAL_S = 0.2
"""The same until the first comparison after the start (s)."""
PULLED_PEERS = 3
"""Peers with which an instance compares its record in turn."""
CALL_TIMEOUT_S = 0.5
"""Longest time for a peer's reply (s)."""
SILENT_S = 5.0
"""Time for which a peer that failed is not asked (s)."""
UNSUPPORTED_S = 30.0
"""Time for which a peer whose build does not know these reports is not asked (s)."""
MAX_REPORTS = 64
"""Ends in one message; the rest follows with the next comparisons."""
MAX_REPORT_BYTES = 1 << 18
"""Largest message (bytes)."""
MAX_RECORD_BYTES = 1 << 19
"""Largest reply of a peer that tells of its record (bytes): `MAX_REPORTS` ends with
64 suspects each, and its exceptions."""


async def spread_crashes(front):
    """Tells other instances of changes, until the task is cancelled.

    Args:
        front: Front.
    """
    crashes, sending = front.crashes, asyncio.Semaphore(MAX_SENDING)

    async def send(entry, message):
        try:
            link = peerlink.PeerLink((entry.host, entry.peer_port))
            await call_peer(front, entry, link, "/crashes", message)
            peerlink.close_link(link)
        finally:
            sending.release()

    while True:
        await crashes.has_news.wait()
        await asyncio.sleep(SPREAD_PAUSE_S)
        crashes.has_news.clear()
        keys, crashes.news = crashes.news, set()
        named, crashes.exceptions = crashes.exceptions, set()
        message = _encode(front, keys, named)
        peers = _live_peers(front)
        for entry in front.rng.sample(peers, min(FANOUT, len(peers))):
            await sending.acquire()
            start_task(front, send(entry, message))


async def pull_crashes(front):
    """Compares the record with those of a few peers in turn.

    Args:
        front: Front.
    """
    turn, has_compared = 0, False
    while True:
        mean_s = PULL_INTERVAL_S if has_compared else FIRST_PULL_INTERVAL_S
        await asyncio.sleep(mean_s * front.rng.uniform(0.8, 1.2))
        crashrecord.drop_expired(front.crashes.record, time.monotonic())
        crashwatch.update_holds(front, ())
        peers = {e.instance_id: e for e in _live_peers(front)}
        order = rendezvous_order(front.cfg.instance_id, peers)[:PULLED_PEERS]
        _close_links(front, [peers[name] for name in order])
        if not order:
            continue
        turn += 1
        entry = peers[order[turn % len(order)]]
        link = front.crashes.links.setdefault(
            (entry.host, entry.peer_port),
            peerlink.PeerLink((entry.host, entry.peer_port)),
        )
        digest = crashrecord.record_digest(front.crashes.record)
        body = await call_peer(front, entry, link, f"/crashes?known={digest}")
        if body is not None:
            has_compared = True
            _apply(front, body, peerlink.link_name(link))


def _live_peers(front):
    """Returns the InstanceEntry objects of the peers that may be asked now."""
    now, silent = time.monotonic(), front.crashes.silent_until
    for name in [name for name, until in silent.items() if until <= now]:
        del silent[name]
    return [
        entry
        for entry in front.view.instances.values()
        if entry.instance_id != front.cfg.instance_id
        and entry.instance_id not in silent
    ]


def _close_links(front, entries):
    """Closes the links to all peers but the given ones."""
    links = front.crashes.links
    kept = {(entry.host, entry.peer_port) for entry in entries}
    for address in [address for address in links if address not in kept]:
        peerlink.close_link(links.pop(address))


async def call_peer(front, entry, link, target, message=None):
    """Sends a request to a peer.

    Args:
        front: Front.
        entry: InstanceEntry of the peer.
        link: PeerLink to it, which stays open if it can be used again.
        target: Request target (str).
        message: Body (bytes), or None for a GET request.

    Returns:
        Body of the response (bytes), or None when there is none; the peer is then not
        asked for some time.
    """
    silent_s = SILENT_S
    try:
        with peerlink.failures_as_peer_errors(link):
            size = MAX_RECORD_BYTES if message is None else peerlink.MAX_REPLY_BYTES
            call, response = await peerlink.exchange(
                link, target, CALL_TIMEOUT_S, message, size
            )
            if response.status == 404:
                silent_s = UNSUPPORTED_S
                raise httpcall.InvalidResponseError("its build has no crash reports")
            if response.status != 200:
                raise httpcall.InvalidResponseError(f"status {response.status}")
    except peerlink.PeerError as exc:
        front.crashes.silent_until[entry.instance_id] = time.monotonic() + silent_s
        cause = f"crashes: {exc}"
        log_event(front.log, "peer_failed", peer=peerlink.link_name(link), cause=cause)
        return None
    if not httpcall.is_reusable(call):
        peerlink.close_link(link)
    return response.body


def _encode(front, keys, fingerprints):
    """Encodes ends and exceptions (bytes); at most `MAX_REPORTS` ends."""
    record, now = front.crashes.record, time.monotonic()
    known = sorted(key for key in keys if key in record.ends)
    if len(known) > MAX_REPORTS:
        known = front.rng.sample(known, MAX_REPORTS)
    message = {
        "ends": [_report(record.ends[key], now) for key in known],
        "exceptions": [
            _exception_report(fingerprint, record.exceptions[fingerprint], now)
            for fingerprint in fingerprints
            if fingerprint in record.exceptions
            and now < record.exceptions[fingerprint].until
        ],
    }
    return msgpack.packb(message)


def _report(end, now):
    suspects = [
        CrashSuspect(fingerprint=fingerprint, suspicion=int(suspicion))
        for fingerprint, suspicion in end.suspects.items()
    ]
    report = CrashReport(
        server=end.server_id,
        started_ms=end.started_ms,
        service=end.service,
        age_ms=max(0.0, (now - end.at) * 1000.0),
        suspects=suspects,
    )
    return to_plain(report)


def _exception_report(fingerprint, exception, now):
    report = ExceptionReport(
        fingerprint=fingerprint,
        hold=exception.is_hold,
        reason=exception.reason,
        number=exception.number,
        remaining_ms=max(0.0, (exception.until - now) * 1000.0),
    )
    return to_plain(report)


def _apply(front, body, peer):
    """Merges a peer's message; malformed entries of it are logged and left out."""
    try:
        message = msgpack.unpackb(body)
        ends, exceptions = message.get("ends", []), message.get("exceptions", [])
        reports = [from_plain(CrashReport, plain) for plain in ends]
        others = [from_plain(ExceptionReport, plain) for plain in exceptions]
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as exc:
        log_event(front.log, "crash_report_invalid", peer=peer, cause=repr(exc))
        return
    for faulty in [r for r in [*reports, *others] if r.is_error()]:
        cause = faulty.error[0].detail
        log_event(front.log, "crash_report_invalid", peer=peer, cause=cause)
    now, changed, suspects = time.monotonic(), [], set()
    for report in [r.ok for r in reports if r.is_ok()]:
        end = _decode_end(report, now)
        if crashrecord.merge_end(front.crashes.record, end, now):
            changed.append((end.server_id, end.started_ms))
            suspects.update(end.suspects)
    for report in [r.ok for r in others if r.is_ok()]:
        _apply_exception(front, report, now)
    if changed:
        crashwatch.note_change(front, changed, suspects, "peer")


def _decode_end(report, now):
    known = int(crashrecord.Suspicion.KNOWN_GOOD | crashrecord.Suspicion.CLEARED)
    suspects = {
        suspect.fingerprint: crashrecord.Suspicion(suspect.suspicion & known)
        for suspect in report.suspects
    }
    at = now - report.age_ms / 1000.0
    return crashrecord.ServerEnd(
        report.server, report.started_ms, report.service, at, suspects
    )


def _apply_exception(front, report, now):
    # One that has ended would be told again by each instance that had forgotten it.
    if report.remaining_ms <= 0.0:
        return
    exception = quarantine.HoldException(
        report.hold, report.reason, report.number, now, now + report.remaining_ms / 1e3
    )
    crashwatch.apply_exception(front, report.fingerprint, exception)


async def serve_crashes(front, query, body):
    """Answers a peer that tells of changes, or compares its record.

    Args:
        front: Front.
        query: Map with the digest of the peer's record in `known`, if it compares.
        body: Encoded changes (bytes); empty for none.

    Returns:
        HttpResponse with the ends and exceptions that the peer may lack.
    """
    if body:
        _apply(front, body, "a peer")
    record = front.crashes.record
    known = query.get("known")
    if known is None or known == crashrecord.record_digest(record):
        return binary_response(200, msgpack.packb({}))
    return binary_response(200, _encode(front, record.ends, record.exceptions))
