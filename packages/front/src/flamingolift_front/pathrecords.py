"""Records which backend servers are reached, and suspends none for an own cut.

Open connections may go on answering while new ones are refused. So the connects are
recorded on their own, beside all signs of a path.
"""

import time

from flamingolift_decisions import serverpaths

from flamingolift_front import serverpool
from flamingolift_front.eventlog import log_event

__all__ = [
    "lost_services",
    "may_connect",
    "note_answered",
    "note_connected",
    "note_ended",
    "note_unreached",
]


def lost_services(front):
    """Returns the names of the services to which no connect succeeds, sorted."""
    return sorted({*front.paths.cut_off_at, *front.connects.cut_off_at})


def may_connect(front, service):
    """Returns whether connects to a service's servers may succeed."""
    return not (
        serverpaths.is_cut_off(front.paths, service)
        or serverpaths.is_cut_off(front.connects, service)
    )


def note_answered(front, service):
    """Records that a server answered, perhaps on a connection that had been open.

    Args:
        front: Front.
        service: Service name.
    """
    _record_reached(front, service, (front.paths,))


def note_connected(front, service):
    """Records that a server accepted a connection.

    Args:
        front: Front.
        service: Service name.
    """
    _record_reached(front, service, (front.paths, front.connects))


def _record_reached(front, service, records):
    now = time.monotonic()
    for paths in records:
        for cut_off_at in serverpaths.record_reached(paths, service, now).to_list():
            serverpaths.renew_cold_pauses(front.view.backends, service, now)
            _log_regained(front, paths, service, now - cut_off_at)


def _log_regained(front, paths, service, cut_off_s):
    log_event(
        front.log,
        "servers_regained",
        service=service,
        cut="all" if paths is front.paths else "connects",
        cut_off_s=round(cut_off_s, 2),
    )


def note_ended(front, service, server_id):
    """Records that a server ended: its failed connects are no sign of an own cut.

    Args:
        front: Front.
        service: Service name.
        server_id: Id of the server.
    """
    now = time.monotonic()
    for paths in (front.paths, front.connects):
        lifted = serverpaths.record_ended(paths, service, server_id)
        for name, cut_off_at in lifted.items():
            _log_regained(front, paths, name, now - cut_off_at)


def note_unreached(front, backend, now, is_connect):
    """Records a failed connect to a server, or a connection that went silent.

    When services are newly found to be cut off, the suspensions that the same
    evidence caused are lifted.

    Args:
        front: Front.
        backend: Backend.
        now: Current time (s, monotonic).
        is_connect: Whether a connect failed.

    Returns:
        Whether the instance is cut off from the service of the server, so that the
        failure is not the server's.
    """
    entry = backend.entry
    if _seems_ended(front, entry, now):
        return not may_connect(front, entry.service)
    _record_unreached(front, backend, now, front.paths, "all")
    if is_connect:
        _record_unreached(front, backend, now, front.connects, "connects")
        return not may_connect(front, backend.entry.service)
    return serverpaths.is_cut_off(front.paths, backend.entry.service)


def _seems_ended(front, entry, now):
    """Returns whether a server that is not reached has probably ended."""
    key = (entry.server_id, entry.started_ms)
    crashes = front.crashes
    if key in crashes.record.ends or key in crashes.probes:
        return True
    return serverpool.has_dropped_connections(front.pool, entry.server_id, now)


def _record_unreached(front, backend, now, paths, cut):
    view, entry = front.view.backends, backend.entry
    found = serverpaths.record_unreached(
        paths, entry.service, entry.server_id, list(view.by_service), now
    )
    for services in found.to_list():
        failed = {
            server_id: at
            for service in services
            for server_id, at in paths.unreached.get(service, {}).items()
        }
        serverpaths.lift_suspensions(view, failed, now)
        front.helpers.wake.set()
        log_event(
            front.log,
            "servers_cut_off",
            services=services,
            cut=cut,
            servers=len(failed),
            age_s=round(now - min(failed.values()), 2),
        )
