"""Load estimates of backend servers, from the load reports in their answers.

An instance learns a server's load only when it gets an answer from it, so that the
mean load of a service is known better than the load of a single server.
"""

from flamingolift_decisions.serverlimits import is_limited

__all__ = [
    "estimate_load",
    "mean_load",
    "other_regions_load",
    "record_load",
    "region_load",
]

SERVER_LOAD_MAX_AGE_S = 0.5
"""Age up to which a report counts in the estimate of that server's load (s)."""
SERVICE_LOAD_MAX_AGE_S = 4.0
"""Age up to which reports count in the mean load of a service (s): at ordinary
request rates each server sends several reports in this time."""
MEAN_LOAD_TTL_S = 0.1
"""Time for which a computed mean load is reused (s), well below the duration of a
request."""


def record_load(backend, running, waiting, now):
    """Records the load that a server reported with an answer.

    Args:
        backend: Backend.
        running: Requests that it runs, from all instances.
        waiting: Requests queued there, from all instances.
        now: Current time (s, monotonic).
    """
    backend.external_load = max(0, running + waiting - backend.in_flight)
    backend.external_load_at = now


def estimate_load(backend, now):
    """Returns the estimated number of requests on a server, from all instances."""
    fresh = now - backend.external_load_at <= SERVER_LOAD_MAX_AGE_S
    return backend.in_flight + (backend.external_load if fresh else 0)


def mean_load(view, service, now):
    """Returns the mean load that other instances put on a service's servers.

    Args:
        view: BackendView.
        service: Service name.
        now: Current time (s, monotonic).

    Returns:
        Requests for each slot (ratio), from the last report of each server that names
        no limit; 0 when none has reported within `SERVICE_LOAD_MAX_AGE_S`.
    """
    return _reused_mean(view, service, service, lambda _entry: True, now)


def region_load(view, service, region, now):
    """Returns the mean load that other instances put on the servers of one region.

    Args:
        view: BackendView.
        service: Service name.
        region: Region of the servers.
        now: Current time (s, monotonic).

    Returns:
        Requests for each slot (ratio), like `mean_load`.
    """
    key = service, region, "inside"
    return _reused_mean(view, key, service, lambda entry: entry.region == region, now)


def other_regions_load(view, service, region, now):
    """Returns the mean load that other instances put on the servers of other regions.

    Args:
        view: BackendView.
        service: Service name.
        region: Region whose servers are left out.
        now: Current time (s, monotonic).

    Returns:
        Requests for each slot (ratio), like `mean_load`.
    """
    key = service, region, "outside"
    return _reused_mean(view, key, service, lambda entry: entry.region != region, now)


def _reused_mean(view, key, service, is_counted, now):
    cached = view.mean_loads.get(key)
    if cached is not None and now - cached[1] < MEAN_LOAD_TTL_S:
        return cached[0]
    load, slots = 0, 0
    for backend in view.by_service.get(service, ()):
        # Slots that a limit leaves unused cannot take the load of other servers.
        if is_limited(backend) or not is_counted(backend.entry):
            continue
        if now - backend.external_load_at < SERVICE_LOAD_MAX_AGE_S:
            load += backend.external_load
            slots += max(1, backend.entry.slots)
    mean = load / slots if slots else 0.0
    view.mean_loads[key] = (mean, now)
    return mean
