"""Quarantine of requests that end the backend servers that run them.

A request is held when servers ended under it and nothing else explains these ends. A
held request is tried again after a pause, by one instance; each trial that ends one
more server makes the next pause longer.
"""

import itertools

from flamingolift_decisions.crashrecord import (
    Suspicion,
    ends_of,
    find_merged_key,
    is_known_good,
    record_end,
)

__all__ = [
    "Hold",
    "HoldException",
    "add_quarantine",
    "current_holds",
    "find_hold",
    "is_quarantined",
    "may_end_more",
    "record_crash",
    "remaining_quarantine_s",
    "set_exception",
    "take_trial",
]

HELD_ENDS = 3
"""Number of ends from which a request is held, unless another one explains them."""
PAUSE_FACTORS = (1.0 / 30.0, 1.0 / 6.0, 1.0, 5.0, 30.0)
"""Pauses before one trial after the other, relative to the time in quarantine (ratio).
The first two are for requests that had succeeded before, or that shared all their ends
with others, and so were probably in flight by accident."""
FIRST_FULL_PAUSE = 2
"""Place of the first pause of a request that is not known to have succeeded."""
TRIAL_GAP_S = 1.5
"""Time since the end before from which an end is that of a trial (s): less than the
shortest pause. Other ends after the deciding one were on their way."""
TRIAL_SPACING_S = 30.0
"""Time after a trial without a result from which there may be another one (s)."""
MAX_ANNOUNCED = 1024
"""Quarantines of other instances that are kept."""
MAX_EXCEPTIONS = 256
"""Exceptions of the operator that are kept."""


class Hold:
    """Verdict on a request that is held.

    Attributes:
        fingerprint: Fingerprint of the request.
        service: Service name; empty for an operator's exception.
        ends: List of the ServerEnd that count against it, oldest first.
        since: Time of the end that decided (s, monotonic).
        until: Time from which it may be tried (s, monotonic).
        reason: Why it is held, in words to be read out to a caller.
    """

    __slots__ = ("ends", "fingerprint", "reason", "service", "since", "until")

    def __init__(self, fingerprint, service, ends, since, until, reason):
        self.fingerprint = fingerprint
        self.service = service
        self.ends = ends
        self.since = since
        self.until = until
        self.reason = reason


class HoldException:
    """An operator's exception for one request.

    Attributes:
        is_hold: Whether the request is held; otherwise it is let through.
        reason: Reason, in words to be read out to a caller.
        number: Number that orders exceptions for the same request.
        set_at: Time at which it was heard of (s, monotonic).
        until: End of the exception (s, monotonic).
    """

    __slots__ = ("is_hold", "number", "reason", "set_at", "until")

    def __init__(self, is_hold, reason, number, set_at, until):
        self.is_hold = is_hold
        self.reason = reason
        self.number = number
        self.set_at = set_at
        self.until = until


def find_hold(record, fingerprint, now):
    """Returns the Hold of a request, or None when it may be sent.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        now: Current time (s, monotonic).

    Returns:
        Hold, or None. When its `until` has passed, the request may be sent by the
        instance to which `take_trial` grants the trial.
    """
    exception = record.exceptions.get(fingerprint)
    if exception is not None and now < exception.until:
        if not exception.is_hold:
            return None
        since, until = exception.set_at, exception.until
        return Hold(fingerprint, "", [], since, until, exception.reason)
    if fingerprint not in record.keys_of:
        return None
    ends = ends_of(record, fingerprint, now)
    if not _is_to_blame(record, fingerprint, ends, now):
        return None
    decided = min(len(ends), HELD_ENDS)
    until = ends[-1].at + _pause_s(record, fingerprint, ends)
    reason = f"{len(ends)} servers of {ends[0].service} ended under the request"
    return Hold(fingerprint, ends[0].service, ends, ends[decided - 1].at, until, reason)


def _is_to_blame(record, fingerprint, ends, now):
    """Returns whether the ends under a request are to be put down to it."""
    if len(ends) >= HELD_ENDS:
        return not _is_explained(record, fingerprint, now)
    if len(ends) < record.min_ends:
        return False
    common = set.intersection(*(_uncleared(end) for end in ends))
    return common == {fingerprint}


def _uncleared(end):
    return {f for f, s in end.suspects.items() if not s & Suspicion.CLEARED}


def _is_explained(record, fingerprint, now):
    """Returns whether other requests that are held explain all these ends.

    Requests are taken in the order of the number of their ends, so that none is
    explained by one that it explains itself. Between requests under which the same
    servers ended, one that had succeeded before is explained by one that had not.
    """
    held = []
    for _count, other_is_good, other in _candidates(record, now):
        other_keys = _keys(ends_of(record, other, now))
        explaining = [
            found
            for found, found_is_good in held
            if found != other_keys or (other_is_good and not found_is_good)
        ]
        is_explained = other_keys <= set().union(*explaining)
        if other == fingerprint:
            return is_explained
        if not is_explained:
            held.append((other_keys, other_is_good))
    return False


