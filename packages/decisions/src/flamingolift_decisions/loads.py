"""How busy backend servers are, from the load that they report with their answers.

An instance sees a server's load only when it gets an answer from it, so that it
knows the usual load of a service better than that of each server.
"""

__all__ = ["estimate_load", "mean_load", "record_load"]

LOAD_FRESH_S = 0.5
"""Age up to which a server's own load report counts (s)."""
LOAD_KEPT_S = 4.0
"""Age up to which load reports tell the usual load of a service (s): several
reports of each server at the usual rates."""
USUAL_LOAD_S = 0.1
"""Time for which a computed usual load is used (s), well below the time of a
request."""


def record_load(backend, running, waiting, now):
    """Takes over the load that a server reported with an answer.

    Args:
        backend: Backend.
        running: Requests it runs, of all instances.
        waiting: Requests that wait there, of all instances.
        now: Current time (s, monotonic).
    """
    backend.foreign_load = max(0, running + waiting - backend.in_flight)
    backend.foreign_load_at = now


def estimate_load(backend, now):
    """Returns the requests on a server, of this and of other instances."""
    fresh = now - backend.foreign_load_at <= LOAD_FRESH_S
    return backend.in_flight + (backend.foreign_load if fresh else 0)


def mean_load(view, service, now):
    """Returns the mean load by other instances on a service's servers.

    Args:
        view: BackendView.
        service: Service name.
        now: Current time (s, monotonic).

    Returns:
        Requests for each slot (ratio), by the last report of each server; 0 when
        none reported lately.
    """
    cached = view.usual_loads.get(service)
    if cached is not None and now - cached[1] < USUAL_LOAD_S:
        return cached[0]
    load, slots = 0, 0
    for backend in view.by_service.get(service, ()):
        if now - backend.foreign_load_at < LOAD_KEPT_S:
            load += backend.foreign_load
            slots += max(1, backend.entry.slots)
    usual = load / slots if slots else 0.0
    view.usual_loads[service] = (usual, now)
    return usual
