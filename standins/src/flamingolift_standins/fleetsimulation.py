"""Discrete-event simulation of a fleet of instances and backend servers.

The instances decide with the product's own functions; servers, network and
callers are simulated. A simulated minute takes about two seconds, so an overload
or a slow server can be tried with many seeds.
"""

import collections
import heapq
import itertools
import math
import random

from flamingolift_decisions import admission, affinity, backends, loads
from flamingolift_decisions.backends import BackendView
from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import Route, WeightedService

from flamingolift_standins.simulatedfleet import (
    SimulatedInstance,
    SimulatedRequest,
    SimulatedServer,
    Tally,
    Workload,
)

__all__ = ["FleetSimulation", "Tally", "Workload", "run_prepared", "run_simulation"]

SERVICE = "listings"
WARM_RATIO = 0.3
"""Processing time for a held object, relative to one that is not held (ratio)."""
WORK_SPREAD = 0.15
"""Half width of the uniform distribution of processing times (ratio)."""
WAVE_S = 36.0
"""Period of the wave of the regions' rates (s)."""
IN_REGION_DELAY_S = 0.001
"""One-way network delay within a region (s)."""


class FleetSimulation:
    """State of a simulation; `run_simulation` advances it.

    Attributes:
        load: Workload.
        rng: Random generator.
        events: Heap of (time (s), number, function, arguments).
        numbers: Counter that keeps events of the same time in order.
        tallies: Map of second to Tally.
        servers: Map of server id to SimulatedServer.
        route: Route of all requests.
        instances: List of SimulatedInstance.
    """

    __slots__ = (
        "events",
        "instances",
        "load",
        "numbers",
        "rng",
        "route",
        "servers",
        "tallies",
    )

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.tallies = collections.defaultdict(Tally)
        self.servers = {f"s{n}": SimulatedServer(f"s{n}") for n in range(load.servers)}
        self.route = Route(
            name=SERVICE,
            host="model.example",
            prefix="/",
            services=[WeightedService(service=SERVICE, weight=1.0)],
            idempotent=True,
            timeout_ms=load.timeout_s * 1000.0,
        )
        self.instances = []
        _restart_instances(self, 0.0)


def run_simulation(load, seed=1):
    """Simulates a fleet until all its requests have ended.

    Args:
        load: Workload.
        seed: Seed of the random numbers.

    Returns:
        Map of second to its Tally.
    """
    return run_prepared(FleetSimulation(load, seed))


def run_prepared(sim):
    """Runs a simulation; returns the same as `run_simulation`.

    Args:
        sim: FleetSimulation that has not run.
    """
    load = sim.load
    _schedule(sim, 0.0, _arrive)
    for start, end, share, factor in load.slow:
        count = max(1, round(share * load.servers))
        chosen = sim.rng.sample(sorted(sim.servers), count)
        _schedule(sim, start, _set_slowdown, chosen, factor)
        _schedule(sim, end, _set_slowdown, chosen, 1.0)
    for due_at in load.restarts:
        _schedule(sim, due_at, _restart)
    while sim.events:
        now, _number, function, arguments = heapq.heappop(sim.events)
        function(sim, now, *arguments)
    return dict(sim.tallies)


def _schedule(sim, due_at, function, *arguments):
    heapq.heappush(sim.events, (due_at, next(sim.numbers), function, arguments))


def _restart_instances(sim, now):
    load = sim.load
    sim.instances = []
    for number in range(load.instances):
        view = BackendView(random.Random(sim.rng.random()))
        view.instances = load.instances
        for index, server_id in enumerate(sim.servers):
            entry = BackendEntry(
                server_id=server_id,
                service=SERVICE,
                region=f"r{index % load.regions}",
                failure_domain=f"d{index % load.regions}",
                host="127.0.0.1",
                port=8000 + index,
                slots=load.slots,
            )
            backends.apply_entry(view, entry, now)
        sim.instances.append(SimulatedInstance(f"r{number % load.regions}", view))


def _restart(sim, now):
    _restart_instances(sim, now)


def _set_slowdown(sim, now, server_ids, factor):
    for server_id in server_ids:
        sim.servers[server_id].slowdown = factor


def _arrive(sim, now):
    """Creates a caller's request and schedules the next arrival."""
    load = sim.load
    rate = load.rate
    for start, end, factor in load.bursts:
        if start <= now < end:
            rate *= factor
    next_arrival_at = now + sim.rng.expovariate(rate)
    if next_arrival_at < load.seconds:
        _schedule(sim, next_arrival_at, _arrive)
    region = sim.rng.choices(range(load.regions), _region_weights(load, now))[0]
    number = int(sim.rng.random() ** 1.25 * load.objects)
    if sim.rng.random() < load.hot_share:
        region, number = 0, 0
    _reach_instance(sim, now, SimulatedRequest(f"r{region}-{number}", now))


