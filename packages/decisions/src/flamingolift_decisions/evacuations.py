"""Evacuations, which take the backend servers of a failure domain out of service."""

from flamingolift_decisions.backends import extend_cold_period

__all__ = ["end_evacuation", "set_evacuations"]


def set_evacuations(view, evacuations, now):
    """Applies the evacuations in force, which take failure domains out of service.

    Args:
        view: BackendView.
        evacuations: Map of failure domain to Evacuation.
        now: Current time (s, monotonic).

    Returns:
        Tuple of the failure domains newly evacuated and those whose evacuation ended.
    """
    added = sorted(set(evacuations) - set(view.evacuations))
    ended = sorted(set(view.evacuations) - set(evacuations))
    view.evacuations = dict(evacuations)
    for failure_domain in ended:
        end_evacuation(view, failure_domain, now)
    return added, ended


def end_evacuation(view, failure_domain, now):
    """Treats the servers of a failure domain as cold after its evacuation.

    Args:
        view: BackendView.
        failure_domain: Failure domain whose evacuation ended.
        now: Current time (s, monotonic).

    Notes:
        They had no traffic, so that they may be cold although their entries do not
        say so yet.
    """
    for backend in view.backends.values():
        if backend.entry.failure_domain != failure_domain:
            continue
        spec = view.services.get(backend.entry.service)
        extend_cold_period(view, backend, spec.cold_ms / 1000.0 if spec else 0.0, now)
