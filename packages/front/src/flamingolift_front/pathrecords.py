"""Records which backend servers are reached, and suspends none for an own cut."""

import time

from flamingolift_decisions import serverpaths

from flamingolift_front.eventlog import log_event

__all__ = ["note_reached", "note_unreached"]


def note_reached(front, service):
    """Records that a server accepted a connection or answered a request.

    Args:
        front: Front.
        service: Service name.
    """
    now = time.monotonic()
    ended = serverpaths.record_reached(front.paths, service, now)
    for cut_off_at in ended.to_list():
        cut_off_s = round(now - cut_off_at, 2)
        log_event(front.log, "servers_regained", service=service, cut_off_s=cut_off_s)


def note_unreached(front, backend, now):
    """Records a failed connect to a server, or a connection that went silent.

    When services are newly found to be cut off, the suspensions that the same
    evidence caused are lifted.

    Args:
        front: Front.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Whether the instance is cut off from the service of the server, so that the
        failure is not the server's.
    """
    view, entry = front.view.backends, backend.entry
    found = serverpaths.record_unreached(
        front.paths, entry.service, entry.server_id, list(view.by_service), now
    )
    for services in found.to_list():
        failed = {
            server_id: at
            for service in services
            for server_id, at in front.paths.unreached.get(service, {}).items()
        }
        serverpaths.lift_suspensions(view, failed)
        front.helpers.wake.set()
        log_event(
            front.log,
            "servers_cut_off",
            services=services,
            servers=len(failed),
            age_s=round(now - min(failed.values()), 2),
        )
    return serverpaths.is_cut_off(front.paths, entry.service)
