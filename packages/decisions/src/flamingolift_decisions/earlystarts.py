"""Requests that callers send before the first answer: which of them start early.

Answers leave in the order of the requests. The end of a connection takes along the
answers that wait for their turn, so that callers send those requests again. Only a
request that may run twice is therefore sent to a server before its turn, and none
behind an answer that is streamed: if that breaks off, the connection has to end.
"""

__all__ = ["EARLY_ANSWER_BYTES", "may_read_ahead", "may_start_early"]

MAX_REQUESTS_AHEAD = 8
"""Requests of one connection that are read before their turn."""
MAX_REQUEST_BYTES_AHEAD = 1 << 18
"""Size of these requests from which no further one is read (bytes)."""
MAX_ANSWER_BYTES_AHEAD = 1 << 20
"""Size of the answers of one connection that are kept until their turn (bytes)."""
EARLY_ANSWER_BYTES = MAX_ANSWER_BYTES_AHEAD // MAX_REQUESTS_AHEAD
"""Part of an early answer that is kept until its turn (bytes). The rest stays with the
server, which stands still."""


def may_read_ahead(sizes):
    """Returns whether another request may be read before its turn.

    Args:
        sizes: List of the sizes of the requests that were read before theirs (bytes).
    """
    return len(sizes) < MAX_REQUESTS_AHEAD and sum(sizes) < MAX_REQUEST_BYTES_AHEAD


def may_start_early(route, stopping, is_behind_stream):
    """Returns whether a request may be sent to a server before its turn.

    Args:
        route: Route of the request, or None when there is none.
        stopping: Whether the instance stops: its connections close soon.
        is_behind_stream: Whether an answer before its own is likely to be streamed.
    """
    if stopping or is_behind_stream:
        return False
    return route is not None and route.idempotent
