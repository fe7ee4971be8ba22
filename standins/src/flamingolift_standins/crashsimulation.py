"""Simulation of one instance while some servers of a service have crashed.

It shows how often the instance takes the crash for its own cut, and how many requests
it then hands on.
"""

import random

from flamingolift_decisions import backends, serverpaths
from flamingolift_decisions.serverpaths import ServerPaths

from flamingolift_standins.cutoffsimulation import (
    MAX_CONNECT_FAILURES,
    PROBE_INTERVAL_S,
)

__all__ = ["CrashResult", "CrashWorkload", "simulate_crash"]

SERVICE = "listings"
SECONDS = 10.0
"""Time until the live list no longer shows the crashed servers (s)."""
CONNECT_S = 0.002
"""Time of a connect or of its refusal (s)."""


class CrashWorkload:
    """Input of a simulation.

    Attributes:
        servers: Servers of the service.
        crashed: Those that crash at the start.
        rate: Requests of the instance for the service (1/s).
        probes_at_once: Whether the first probe follows the finding of a cut at once,
            instead of after `PROBE_INTERVAL_S`.
    """

    __slots__ = ("crashed", "probes_at_once", "rate", "servers")

    def __init__(self, servers, crashed, rate, probes_at_once=False):
        self.servers = servers
        self.crashed = crashed
        self.rate = rate
        self.probes_at_once = probes_at_once


class CrashResult:
    """Counts of a simulation: requests, those handed on, and cuts that were found."""

    __slots__ = ("cuts", "handed_on", "requests")

    def __init__(self):
        self.requests = self.handed_on = self.cuts = 0


class CrashSimulation:
    """State of a simulation.

    Attributes:
        load: CrashWorkload.
        rng: Random generator.
        paths: ServerPaths of the instance.
        suspended: Map of server to the end of its suspension (s) and the number of its
            suspensions in a row.
        probe_at: Time of the next probe while the service counts as cut off (s).
        result: CrashResult.
    """

    __slots__ = ("load", "paths", "probe_at", "result", "rng", "suspended")

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.paths = ServerPaths()
        self.suspended = {}
        self.probe_at = 0.0
        self.result = CrashResult()


def simulate_crash(load, seed=1):
    """Simulates an instance from a crash of servers until the live list shows it.

    Args:
        load: CrashWorkload.
        seed: Seed of the random numbers.

    Returns:
        CrashResult.
    """
    sim = CrashSimulation(load, seed)
    now = sim.rng.expovariate(load.rate)
    while now < SECONDS:
        _probe_until(sim, now)
        sim.result.requests += 1
        _handle(sim, now)
        now += sim.rng.expovariate(load.rate)
    return sim.result


def _probe_until(sim, now):
    """Runs the probes that were due by now."""
    while serverpaths.is_cut_off(sim.paths, SERVICE) and sim.probe_at <= now:
        if sim.rng.randrange(sim.load.servers) >= sim.load.crashed:
            serverpaths.record_reached(sim.paths, SERVICE, sim.probe_at)
        sim.probe_at += PROBE_INTERVAL_S


def _handle(sim, now):
    """Sends a request to a server, or hands it on while the service is cut off."""
    failures = 0
    while failures < MAX_CONNECT_FAILURES:
        if serverpaths.is_cut_off(sim.paths, SERVICE):
            sim.result.handed_on += 1
            return
        server = _pick_server(sim, now)
        if server is None:
            return
        if server >= sim.load.crashed:
            serverpaths.record_reached(sim.paths, SERVICE, now)
            return
        failures += 1
        _fail_connect(sim, now, server)


def _pick_server(sim, now):
    """Returns a random server that is not suspended, or None."""
    usable = [
        server
        for server in range(sim.load.servers)
        if sim.suspended.get(server, (0.0, 0))[0] <= now
    ]
    return sim.rng.choice(usable) if usable else None


def _fail_connect(sim, now, server):
    failures = sim.suspended.get(server, (0.0, 0))[1]
    pause = min(backends.SUSPENSION_MAX_S, backends.SUSPENSION_BASE_S * 2.0**failures)
    sim.suspended[server] = (now + pause * sim.rng.uniform(0.8, 1.2), failures + 1)
    found = serverpaths.record_unreached(sim.paths, SERVICE, server, [SERVICE], now)
    if found.is_some():
        sim.result.cuts += 1
        delay = CONNECT_S if sim.load.probes_at_once else PROBE_INTERVAL_S
        sim.probe_at = now + delay
