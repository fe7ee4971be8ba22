"""Limits that backend servers name for the requests of all instances together.

One instance, the coordinator of a server, grants the requests that the server's limit
allows; the others ask it before each send. A deputy grants a small part to instances
that cannot reach the coordinator. So the limit holds whatever the number of instances,
and none of them has to hold a share that it cannot use.
"""

import math

from expression import Nothing, Option, Some

from flamingolift_decisions.hashing import unit_hash

__all__ = [
    "GRANTORS",
    "MAX_LIMIT_PER_S",
    "GrantBucket",
    "ServerLimit",
    "grantors",
    "is_limited",
    "record_limit",
    "take_grant",
]

MAX_LIMIT_PER_S = 1e6
"""Limit above which a figure is taken for an error (1/s)."""
MIN_RATE_PER_S = 0.1
"""Rate at which a server with a lower limit, or one of 0, is still sent requests (1/s):
only an answer shows that the limit has ended."""
COORDINATOR_SHARE = 0.95
"""Part of the limit that the coordinator grants (ratio). The rest allows for requests
that take longer on their way than those after them."""
DEPUTY_SHARE = 0.2
"""Part of the limit that the deputy grants in addition (ratio)."""
_SHARES = (COORDINATOR_SHARE, DEPUTY_SHARE)
GRANTORS = len(_SHARES)
"""Number of instances that grant the requests of a server: coordinator and deputy."""
BURST_S = 0.5
"""Time for which unused grants are kept (s)."""


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


class GrantBucket:
    """Token bucket of the grants for one server.

    Attributes:
        level: Grants available at `updated_at` (count).
        updated_at: Time of the last update (s, monotonic).
    """

    __slots__ = ("level", "updated_at")

    def __init__(self, now):
        self.level = 0.0
        self.updated_at = now


def is_limited(backend):
    """Returns whether the last known answer of a server named a limit."""
    return backend.limit is not None and backend.limit.per_s is not None


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
        backend.next_grant_at = -math.inf
        return Some("ended")
    return Some("named" if before_per_s is None else "changed")


def grantors(entry, instances):
    """Picks the instances that grant the requests of a server.

    Args:
        entry: BackendEntry of the server.
        instances: Iterable of InstanceEntry.

    Returns:
        List of at most `GRANTORS` InstanceEntry, the coordinator first; preferably
        in the server's region, where the requests for a grant have the same way as
        the requests themselves. Every instance with the same list picks the same.
    """
    live = [e for e in instances if e.state == "live"]

    def rank(instance):
        score = unit_hash(entry.server_id, instance.instance_id)
        return instance.region != entry.region, -score

    return sorted(live, key=rank)[:GRANTORS]


def take_grant(backend, rank, listed_share, now):
    """Takes a grant for one request out of the bucket of a limited server.

    Args:
        backend: Backend that names a limit.
        rank: Place of this instance among the server's grantors.
        listed_share: Part of the instances known lately that are still listed
            (ratio). When the list has fallen apart, each part of it has a
            coordinator of its own, which grants this part of the limit.
        now: Current time (s, monotonic).

    Returns:
        0 when the request is granted, else the time until the next grant (s).
    """
    rate = max(backend.limit.per_s, MIN_RATE_PER_S) * _SHARES[rank] * listed_share
    bucket = backend.grants
    if bucket is None:
        bucket = backend.grants = GrantBucket(now)
    gained = (now - bucket.updated_at) * rate
    bucket.level = min(max(1.0, BURST_S * rate), bucket.level + gained)
    bucket.updated_at = now
    if bucket.level >= 1.0:
        bucket.level -= 1.0
        return 0.0
    return (1.0 - bucket.level) / rate
