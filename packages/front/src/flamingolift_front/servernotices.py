"""Reads what backend servers say of themselves in their answers."""

from flamingolift_decisions import availability

from flamingolift_front import limitgrants
from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header, parse_decimal

__all__ = ["observe_answer", "observe_passed_on"]

MAX_RETRY_AFTER_S = 86400.0
"""Time above which a figure is taken for an error (s)."""
MAX_LOGGED_CHARS = 40
"""Characters of a malformed header field that are logged."""


def observe_answer(front, send, response, now):
    """Records what an answer says of the server that gave it.

    Args:
        front: Front.
        send: SendRecord of the request. The answer of a server's former start, which
            may end after its new one is known, says nothing of the new one.
        response: HttpResponse.
        now: Current time (s, monotonic).
    """
    value = header(response.headers, front.header_names.leaving, "")
    if value.strip() == "1":
        _observe_leaving(front, send.server_id, send.started_ms, "answer")
    retry_after = header(response.headers, "retry-after")
    if response.status == 503 and retry_after is not None:
        _observe_quiet(front, send, retry_after, now)


def observe_passed_on(front, served_by, response, peer, now):
    """Records what an answer that came through another instance says of its server.

    A time without requests is not recorded: the server asked the other instance for it.

    Args:
        front: Front.
        served_by: ServedBy of the answer.
        response: HttpResponse.
        peer: Id of the other instance.
        now: Current time (s, monotonic).
    """
    server_id, started_ms = served_by.server_id, served_by.started_ms
    if not server_id:
        return
    value = header(response.headers, front.header_names.leaving, "")
    if value.strip() == "1":
        _observe_leaving(front, server_id, started_ms, peer)
    backend = front.view.backends.backends.get(server_id)
    if backend is not None and backend.entry.started_ms == started_ms:
        named = header(response.headers, front.header_names.limit)
        limitgrants.observe_answer(front, backend, named, now)


def _observe_quiet(front, send, value, now):
    view, server_id = front.view.backends, send.server_id
    duration_s = parse_decimal(value)
    if duration_s is None or duration_s > MAX_RETRY_AFTER_S:
        if availability.record_invalid_quiet(view, server_id, send.started_ms):
            shown = value[:MAX_LOGGED_CHARS]
            log_event(front.log, "server_quiet_invalid", server=server_id, value=shown)
        return
    if availability.record_quiet(view, server_id, send.started_ms, duration_s, now):
        quiet_s = min(duration_s, availability.MAX_QUIET_S)
        log_event(front.log, "server_quiet", server=server_id, quiet_s=quiet_s)


def _observe_leaving(front, server_id, started_ms, source):
    view = front.view.backends
    if not availability.record_leaving(view, server_id, started_ms):
        return
    log_event(
        front.log,
        "server_leaving",
        server=server_id,
        started=started_ms,
        source=source,
    )
