"""Load shedding: refuses some requests at once, so that the others meet their deadline.

An instance sees few answers of each server, so that it cannot bound the queue of a
single server by itself. It does know the mean load of a service, and sheds the
share of its requests by which that load exceeds what the queues may hold.
"""

from flamingolift_decisions.affinity import QUEUE_PER_SLOT
from flamingolift_decisions.loads import mean_load

__all__ = ["FULL_LOAD", "is_excess", "refused_share", "should_shed"]

FULL_LOAD = 1.0 + QUEUE_PER_SLOT
"""Mean load at which the queues of a service have reached their largest length
(ratio to its slots)."""


def refused_share(load):
    """Returns the share of new requests to refuse (ratio).

    Args:
        load: Mean load of the service (ratio to its slots).

    Examples:
        >>> refused_share(1.5)
        0.0
        >>> refused_share(4.0)
        0.5

    Notes:
        The share is computed from the excess load, so that it falls as the queues
        shorten. Beyer et al., "Site Reliability Engineering", 2016, chapter 21,
        throttle at the client by the share of rejected requests in the same way.
    """
    return max(0.0, 1.0 - FULL_LOAD / load) if load > 0.0 else 0.0


def is_excess(view, load):
    """Returns whether a new request is drawn from the share above the full load.

    Args:
        view: BackendView, whose random numbers are used.
        load: Mean load of the servers that may take it (ratio to their slots).
    """
    share = refused_share(load)
    return share > 0.0 and view.rng.random() < share


def should_shed(view, service, now):
    """Returns whether to keep a new request away from servers that name no limit.

    It may still go to a limited server that has a grant, whose load is bounded.

    Args:
        view: BackendView.
        service: Service name.
        now: Current time (s, monotonic).
    """
    return is_excess(view, mean_load(view, service, now))
