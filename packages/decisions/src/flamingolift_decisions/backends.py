"""State of the backend servers as one entry instance sees it.

The platform's live list says which servers exist and which are leaving. The
instance's own traffic shows which of them answer. A server that does not accept
connections is suspended. After a suspension, and while it is cold, the instance
sends it requests only at its share of the rate that a cold server can handle.
"""

import bisect
import math
import random

from expression import Nothing, Option, Some

from flamingolift_decisions.availability import is_in_use

__all__ = [
    "Backend",
    "BackendView",
    "apply_entry",
    "eligible_backends",
    "end_suspension",
    "extend_cold_period",
    "is_cold",
    "is_in_use",
    "is_withheld",
    "record_answer",
    "record_lost_answer",
    "record_send",
    "record_timeout",
    "remove_entry",
    "suspend_backend",
    "usable_backends",
]

SUSPENSION_BASE_S = 0.5
"""First suspension of a server that refused a connection (s)."""
SUSPENSION_MAX_S = 4.0
"""Longest suspension (s)."""
LOST_ANSWERS_BEFORE_SUSPENSION = 2
"""Consecutive lost answers after which a server is suspended."""
TIMEOUTS_BEFORE_SUSPENSION = 5
"""Consecutive timeouts without any answer after which a server is suspended. Fewer
are common for a slow server that still does useful work."""
RESTART_DETECTION_S = 3.0
"""Time until the live list shows that a server restarted: two of the server's
heartbeats (s)."""
DEFAULT_COLD_RATE_PER_S = 4.0
"""Request rate for a server whose service declares no cold rate (1/s)."""
COLD_RATE_MARGIN = 0.8
"""Part of the cold rate that is used. The rest is reserved for instances that are
not yet counted (ratio)."""


