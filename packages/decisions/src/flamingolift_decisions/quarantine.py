"""Requests that crash the backend servers that run them."""

__all__ = [
    "CrashLog",
    "add_quarantine",
    "is_quarantined",
    "note_crash",
    "note_success",
    "remaining_quarantine_s",
]

CRASH_MEMORY_S = 120.0
MERGE_WINDOW_S = 1.0
"""Reports on one server within this time belong to one crash."""
MIN_CRASHES = 2
MAX_CRASHES = 64
MAX_QUARANTINED = 1024


class Crash:
    """One crash of a backend server.

    Attributes:
        server_id: Backend server name.
        at: Time of the first report (s, monotonic).
        suspects: Set of fingerprints that were in flight on it.
    """

    __slots__ = ("at", "server_id", "suspects")

    def __init__(self, server_id, at, suspects):
        self.server_id = server_id
        self.at = at
        self.suspects = suspects


class CrashLog:
    """Recent crashes and the fingerprints in quarantine.

    Attributes:
        crashes: List of Crash, oldest first.
        quarantined: Map of fingerprint to the end of its quarantine (s,
            monotonic).
        quarantine_s: Length of a quarantine (s).
    """

    __slots__ = ("crashes", "quarantine_s", "quarantined")

    def __init__(self, quarantine_s=60.0):
        self.crashes = []
        self.quarantined = {}
        self.quarantine_s = quarantine_s


def note_crash(log, server_id, suspects, now):
    """Enters a crash and decides whether one request is to blame.

    Args:
        log: CrashLog.
        server_id: Backend server name.
        suspects: Set of fingerprints in flight on the server.
        now: Current time (s, monotonic).

    Returns:
        Fingerprint that is now in quarantine, or None. A request is blamed only
        when it is the single one common to several crashes; one that was merely
        in flight beside it is not.
    """
    log.crashes = [c for c in log.crashes if now - c.at < CRASH_MEMORY_S]
    merged = _merge(log, server_id, suspects, now)
    for fingerprint in sorted(merged.suspects):
        shared = [c for c in log.crashes if fingerprint in c.suspects]
        if len(shared) < MIN_CRASHES:
            continue
        common = set.intersection(*(c.suspects for c in shared))
        if common == {fingerprint}:
            add_quarantine(log, fingerprint, log.quarantine_s, now)
            return fingerprint
    return None


def note_success(log, fingerprint):
    """Clears a request that ran to its end.

    Args:
        log: CrashLog.
        fingerprint: Fingerprint of the request.

    Notes:
        A popular look-up is in flight on every server that crashes. What tells it
        from a request that crashes each server is that it also succeeds.
    """
    for crash in log.crashes:
        crash.suspects.discard(fingerprint)


def _merge(log, server_id, suspects, now):
    """Returns the crash that a report belongs to, a new one if need be."""
    for crash in reversed(log.crashes):
        if crash.server_id == server_id and now - crash.at < MERGE_WINDOW_S:
            crash.suspects |= suspects
            return crash
    crash = Crash(server_id, now, set(suspects))
    log.crashes.append(crash)
    del log.crashes[:-MAX_CRASHES]
    return crash


def add_quarantine(log, fingerprint, duration_s, now):
    """Puts a fingerprint into quarantine, or prolongs it.

    Args:
        log: CrashLog.
        fingerprint: Fingerprint of the request.
        duration_s: Length of the quarantine from now (s).
        now: Current time (s, monotonic).

    Returns:
        Whether the fingerprint was not in quarantine before.
    """
    fresh = not is_quarantined(log, fingerprint, now)
    until = max(log.quarantined.get(fingerprint, 0.0), now + duration_s)
    log.quarantined[fingerprint] = until
    if len(log.quarantined) > MAX_QUARANTINED:
        first = min(log.quarantined, key=log.quarantined.get)
        del log.quarantined[first]
    return fresh


def is_quarantined(log, fingerprint, now):
    """Returns whether a fingerprint is in quarantine."""
    until = log.quarantined.get(fingerprint)
    if until is None:
        return False
    if until <= now:
        del log.quarantined[fingerprint]
        return False
    return True


def remaining_quarantine_s(log, fingerprint, now):
    """Returns the remaining quarantine of a fingerprint (s), 0 if none."""
    return max(0.0, log.quarantined.get(fingerprint, now) - now)
