"""What a dispatcher knows of one backend server."""

import math

__all__ = [
    "BackendServer",
    "note_outcome",
    "record_probe",
    "set_drain",
    "update_listing",
    "usable_slots",
]

LIMIT_DECREASE = 0.6
"""Factor on the concurrency limit after a timeout."""
DECREASE_INTERVAL_S = 0.5
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
RAMP_START = 0.25
"""Share of the slots that a cold backend server gets at once (ratio)."""
REPORT_FRESH_S = 3.0
EXTERNAL_SHARE_MAX = 0.5
"""Largest share of the slots that a load report alone can take away (ratio)."""
LATENCY_WEIGHT = 0.2


class BackendServer:
    """State of one backend server in a pool.

    Attributes:
        entry: BackendEntry of the live list.
        slots: Concurrent requests it declares.
        limit: Adaptive concurrency limit, at most `slots` (slots).
        granted: Number of slots granted and not released.
        healthy: Whether its last probe succeeded; None before the first one.
        draining: Whether its health endpoint, the live list or the operator
            takes it out of service.
        drain_sources: Set of the sources that say so.
        ramp_started_at: Start of the cold-start ramp (s, monotonic).
        ramp_s: Length of the ramp (s).
        ejected_until: End of an ejection (s, monotonic).
        failures: Consecutive failures.
        granted_peak: Most slots granted at once since the last probe.
        external: Busy slots at the last report that this dispatcher did not grant.
        reported_at: Time of that report (s, monotonic).
        reduced_at: Time of the last decrease of `limit` (s, monotonic).
        latency_ms: Smoothed time of a request (ms).
        operator_limit: Limit set by an exception, or None.
    """

    __slots__ = (
        "drain_sources",
        "ejected_until",
        "entry",
        "external",
        "failures",
        "granted",
        "granted_peak",
        "healthy",
        "latency_ms",
        "limit",
        "operator_limit",
        "ramp_s",
        "ramp_started_at",
        "reduced_at",
        "reported_at",
        "slots",
    )

    def __init__(self, entry, slots, ramp_s, now, cold):
        self.entry = entry
        self.slots = slots
        self.limit = float(slots)
        self.granted = 0
        self.granted_peak = 0
        self.healthy = None
        self.drain_sources = set()
        self.ramp_s = ramp_s
        self.ramp_started_at = now if cold else -math.inf
        self.ejected_until = -math.inf
        self.failures = 0
        self.external = 0
        self.reported_at = -math.inf
        self.reduced_at = -math.inf
        self.latency_ms = 0.0
        self.operator_limit = None


def usable_slots(server, now):
    """Returns how many requests the server may run now.

    Args:
        server: BackendServer.
        now: Current time (s, monotonic).

    Returns:
        Number of slots, granted ones included. Zero while it drains, is ejected
        or fails its probes. Load that other dispatchers' requests cause counts
        only up to a share of the slots: a report that lies cannot idle a server,
        and a report of zero frees nothing that this dispatcher has granted.
    """
    if server.drain_sources or server.healthy is False or now < server.ejected_until:
        return 0
    ceiling = min(float(server.slots), server.limit)
    if server.operator_limit is not None:
        ceiling = min(ceiling, float(server.operator_limit))
    age = now - server.ramp_started_at
    if age < server.ramp_s:
        share = RAMP_START + (1.0 - RAMP_START) * age / server.ramp_s
        ceiling = min(ceiling, max(1.0, server.slots * share))
    ceiling -= _external_busy(server, now)
    return max(0, math.floor(ceiling + 1e-9))


def _external_busy(server, now):
    """Returns busy slots that this dispatcher did not grant."""
    if now - server.reported_at > REPORT_FRESH_S:
        return 0
    return min(server.external, math.floor(server.slots * EXTERNAL_SHARE_MAX))


def note_outcome(server, outcome, elapsed_ms, now):
    """Learns from how one request ended.

    Args:
        server: BackendServer.
        outcome: Outcome of the schema's Release message.
        elapsed_ms: Time that the request took on the server (ms).
        now: Current time (s, monotonic).
    """
    if outcome == "ok":
        server.failures = 0
        server.limit = min(float(server.slots), server.limit + 1.0 / server.limit)
        known = server.latency_ms or elapsed_ms
        server.latency_ms = known + LATENCY_WEIGHT * (elapsed_ms - known)
    elif outcome == "cancelled":
        # The answer would have taken at least this long.
        if elapsed_ms > server.latency_ms > 0.0:
            server.latency_ms += LATENCY_WEIGHT * (elapsed_ms - server.latency_ms)
    elif outcome in ("timeout", "not_run"):
        _decrease_limit(server, now)
        if outcome == "timeout":
            _count_failure(server, now)
    elif outcome in ("crashed", "refused_connection"):
        server.failures = max(server.failures, EJECT_AFTER_FAILURES - 1)
        _count_failure(server, now)


def _decrease_limit(server, now):
    if now - server.reduced_at < DECREASE_INTERVAL_S:
        return
    server.reduced_at = now
    server.limit = max(1.0, server.limit * LIMIT_DECREASE)


def _count_failure(server, now):
    server.failures += 1
    if server.failures < EJECT_AFTER_FAILURES:
        return
    exponent = min(server.failures - EJECT_AFTER_FAILURES, 10)
    server.ejected_until = now + min(EJECT_MAX_S, EJECT_BASE_S * 2.0**exponent)


def record_probe(server, alive, draining, busy, now):
    """Learns from one probe of the health and load endpoints.

    Args:
        server: BackendServer.
        alive: Whether the health endpoint answered.
        draining: Whether it said that the server is leaving.
        busy: Busy slots by the load endpoint, or None.
        now: Current time (s, monotonic).

    Notes:
        A server that comes back from a failed probe is cold: its ramp restarts.
    """
    if alive and server.healthy is False:
        server.ramp_started_at = now
        server.limit = float(server.slots)
        server.failures = 0
        server.ejected_until = -math.inf
    server.healthy = alive
    set_drain(server, "health", draining, now)
    if busy is not None:
        # The report is older than the grants known now: it is compared with the
        # most that were out since the last probe.
        server.external = max(0, busy - server.granted_peak)
        server.reported_at = now
    server.granted_peak = server.granted


def set_drain(server, source, draining, now):
    """Records whether one source takes the server out of service.

    Args:
        server: BackendServer.
        source: "health", "live_list" or "operator".
        draining: Whether that source says so.
        now: Current time (s, monotonic).
    """
    if draining:
        server.drain_sources.add(source)
    elif source in server.drain_sources:
        server.drain_sources.discard(source)
        if not server.drain_sources:
            server.ramp_started_at = now


def update_listing(server, entry, default_slots, ramp_s, now):
    """Takes over the live list's and the policy's current facts.

    Args:
        server: BackendServer.
        entry: BackendEntry of the live list.
        default_slots: Slots of the policy, for an entry that reports none.
        ramp_s: Length of the cold-start ramp (s).
        now: Current time (s, monotonic).
    """
    slots = entry.slots or default_slots
    if slots != server.slots:
        server.limit = float(slots)
        server.slots = slots
    server.entry = entry
    server.ramp_s = ramp_s
    set_drain(server, "live_list", entry.state == "leaving", now)