class Backend:
    """One backend server.

    Attributes:
        entry: BackendEntry of the live list.
        in_flight: Requests of this instance on the server.
        cold_until: End of its cold period (s, monotonic).
        trial_until: End of the time after a suspension in which the server is
            treated as cold, since it may have restarted without the live list
            showing it yet (s, monotonic).
        suspended_until: End of its suspension (s, monotonic).
        failures: Consecutive suspensions.
        lost: Consecutive lost answers.
        late: Consecutive timeouts without any answer.
        next_cold_request_at: Earliest time of the next request while cold or on trial
            (s, monotonic).
        external_load: Requests of other instances at the last load report.
        external_load_at: Time of that report (s, monotonic).
        limit: ServerLimit of its last answer, or None before the first one.
        limit_invalid: Whether it named a limit that cannot be used.
        grants: GrantBucket of this instance as a grantor, or None before its first use.
        next_grant_at: Earliest time of the next request while it names a limit (s,
            monotonic).
        notice: ServerNotice of its present start, or None when it gave none.
    """

    __slots__ = (
        "cold_until",
        "entry",
        "external_load",
        "external_load_at",
        "failures",
        "grants",
        "in_flight",
        "late",
        "limit",
        "limit_invalid",
        "lost",
        "next_cold_request_at",
        "next_grant_at",
        "notice",
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
        self.next_cold_request_at = -math.inf
        self.external_load = 0
        self.external_load_at = -math.inf
        self.limit = None
        self.limit_invalid = False
        self.grants = None
        self.next_grant_at = -math.inf
        self.notice = None


class BackendView:
    """All backend servers known to an instance.

    Attributes:
        backends: Map of server id to Backend.
        by_service: Map of service name to a list of Backend, ordered by server id.
        generation: Number that is incremented when the set of servers changes.
        evacuations: Map of failure domain to Evacuation.
        services: Map of service name to ServiceSpec.
        instances: Number of instances that share the rates of cold servers.
        notices: Map of (server id, start of the server) to ServerNotice; it outlives
            the removal of an entry, which may come back.
        rng: Random number generator for pauses and for load shedding, so that the
            instances do not act in step.
        mean_loads: Map of service name, or of service, region and the side of its
            border, to a tuple of the mean load (ratio) and the time at which that was
            computed (s, monotonic).
    """

    __slots__ = (
        "backends",
        "by_service",
        "evacuations",
        "generation",
        "instances",
        "mean_loads",
        "notices",
        "rng",
        "services",
    )

    def __init__(self, rng=None):
        self.backends = {}
        self.by_service = {}
        self.generation = 0
        self.evacuations = {}
        self.services = {}
        self.instances = 1
        self.notices = {}
        self.rng = rng or random.Random()
        self.mean_loads = {}


def apply_entry(view, entry, now) -> Option:
    """Applies an entry of the live list.

    Args:
        view: BackendView.
        entry: BackendEntry.
        now: Current time (s, monotonic).

    Returns:
        Some with "joined", "restarted", "leaving" or "returned" when the entry
        changes which requests the server may get, otherwise Nothing.

    Notes:
        A server that restarted under the same id has lost its state: its suspension
        ends and a new cold period starts.
    """
    backend = view.backends.get(entry.server_id)
    if backend is None:
        backend = view.backends[entry.server_id] = Backend(entry)
        backend.notice = view.notices.get((entry.server_id, entry.started_ms))
        extend_cold_period(view, backend, entry.cold_ms / 1000.0, now)
        _add_to_index(view, backend)
        return Some("joined")
    before, backend.entry = backend.entry, entry
    if _is_index_key_changed(before, entry):
        _remove_from_index(view, backend, before.service)
        _add_to_index(view, backend)
    if before.started_ms != entry.started_ms:
        backend.suspended_until = backend.trial_until = -math.inf
        backend.failures = backend.lost = backend.late = 0
        backend.limit, backend.limit_invalid = None, False
        backend.grants, backend.next_grant_at = None, -math.inf
        backend.notice = view.notices.get((entry.server_id, entry.started_ms))
        spec = view.services.get(entry.service)
        cold_s = max(entry.cold_ms, spec.cold_ms if spec else 0.0) / 1000.0
        extend_cold_period(view, backend, cold_s, now)
        return Some("restarted")
    extend_cold_period(view, backend, entry.cold_ms / 1000.0, now)
    if before.state != entry.state:
        return Some("leaving" if entry.state == "leaving" else "returned")
    return Nothing


def _is_index_key_changed(before, after):
    """Returns whether the server's service or address changed."""
    return (before.service, before.host, before.port) != (
        after.service,
        after.host,
        after.port,
    )


def _add_to_index(view, backend):
    """Adds a server to its service's list, which is replaced: it may be in use."""
    service = backend.entry.service
    servers = list(view.by_service.get(service, ()))
    bisect.insort(servers, backend, key=_server_id)
    view.by_service[service] = servers
    view.generation += 1


def _remove_from_index(view, backend, service):
    servers = [b for b in view.by_service[service] if b is not backend]
    if servers:
        view.by_service[service] = servers
    else:
        del view.by_service[service]
    view.generation += 1


def _server_id(backend):
    return backend.entry.server_id


def extend_cold_period(view, backend, duration_s, now):
    """Marks a server as cold for a time from now.

    Args:
        view: BackendView.
        backend: Backend.
        duration_s: Length of the time (s).
        now: Current time (s, monotonic).
    """
    if duration_s <= 0.0:
        return
    if not is_cold(backend, now):
        backend.next_cold_request_at = now + _cold_request_pause(view, backend)
    backend.cold_until = max(backend.cold_until, now + duration_s)


def _cold_request_pause(view, backend):
    """Returns a random pause whose mean gives this instance's share of the rate (s)."""
    spec = view.services.get(backend.entry.service)
    rate = spec.cold_per_s if spec and spec.cold_per_s else DEFAULT_COLD_RATE_PER_S
    mean = max(1, view.instances) / (rate * COLD_RATE_MARGIN)
    return view.rng.uniform(0.5, 1.5) * mean


def remove_entry(view, server_id):
    """Removes a server that left the live list.

    Args:
        view: BackendView.
        server_id: Id of the server.

    Returns:
        The Backend, or None when it was not known.
    """
    backend = view.backends.pop(server_id, None)
    if backend is not None:
        _remove_from_index(view, backend, backend.entry.service)
    return backend


def is_cold(backend, now):
    """Returns whether a server is cold, or may be cold after a suspension."""
    return now < backend.cold_until or now < backend.trial_until


def usable_backends(view, service, route, now):
    """Yields the servers that a route may use now, cold ones too.

    Args:
        view: BackendView.
        service: Service name.
        route: Route of the request.
        now: Current time (s, monotonic).
    """
    homes = route.home_regions
    for backend in view.by_service.get(service, ()):
        is_home = not homes or backend.entry.region in homes
        if is_home and is_in_use(view, backend, now):
            yield backend


def eligible_backends(view, service, route, now):
    """Lists the servers that may take a request now.

    Args:
        view: BackendView.
        service: Service name.
        route: Route of the request.
        now: Current time (s, monotonic).

    Returns:
        Tuple of two lists of Backend: the warm servers, and the cold servers whose
        next request is due. Servers that are withheld because of their limit are
        among them.
    """
    warm, cold = [], []
    for backend in usable_backends(view, service, route, now):
        if not is_cold(backend, now):
            warm.append(backend)
        elif now >= backend.next_cold_request_at:
            cold.append(backend)
    return warm, cold


def is_withheld(backend, now):
    """Returns whether a server gets no request now because its limit is reached."""
    return now < backend.next_grant_at


def record_send(view, backend, now):
    """Records that a request is sent to a server."""
    backend.in_flight += 1
    if is_cold(backend, now):
        backend.next_cold_request_at = now + _cold_request_pause(view, backend)


def record_answer(backend):
    """Records that a server answered: resets its counts of consecutive failures."""
    backend.failures = backend.lost = backend.late = 0


def suspend_backend(view, backend, now):
    """Suspends a server, for longer with each consecutive suspension.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s).
    """
    backend.failures += 1
    pause = min(
        SUSPENSION_MAX_S, SUSPENSION_BASE_S * 2.0 ** min(backend.failures - 1, 8)
    )
    pause *= view.rng.uniform(0.8, 1.2)
    backend.suspended_until = now + pause
    backend.trial_until = backend.suspended_until + RESTART_DETECTION_S
    backend.next_cold_request_at = backend.suspended_until + (
        view.rng.uniform(0.0, 1.0) * _cold_request_pause(view, backend)
    )
    backend.external_load = 0
    return pause


def end_suspension(view, backend, now):
    """Ends a suspension for failures that were not the server's.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Notes:
        A server that is cold gets its next request after a new pause: after a cut, all
        instances end their suspensions at about the same time.
    """
    backend.suspended_until = backend.trial_until = -math.inf
    backend.failures = 0
    backend.next_cold_request_at = -math.inf
    if is_cold(backend, now):
        backend.next_cold_request_at = now + _cold_request_pause(view, backend)


def record_lost_answer(view, backend, now):
    """Records that the answer to a request was lost.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s), 0 when the server stays in use.
    """
    backend.lost += 1
    return _suspend_at_limit(
        view, backend, backend.lost, LOST_ANSWERS_BEFORE_SUSPENSION, now
    )


def record_timeout(view, backend, now):
    """Records that a request's deadline passed without any answer.

    Args:
        view: BackendView.
        backend: Backend.
        now: Current time (s, monotonic).

    Returns:
        Length of the suspension (s), 0 when the server stays in use.
    """
    backend.late += 1
    return _suspend_at_limit(
        view, backend, backend.late, TIMEOUTS_BEFORE_SUSPENSION, now
    )


def _suspend_at_limit(view, backend, failures, limit, now):
    """Suspends a server when its consecutive failures have reached the limit."""
    if failures < limit:
        return 0.0
    backend.lost = backend.late = 0
    return suspend_backend(view, backend, now)
