"""Header fields of an answer that an instance gives to the one that handed on.

They say what the instance did for the request, and never reach the caller.
"""

from flamingolift_front.httpcall import header, parse_count
from flamingolift_front.sending import NOT_RUN_OUTCOMES, Outcome

__all__ = ["ServedBy", "take_fields", "write_fields"]

_ATTEMPTS = "flamingolift-attempts"
_SERVED_BY = "flamingolift-served-by"
_NAMES = frozenset((_ATTEMPTS.encode(), _SERVED_BY.encode()))
_NOT_RECEIVED = NOT_RUN_OUTCOMES - {Outcome.NOT_RUN}
"""Outcomes of sends that reached no server of the service."""


class ServedBy:
    """What an instance did for a request that was handed on to it.

    Attributes:
        attempts: Number of servers that received the request; None when a former build
            does not say.
        server_id: Id of the server whose answer it is; empty for an answer of the
            instance, and when a former build does not say.
        started_ms: Start of that server (ms since the epoch).
    """

    __slots__ = ("attempts", "server_id", "started_ms")

    def __init__(self, attempts, server_id, started_ms):
        self.attempts = attempts
        self.server_id = server_id
        self.started_ms = started_ms


def write_fields(response, trace, is_own=False):
    """Adds the fields to an answer.

    Args:
        response: HttpResponse, a server's or an own one.
        trace: Trace of the request.
        is_own: Whether it is the instance's own answer.
    """
    received = [s for s in trace.sends if s.outcome not in _NOT_RECEIVED]
    _remove_fields(response)
    _add_field(response, _ATTEMPTS, str(len(received)))
    # The answer that is passed on is the last one.
    answered = [s for s in received if s.outcome is Outcome.ANSWERED]
    if answered and not is_own:
        send = answered[-1]
        _add_field(response, _SERVED_BY, f"{send.started_ms};{send.server_id}")


def take_fields(response):
    """Reads the fields of an answer and removes them.

    Args:
        response: HttpResponse of another instance.

    Returns:
        ServedBy.
    """
    attempts = parse_count(header(response.headers, _ATTEMPTS, ""))
    value = header(response.headers, _SERVED_BY, "")
    started, _, server_id = value.partition(";")
    started_ms = parse_count(started)
    _remove_fields(response)
    if started_ms is None:
        return ServedBy(attempts, "", 0)
    return ServedBy(attempts, server_id.strip(), started_ms)


def _add_field(response, name, value):
    response.headers.append((name.title().encode(), value.encode("latin-1")))


def _remove_fields(response):
    kept = [field for field in response.headers if field[0].lower() not in _NAMES]
    response.headers = kept
