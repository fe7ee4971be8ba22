"""What an entry instance knows of the backend servers.

The platform's live list says which servers exist and which are leaving. The
instance's own traffic says which of them answer. A server that does not accept
connections is suspended; afterwards, and while it is cold, it gets single
requests at the instance's share of the rate that a cold server bears.
"""

import math
import random

from expression import Nothing, Option, Some

__all__ = [
    "Backend",
    "BackendView",
    "apply_entry",
    "eligible_backends",
    "end_evacuation",
    "is_cold",
    "record_answer",
    "record_lost_answer",
    "record_send",
    "record_timeout",
    "remove_entry",
    "set_evacuations",
    "suspend_backend",
]

SUSPEND_BASE_S = 0.5
"""First suspension of a server that refused a connection (s)."""
SUSPEND_MAX_S = 4.0
"""Longest suspension (s)."""
LOST_BEFORE_SUSPENSION = 2
"""Answers lost in a row after which a server is suspended."""
TIMEOUTS_BEFORE_SUSPENSION = 5
"""Deadlines in a row that passed without any answer after which a server is
suspended; fewer are usual for a slow server that still helps."""
REPORT_LAG_S = 3.0
"""Time until the live list shows that a server restarted: two of its
heartbeats (s)."""
TRICKLE_DEFAULT_PER_S = 4.0
"""Rate for a server on trial whose service declares no cold rate (1/s)."""
TRICKLE_MARGIN = 0.8
"""Part of the cold rate that is used; the rest covers instances that are not
yet counted (ratio)."""


class Backend:
    """One backend server.

    Attributes:
        entry: BackendEntry of the live list.
        in_flight: Requests of this instance on the server.
        cold_until: End of its cold period (s, monotonic).
        trial_until: End of the time after a suspension in which the server may
            have restarted unnoticed (s, monotonic).
        suspended_until: End of its suspension (s, monotonic).
        failures: Suspensions in a row.
        lost: Answers lost in a row.
        late: Deadlines in a row that passed without an answer.
        next_trickle_at: Earliest next request while cold or on trial
            (s, monotonic).
        foreign_load: Requests of other instances at the last load report.
        foreign_load_at: Time of that report (s, monotonic).
    """

    __slots__ = (
        "cold_until",
        "entry",
        "failures",
        "foreign_load",
        "foreign_load_at",
        "in_flight",
        "late",
        "lost",
        "next_trickle_at",
        "suspended_until",
        "trial_until",
    )

    def __init__(self, entry):
        self.entry = entry
        self.in_flight = 0
        self.cold_until = -math.inf
        self.trial_until = -math.inf
        self.suspended_until = -math.inf
        self.failures = 0
        self.lost = 0
        self.late = 0
        self.next_trickle_at = -math.inf
        self.foreign_load = 0
        self.foreign_load_at = -math.inf


class BackendView:
    """All backend servers known to an instance.

    Attributes:
        backends: Map of server id to Backend.
        by_service: Map of service name to a list of Backend.
        generation: Number that grows whenever the set of servers changes.
        evacuations: Map of failure domain to Evacuation.
        services: Map of service name to ServiceSpec.
        instances: Number of instances that share the rates of cold servers.
        rng: Random number generator that spreads the instances' requests.
        usual_loads: Map of service name to a tuple of its usual load (ratio) and
            the time at which that was worked out (s, monotonic).
    """

    __slots__ = (
        "backends",
        "by_service",
        "evacuations",
        "generation",
        "instances",
        "rng",
        "services",
        "usual_loads",
    )

    def __init__(self, rng=None):
        self.backends = {}
        self.by_service = {}
        self.generation = 0
        self.evacuations = {}
        self.services = {}
        self.instances = 1
        self.rng = rng or random.Random()
        self.usual_loads = {}


def apply_entry(view, entry, now) -> Option:
    """Takes over an entry of the live list.

    Args:
        view: BackendView.
        entry: BackendEntry.
        now: Current time (s, monotonic).

    Returns:
        Some with "joined", "restarted", "leaving" or "returned" when that
        changes which requests the server may get, otherwise Nothing.

    Notes:
        A server that restarted under its old id holds nothing of before: its
        suspension ends and its cold period starts anew.
    """
    backend = view.backends.get(entry.server_id)
    if backend is None:
        backend = view.backends[entry.server_id] = Backend(entry)
        _chill(view, backend, entry.cold_ms / 1000.0, now)
        _reindex(view)
        return Some("joined")
    before, backend.entry = backend.entry, entry
    if _differs(before, entry):
        _reindex(view)
    if before.started_ms != entry.started_ms:
        backend.suspended_until = backend.trial_until = -math.inf
        backend.failures = backend.lost = backend.late = 0
        spec = view.services.get(entry.service)
        cold_s = max(entry.cold_ms, spec.cold_ms if spec else 0.0) / 1000.0
        _chill(view, backend, cold_s, now)
        return Some("restarted")
    _chill(view, backend, entry.cold_ms / 1000.0, now)
    if before.state != entry.state:
        return Some("leaving" if entry.state == "leaving" else "returned")
    return Nothing


