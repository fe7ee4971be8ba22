"""Limits that backend servers name for the requests of all instances together."""

from expression import Nothing, Option, Some

__all__ = ["MAX_LIMIT_PER_S", "ServerLimit", "record_limit"]

MAX_LIMIT_PER_S = 1e6
"""Limit above which a figure is taken for an error (1/s)."""


class ServerLimit:
    """What the last answer of a server said about its limit.

    Attributes:
        per_s: Requests that it takes from all instances together (1/s), or None
            when it named no limit.
        observed_at: Time of the answer (s, monotonic).
    """

    __slots__ = ("observed_at", "per_s")

    def __init__(self, per_s, observed_at):
        self.per_s = per_s
        self.observed_at = observed_at


def record_limit(backend, per_s, observed_at) -> Option:
    """Records what an answer of a server said about its limit.

    Args:
        backend: Backend.
        per_s: Limit (1/s), or None when the answer named none.
        observed_at: Time of the answer (s, monotonic). An older one than the last
            changes nothing, since answers reach the instances in any order.

    Returns:
        Some with "named", "changed" or "ended" when the limit is another one than
        before, otherwise Nothing.
    """
    before = backend.limit
    if before is not None and observed_at < before.observed_at:
        return Nothing
    backend.limit = ServerLimit(per_s, observed_at)
    before_per_s = None if before is None else before.per_s
    if per_s == before_per_s:
        return Nothing
    if per_s is None:
        return Some("ended")
    return Some("named" if before_per_s is None else "changed")
