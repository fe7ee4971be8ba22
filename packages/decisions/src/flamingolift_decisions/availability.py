"""Whether a backend server may be sent requests now, and the reason if not."""

import enum
import math

__all__ = [
    "ServerNotice",
    "Unused",
    "is_in_use",
    "is_leaving",
    "quiet_time_s",
    "record_invalid_quiet",
    "record_leaving",
    "record_quiet",
    "why_unused",
]

MAX_QUIET_S = 60.0
"""Longest time for which a server that asks for quiet gets no requests (s)."""
MAX_NOTICES = 4096
"""Notices that are kept besides those of the servers in the view."""


class Unused(enum.StrEnum):
    """Why a server gets no requests; the values are read out to callers."""

    LEAVING = "leaving"
    SAID_LEAVING = "leaving by its own answer"
    EVACUATED = "out of service"
    QUIET = "quiet by its own request"
    SUSPENDED = "suspended after failures"


class ServerNotice:
    """What a server said of itself in its answers since one start of it.

    Attributes:
        is_leaving: Whether it said that it leaves.
        quiet_until: End of the time for which it asked for no requests (s, monotonic).
        is_invalid: Whether it named a time that cannot be used.
    """

    __slots__ = ("is_invalid", "is_leaving", "quiet_until")

    def __init__(self):
        self.is_leaving = False
        self.quiet_until = -math.inf
        self.is_invalid = False


def why_unused(view, backend, now):
    """Returns why a server gets no requests now.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Unused, or None when it may be sent requests. One that is cold or at its limit
        may be sent some.
    """
    entry, notice = backend.entry, backend.notice
    if entry.state == "leaving":
        return Unused.LEAVING
    if notice is not None and notice.is_leaving:
        return Unused.SAID_LEAVING
    if entry.failure_domain in view.evacuations:
        return Unused.EVACUATED
    if notice is not None and now < notice.quiet_until:
        return Unused.QUIET
    if now < backend.suspended_until:
        return Unused.SUSPENDED
    return None


def is_in_use(view, backend, now):
    """Returns whether a server may be sent requests now."""
    return why_unused(view, backend, now) is None


def is_leaving(backend):
    """Returns whether a server leaves, by its entry or by its own answer."""
    notice = backend.notice
    return backend.entry.state == "leaving" or (
        notice is not None and notice.is_leaving
    )


def record_leaving(view, server_id, started_ms):
    """Records that a server said that it leaves.

    Args:
        view: BackendView.
        server_id: Id of the server, which need not be in the view.
        started_ms: Start of the server that said so (ms since the epoch).

    Returns:
        Whether that was not known.

    Notes:
        It holds until the server's next start, whatever its entry says: a server does
        not take back that it leaves, and its entry may be an older report, or a copy
        from a restored store.
    """
    notice = _notice_for(view, server_id, started_ms)
    is_new = not notice.is_leaving
    notice.is_leaving = True
    return is_new


def record_quiet(view, server_id, started_ms, duration_s, now):
    """Records that a server asked for a time without requests.

    Args:
        view: BackendView.
        server_id: Id of the server.
        started_ms: Start of the server that asked (ms since the epoch).
        duration_s: Length of the time (s); at most `MAX_QUIET_S` counts.
        now: Current time (s, monotonic).

    Returns:
        Whether such a time begins, rather than goes on.
    """
    notice = _notice_for(view, server_id, started_ms)
    begins = now >= notice.quiet_until
    until = now + min(duration_s, MAX_QUIET_S)
    notice.quiet_until = max(notice.quiet_until, until)
    return begins


def record_invalid_quiet(view, server_id, started_ms):
    """Records that a server named a time that cannot be used.

    Args:
        view: BackendView.
        server_id: Id of the server.
        started_ms: Start of the server that named it (ms since the epoch).

    Returns:
        Whether it is the first one of that start.
    """
    notice = _notice_for(view, server_id, started_ms)
    is_first = not notice.is_invalid
    notice.is_invalid = True
    return is_first


def quiet_time_s(view, service, now):
    """Returns the shortest time until a quiet server of a service may be used (s).

    Args:
        view: BackendView.
        service: Service name.
        now: Current time (s, monotonic).

    Returns:
        Time (s), or None when no server of the service is unused for that reason.
    """
    waits = [
        backend.notice.quiet_until - now
        for backend in view.by_service.get(service, ())
        if why_unused(view, backend, now) is Unused.QUIET
    ]
    return min(waits, default=None)


def _notice_for(view, server_id, started_ms):
    """Returns the ServerNotice of one start of a server, a new one if needed."""
    key = (server_id, started_ms)
    notice = view.notices.get(key)
    if notice is None:
        notice = view.notices[key] = ServerNotice()
        _forget_gone(view)
    backend = view.backends.get(server_id)
    if backend is not None and backend.entry.started_ms == started_ms:
        backend.notice = notice
    return notice


def _forget_gone(view):
    """Drops the oldest notices of servers that are no longer in the view."""
    excess = len(view.notices) - len(view.backends) - MAX_NOTICES
    if excess <= 0:
        return
    in_view = {b.entry.server_id: b.entry.started_ms for b in view.backends.values()}
    gone = [key for key in view.notices if in_view.get(key[0]) != key[1]]
    for key in gone[:excess]:
        del view.notices[key]
