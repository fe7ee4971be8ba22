"""Record of the ends of backend servers and of the requests that were in flight.

Records of several instances are merged in any order and any number of times with the
same result: ends are only added, and what is known of a suspect only grows.
"""

import collections
import enum
import hashlib

__all__ = [
    "CrashRecord",
    "ServerEnd",
    "Suspicion",
    "drop_expired",
    "ends_of",
    "find_merged_key",
    "is_known_good",
    "merge_end",
    "record_digest",
    "record_end",
    "record_success",
]

RETENTION_S = 3600.0
"""Time for which the end of a server is kept (s)."""
MERGE_WINDOW_S = 1.0
"""Reports of a server whose start is not known count as one end within this (s)."""
MAX_ENDS = 256
"""Ends that are kept; the oldest is dropped for a new one."""
MAX_SUSPECTS = 64
"""Requests that are kept as suspects of one end."""
MAX_SUCCESSES = 4096
"""Requests that are remembered as having succeeded lately."""
SUCCESS_RETENTION_S = 600.0
"""Time for which a success counts in favour of a request (s)."""


class Suspicion(enum.IntFlag):
    """What is known of a request that was in flight at the end of a server."""

    NONE = 0
    KNOWN_GOOD = 1
    """It had succeeded before."""
    CLEARED = 2
    """It has succeeded since."""


class ServerEnd:
    """The end of one start of a backend server.

    Attributes:
        server_id: Id of the server.
        started_ms: Start of the server that ended (ms since the epoch), or another
            number that tells its ends apart.
        service: Service name.
        at: Time of the first report (s, monotonic).
        suspects: Map of the fingerprint of each request in flight to its Suspicion.
    """

    __slots__ = ("at", "server_id", "service", "started_ms", "suspects")

    def __init__(self, server_id, started_ms, service, at, suspects):
        self.server_id = server_id
        self.started_ms = started_ms
        self.service = service
        self.at = at
        self.suspects = suspects


class CrashRecord:
    """Ends of backend servers, their suspects, and the verdicts on these.

    Attributes:
        ends: Map of (server id, start (ms)) to ServerEnd, in the order of arrival.
        keys_of: Map of fingerprint to the set of the keys of the ends of which it is a
            suspect that was not cleared.
        successes: Map of fingerprint to the time of its last success on this instance
            (s, monotonic), oldest first.
        min_ends: Number of ends from which a request is held that alone was in flight
            at all of them.
        quarantine_s: Time from the last of the first ends to the first trial (s).
        announced: Map of fingerprint to the end of a quarantine that another instance
            decided (s, monotonic).
        exceptions: Map of fingerprint to the operator's HoldException.
        next_trials: Map of fingerprint to the time of the next trial (s, monotonic).
    """

    __slots__ = (
        "announced",
        "ends",
        "exceptions",
        "keys_of",
        "min_ends",
        "next_trials",
        "quarantine_s",
        "successes",
    )

    def __init__(self, quarantine_s=60.0, min_ends=2):
        self.ends = {}
        self.keys_of = {}
        self.successes = collections.OrderedDict()
        self.min_ends = min_ends
        self.quarantine_s = quarantine_s
        self.announced = {}
        self.exceptions = {}
        self.next_trials = {}


def find_merged_key(record, server_id, now):
    """Returns the key of the end of a server whose start is not known.

    Args:
        record: CrashRecord.
        server_id: Id of the server.
        now: Current time (s, monotonic).

    Returns:
        Key of the end to which a report belongs, a new one if there is none.
    """
    for key, end in reversed(record.ends.items()):
        if key[0] == server_id and now - end.at < MERGE_WINDOW_S:
            return key
    return (server_id, int(now * 1000.0))


def record_end(record, key, service, fingerprints, now):
    """Records that a server ended while requests were in flight on it.

    Args:
        record: CrashRecord.
        key: (server id, start (ms)) of the server.
        service: Service name.
        fingerprints: Iterable of the fingerprints of the requests.
        now: Time of the end (s, monotonic).

    Returns:
        Whether that changed the record.
    """
    suspects = dict.fromkeys(fingerprints, Suspicion.NONE)
    return merge_end(record, ServerEnd(*key, service, now, suspects), now)