def _region_weights(load, now):
    """Returns the rate of each region, relative to their mean."""
    return [
        1.0 + load.swing * math.sin(math.tau * (now / WAVE_S + region / load.regions))
        for region in range(load.regions)
    ]


def _reach_instance(sim, now, req):
    """Handles the arrival of a request at an instance of its region."""
    region = req.key.partition("-")[0]
    local = [i for i in sim.instances if i.region == region]
    req.instance = sim.rng.choice(local or sim.instances)
    req.attempts += 1
    req.tried.clear()
    if admission.should_shed(req.instance.view, SERVICE, now):
        _retry_or_give_up(sim, now, req)
    else:
        _send(sim, now, req)


def _send(sim, now, req):
    instance = req.instance
    backend, _place = affinity.pick_backend(
        instance.view,
        instance.cache,
        SERVICE,
        sim.route,
        req.key,
        "",
        req.tried,
        instance.region,
        now,
    )
    if backend is None:
        _retry_or_give_up(sim, now, req)
        return
    req.backend, req.sent_at = backend, now
    req.tried.add(backend.entry.server_id)
    backends.record_send(instance.view, backend, now)
    tally = sim.tallies[int(now)]
    tally.far += backend.entry.region != instance.region
    tally.to_server[backend.entry.server_id] += 1
    _schedule(sim, now + _one_way_delay_s(sim, req), _reach_server, req)


def _one_way_delay_s(sim, req):
    return (
        IN_REGION_DELAY_S
        if req.backend.entry.region == req.instance.region
        else sim.load.far_s
    )


def _reach_server(sim, now, req):
    server = sim.servers[req.backend.entry.server_id]
    if server.running < sim.load.slots:
        _start_work(sim, now, server, req)
    elif len(server.queue) < sim.load.queue:
        server.queue.append(req)
    else:
        _schedule(
            sim,
            now + _one_way_delay_s(sim, req),
            _handle_outcome,
            req,
            "full",
            sim.load.slots,
            sim.load.queue,
        )


def _start_work(sim, now, server, req):
    server.running += 1
    held = req.key in server.held
    server.held[req.key] = True
    server.held.move_to_end(req.key)
    if len(server.held) > sim.load.held:
        server.held.popitem(last=False)
    tally = sim.tallies[int(now)]
    tally.sends += 1
    tally.warm += held
    work = sim.load.work_s * (WARM_RATIO if held else 1.0) * server.slowdown
    work *= sim.rng.uniform(1.0 - WORK_SPREAD, 1.0 + WORK_SPREAD)
    ends_at = req.sent_at + sim.load.timeout_s
    if now + work > ends_at:
        _schedule(sim, max(now, ends_at), _finish_work, server, req, "late")
    else:
        _schedule(sim, now + work, _finish_work, server, req, "answered")


def _finish_work(sim, now, server, req, outcome):
    load = (server.running - 1, len(server.queue))
    _schedule(
        sim, now + _one_way_delay_s(sim, req), _handle_outcome, req, outcome, *load
    )
    server.running -= 1
    while server.queue and server.running < sim.load.slots:
        waiting = server.queue.popleft()
        if now > waiting.sent_at + sim.load.timeout_s:
            _schedule(
                sim,
                now + _one_way_delay_s(sim, waiting),
                _handle_outcome,
                waiting,
                "late",
                *load,
            )
        else:
            _start_work(sim, now, server, waiting)


def _handle_outcome(sim, now, req, outcome, running, waiting):
    """Handles the outcome of a send at its instance."""
    backend = req.backend
    backend.in_flight -= 1
    loads.record_load(backend, running, waiting, now)
    if outcome == "answered":
        backends.record_answer(backend)
        tally = sim.tallies[int(req.asked_at)]
        if now - req.asked_at <= sim.load.objective_s:
            tally.in_time += 1
        else:
            tally.late += 1
    elif outcome == "full" and len(req.tried) < 2:
        _send(sim, now, req)
    else:
        _retry_or_give_up(sim, now, req)


def _retry_or_give_up(sim, now, req):
    """Schedules a caller's retry after its first attempt, else counts it lost."""
    if req.attempts < 2:
        _schedule(
            sim,
            now + sim.rng.uniform(0.5, 1.5) * sim.load.retry_s,
            _reach_instance,
            req,
        )
    else:
        sim.tallies[int(req.asked_at)].lost += 1