def _candidates(record, now):
    """Returns the requests with enough ends, those with the most first.

    Returns:
        List of (negative number of ends, whether it had succeeded before, fingerprint).
    """
    found = []
    for fingerprint, keys in record.keys_of.items():
        if len(keys) >= HELD_ENDS:
            ends = ends_of(record, fingerprint, now)
            if len(ends) >= HELD_ENDS:
                is_good = is_known_good(ends, fingerprint)
                found.append((-len(ends), is_good, fingerprint))
    return sorted(found)


def _keys(ends):
    return frozenset((end.server_id, end.started_ms) for end in ends)


def _pause_s(record, fingerprint, ends):
    """Returns the time from the last end to the next trial (s)."""
    late = itertools.pairwise(ends[HELD_ENDS - 1 :])
    failed = sum(after.at - before.at >= TRIAL_GAP_S for before, after in late)
    twins = sorted(set.intersection(*(_uncleared(end) for end in ends)))
    if not failed and len(twins) > 1:
        # One after the other, since the first result also decides on the others.
        turn = 1 + twins.index(fingerprint)
        return record.quarantine_s * min(1.0, PAUSE_FACTORS[0] * turn)
    place = failed + (0 if is_known_good(ends, fingerprint) else FIRST_FULL_PAUSE)
    factor = PAUSE_FACTORS[min(place, len(PAUSE_FACTORS) - 1)]
    return record.quarantine_s * factor


def may_end_more(record, fingerprint, now):
    """Returns whether one more end would make a request held.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        now: Current time (s, monotonic).
    """
    if fingerprint not in record.keys_of:
        return False
    return len(ends_of(record, fingerprint, now)) >= record.min_ends - 1


def current_holds(record, now):
    """Returns the list of the Hold of all requests that are held.

    Args:
        record: CrashRecord.
        now: Current time (s, monotonic).
    """
    found = [find_hold(record, f, now) for f in {*record.keys_of, *record.exceptions}]
    return sorted((h for h in found if h), key=lambda h: (h.since, h.fingerprint))


def take_trial(record, fingerprint, now):
    """Takes the trial of a held request, if it is due.

    Args:
        record: CrashRecord of the instance that coordinates the request's trials.
        fingerprint: Fingerprint of the request.
        now: Current time (s, monotonic).

    Returns:
        Time until the next trial (s); 0 when the request may be sent now, once.
    """
    hold = find_hold(record, fingerprint, now)
    if hold is None:
        return 0.0
    due_at = max(hold.until, record.next_trials.get(fingerprint, now))
    if now < due_at:
        return due_at - now
    pause_s = _pause_s(record, fingerprint, hold.ends)
    record.next_trials[fingerprint] = now + max(
        TRIAL_GAP_S, min(TRIAL_SPACING_S, pause_s)
    )
    return 0.0


def set_exception(record, fingerprint, exception):
    """Records an operator's exception, unless a later one is known.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        exception: HoldException.

    Returns:
        Whether it is new.
    """
    known = record.exceptions.get(fingerprint)
    if known is not None and known.number >= exception.number:
        return False
    record.exceptions[fingerprint] = exception
    if len(record.exceptions) > MAX_EXCEPTIONS:
        first = min(record.exceptions, key=lambda f: record.exceptions[f].until)
        del record.exceptions[first]
    return True


def record_crash(record, server_id, suspects, now):
    """Records the end of a server whose start is not known, and finds a new verdict.

    Args:
        record: CrashRecord.
        server_id: Backend server name.
        suspects: Set of fingerprints in flight on the server.
        now: Current time (s, monotonic).

    Returns:
        Fingerprint of a suspect that is held, or None.
    """
    key = find_merged_key(record, server_id, now)
    record_end(record, key, "", suspects, now)
    for fingerprint in sorted(suspects):
        if is_quarantined(record, fingerprint, now):
            return fingerprint
    return None


def add_quarantine(record, fingerprint, duration_s, now):
    """Adds a quarantine that another instance decided, or extends it.

    Args:
        record: CrashRecord.
        fingerprint: Fingerprint of the request.
        duration_s: Duration of the quarantine from now (s).
        now: Current time (s, monotonic).

    Returns:
        Whether the fingerprint was not in quarantine before.
    """
    is_new = not is_quarantined(record, fingerprint, now)
    until = max(record.announced.get(fingerprint, 0.0), now + duration_s)
    record.announced[fingerprint] = until
    if len(record.announced) > MAX_ANNOUNCED:
        first = min(record.announced, key=record.announced.get)
        del record.announced[first]
    return is_new


def is_quarantined(record, fingerprint, now):
    """Returns whether a request is held and may not be tried yet."""
    return remaining_quarantine_s(record, fingerprint, now) > 0.0


def remaining_quarantine_s(record, fingerprint, now):
    """Returns the time until a held request may be tried (s); 0 when it may be sent."""
    until = record.announced.get(fingerprint, now)
    if until <= now:
        record.announced.pop(fingerprint, None)
    hold = find_hold(record, fingerprint, now)
    return max(0.0, until - now, 0.0 if hold is None else hold.until - now)
