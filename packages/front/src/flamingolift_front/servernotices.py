"""Reads what backend servers say of themselves in their answers."""

from flamingolift_decisions import availability

from flamingolift_front.eventlog import log_event
from flamingolift_front.httpcall import header

__all__ = ["observe_answer"]


def observe_answer(front, send, headers):
    """Records what an answer says of the server that gave it.

    Args:
        front: Front.
        send: SendRecord of the request. The answer of a server's former start, which
            may end after its new one is known, says nothing of the new one.
        headers: Header fields of the answer: list of (name, value), both bytes.
    """
    value = header(headers, front.header_names.leaving, "")
    if value.strip() == "1":
        _observe_leaving(front, send.server_id, send.started_ms, "answer")


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