def merge_end(record, end, now):
    """Merges what is known of the end of a server.

    Args:
        record: CrashRecord.
        end: ServerEnd; what it says is copied.
        now: Current time (s, monotonic).

    Returns:
        Whether that changed the record.

    Notes:
        A success on this instance counts for a suspect that others report.
    """
    if now - end.at >= RETENTION_S:
        return False
    key = (end.server_id, end.started_ms)
    known, changed = record.ends.get(key), False
    if known is None:
        known = ServerEnd(*key, end.service, end.at, {})
        record.ends[key], changed = known, True
        _drop_excess(record)
        if key not in record.ends:
            # It is older than all that are kept.
            return False
    known.at = min(known.at, end.at)
    for fingerprint, suspicion in end.suspects.items():
        known_suspicion = known.suspects.get(fingerprint)
        if known_suspicion is None and len(known.suspects) >= MAX_SUSPECTS:
            continue
        merged = suspicion | (known_suspicion or Suspicion.NONE)
        merged |= _own_evidence(record, fingerprint, known.at, now)
        if merged != known_suspicion:
            _set_suspicion(record, key, known, fingerprint, merged)
            changed = True
    return changed


def _own_evidence(record, fingerprint, ended_at, now):
    """Returns the Suspicion that the successes on this instance tell."""
    at = record.successes.get(fingerprint)
    if at is None or now - at > SUCCESS_RETENTION_S:
        return Suspicion.NONE
    return Suspicion.CLEARED if at > ended_at else Suspicion.KNOWN_GOOD


def _set_suspicion(record, key, end, fingerprint, suspicion):
    end.suspects[fingerprint] = suspicion
    if suspicion & Suspicion.CLEARED:
        _discard_key(record, fingerprint, key)
    else:
        record.keys_of.setdefault(fingerprint, set()).add(key)


def _discard_key(record, fingerprint, key):
    keys = record.keys_of.get(fingerprint)
    if keys is None:
        return
    keys.discard(key)
    if not keys:
        del record.keys_of[fingerprint]
        record.next_trials.pop(fingerprint, None)


def record_success(record, fingerprint, now):
    """Records that a server answered a request and did not end under it.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        now: Current time (s, monotonic).

    Returns:
        List of the keys of the ends of which it is no longer a suspect.

    Notes:
        A popular look-up is in flight on every server that ends. It differs from a
        request that ends each server in that it also succeeds.
    """
    record.successes[fingerprint] = now
    record.successes.move_to_end(fingerprint)
    if len(record.successes) > MAX_SUCCESSES:
        record.successes.popitem(last=False)
    cleared = sorted(record.keys_of.get(fingerprint, ()))
    for key in cleared:
        end = record.ends[key]
        suspicion = end.suspects[fingerprint] | Suspicion.CLEARED
        _set_suspicion(record, key, end, fingerprint, suspicion)
    record.announced.pop(fingerprint, None)
    return cleared


def ends_of(record, fingerprint, now):
    """Returns the ends of which a request is a suspect, oldest first.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        now: Current time (s, monotonic).

    Returns:
        List of ServerEnd.
    """
    ends = [record.ends[key] for key in record.keys_of.get(fingerprint, ())]
    return sorted((e for e in ends if now - e.at < RETENTION_S), key=_end_order)


def _end_order(end):
    return end.at, end.server_id, end.started_ms


def is_known_good(ends, fingerprint):
    """Returns whether a request is known to have succeeded before servers ended.

    Args:
        ends: Iterable of ServerEnd.
        fingerprint: Fingerprint of a suspect of all of them.
    """
    return any(end.suspects[fingerprint] & Suspicion.KNOWN_GOOD for end in ends)


def drop_expired(record, now):
    """Forgets the ends that are older than the retention time.

    Args:
        record: CrashRecord.
        now: Current time (s, monotonic).
    """
    for key in [k for k, end in record.ends.items() if now - end.at >= RETENTION_S]:
        _drop_end(record, key)
    for fingerprint in [f for f, e in record.exceptions.items() if e.until <= now]:
        del record.exceptions[fingerprint]


def _drop_excess(record):
    while len(record.ends) > MAX_ENDS:
        _drop_end(record, min(record.ends, key=lambda key: record.ends[key].at))


def _drop_end(record, key):
    end = record.ends.pop(key)
    for fingerprint in end.suspects:
        _discard_key(record, fingerprint, key)


def record_digest(record):
    """Returns a digest of the ends, suspects and exceptions (hexadecimal).

    Args:
        record: CrashRecord.

    Notes:
        Records that know the same have the same digest, on any instance.
    """
    digest = hashlib.blake2b(digest_size=8)
    for key in sorted(record.ends):
        suspects = sorted(record.ends[key].suspects.items())
        digest.update(repr((key, [(f, int(s)) for f, s in suspects])).encode())
    for fingerprint, exception in sorted(record.exceptions.items()):
        digest.update(repr((fingerprint, exception.number)).encode())
    return digest.hexdigest()