def _differs(before, after):
    """Returns whether the server's place in the index changed."""
    return (before.service, before.host, before.port) != (
        after.service,
        after.host,
        after.port,
    )


def _reindex(view):
    by_service = {}
    for server_id in sorted(view.backends):
        backend = view.backends[server_id]
        by_service.setdefault(backend.entry.service, []).append(backend)
    view.by_service = by_service
    view.generation += 1


def _chill(view, backend, duration_s, now):
    """Marks a server as cold for a time from now."""
    if duration_s <= 0.0:
        return
    if not is_cold(backend, now):
        backend.next_trickle_at = now + _trickle_pause(view, backend)
    backend.cold_until = max(backend.cold_until, now + duration_s)


def _trickle_pause(view, backend):
    """Returns a random pause whose mean is this instance's share of the rate (s)."""
    spec = view.services.get(backend.entry.service)
    rate = spec.cold_per_s if spec and spec.cold_per_s else TRICKLE_DEFAULT_PER_S
    mean = max(1, view.instances) / (rate * TRICKLE_MARGIN)
    return view.rng.uniform(0.5, 1.5) * mean


def remove_entry(view, server_id):
    """Forgets a server that left the live list.

    Args:
        view: BackendView.
        server_id: Id of the server.

    Returns:
        The Backend, or None when it was not known.
    """
    backend = view.backends.pop(server_id, None)
    if backend is not None:
        _reindex(view)
    return backend


def set_evacuations(view, evacuations, now):
    """Takes over which failure domains are out of service.

    Args:
        view: BackendView.
        evacuations: Map of failure domain to Evacuation.
        now: Current time (s, monotonic).

    Returns:
        Tuple of the failure domains that were added and those that came back.
    """
    added = sorted(set(evacuations) - set(view.evacuations))
    ended = sorted(set(view.evacuations) - set(evacuations))
    view.evacuations = dict(evacuations)
    for failure_domain in ended:
        end_evacuation(view, failure_domain, now)
    return added, ended


def end_evacuation(view, failure_domain, now):
    """Treats the servers of a failure domain that came back as cold.

    Args:
        view: BackendView.
        failure_domain: Failure domain whose evacuation ended.
        now: Current time (s, monotonic).

    Notes:
        They idled, so they may be cold although no entry says so yet.
    """
    for backend in view.backends.values():
        if backend.entry.failure_domain != failure_domain:
            continue
        spec = view.services.get(backend.entry.service)
        _chill(view, backend, spec.cold_ms / 1000.0 if spec else 0.0, now)


def is_cold(backend, now):
    """Returns whether a server is cold, or may be after a suspension."""
    return now < backend.cold_until or now < backend.trial_until


def _accepts(view, backend, route, now):
    entry = backend.entry
    if entry.state == "leaving" or entry.failure_domain in view.evacuations:
        return False
    if now < backend.suspended_until:
        return False
    return not route.home_regions or entry.region in route.home_regions


def eligible_backends(view, service, route, now):
    """Lists the servers that may take a request now.

    Args:
        view: BackendView.
        service: Service name.
        route: Route of the request.
        now: Current time (s, monotonic).

    Returns:
        Tuple of the warm servers and the cold ones whose next request is due,
        both lists of Backend.
    """
    warm, cold = [], []
    for backend in view.by_service.get(service, ()):
        if not _accepts(view, backend, route, now):
            continue
        if not is_cold(backend, now):
            warm.append(backend)
        elif now >= backend.next_trickle_at:
            cold.append(backend)
    return warm, cold


def record_send(view, backend, now):
    """Accounts for a request that is sent to a server."""
    backend.in_flight += 1
    if is_cold(backend, now):
        backend.next_trickle_at = now + _trickle_pause(view, backend)


def record_answer(backend):
    """Learns that a server answered."""
    backend.failures = backend.lost = backend.late = 0


def suspend_backend(view, backend, now):
    """Suspends a server that did not accept a connection.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s).
    """
    backend.failures += 1
    pause = min(SUSPEND_MAX_S, SUSPEND_BASE_S * 2.0 ** min(backend.failures - 1, 8))
    pause *= view.rng.uniform(0.8, 1.2)
    backend.suspended_until = now + pause
    backend.trial_until = backend.suspended_until + REPORT_LAG_S
    backend.next_trickle_at = backend.suspended_until + (
        view.rng.uniform(0.0, 1.0) * _trickle_pause(view, backend)
    )
    backend.foreign_load = 0
    return pause


def record_lost_answer(view, backend, now):
    """Learns that the answer to a request was lost.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s), 0 when the server stays in use.
    """
    backend.lost += 1
    return _suspend_at(view, backend, backend.lost, LOST_BEFORE_SUSPENSION, now)


def record_timeout(view, backend, now):
    """Learns that a deadline passed without any answer.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s), 0 when the server stays in use.
    """
    backend.late += 1
    return _suspend_at(view, backend, backend.late, TIMEOUTS_BEFORE_SUSPENSION, now)


def _suspend_at(view, backend, failures, limit, now):
    """Suspends a server when as many failures in a row as the limit were seen."""
    if failures < limit:
        return 0.0
    backend.lost = backend.late = 0
    return suspend_backend(view, backend, now)
