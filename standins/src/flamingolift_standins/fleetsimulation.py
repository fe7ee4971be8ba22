"""Emulates a fleet of instances and servers on a made-up clock.

The instances decide with the product's own functions; servers, network and
callers are modelled. A minute of a fleet takes about two seconds, so an overload
or a slow server can be tried with many seeds.
"""

import collections
import heapq
import itertools
import random

from flamingolift_decisions import admission, affinity, backends, loads
from flamingolift_decisions.affinity import AffinityCache
from flamingolift_decisions.backends import BackendView
from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import Route, WeightedService

__all__ = ["FleetModel", "Tally", "Workload", "run_simulation"]

SERVICE = "listings"
COLD_WORK_S = 0.64
"""Mean work for an object that the server does not hold (s)."""
WARM_RATIO = 0.3
"""Work for an object that it holds (ratio)."""
WORK_SPREAD = 0.15
"""Spread of the work (ratio)."""
KEPT_OBJECTS = 20
"""Objects that a server holds, the latest ones."""
QUEUE = 9
"""Requests that wait at a server before it rejects more."""
OBJECTIVE_S = 0.4
TIMEOUT_S = 1.2
"""Time after which a server gives up a request (s)."""
RETURN_S = 0.4
"""Mean time after which a refused or failed caller asks once more (s)."""
FAR_S = 0.02
"""One way between regions (s)."""
NEAR_S = 0.001
"""One way within a region (s)."""


class Workload:
    """What a run is put through.

    Attributes:
        rate: Callers' requests a second (1/s).
        seconds: Length of the run (s).
        instances: Number of instances.
        servers: Number of servers.
        objects: Number of objects of each region.
        regions: Number of regions.
        slots: Requests that a server runs at a time.
        bursts: List of (start, end, factor of the rate).
        slow: List of (start, end, share of the servers, factor of their work).
        restarts: Times at which all instances lose what they know (s).
        hot_share: Part of the requests that are for one object (ratio).
    """

    __slots__ = (
        "bursts",
        "hot_share",
        "instances",
        "objects",
        "rate",
        "regions",
        "restarts",
        "seconds",
        "servers",
        "slots",
        "slow",
    )

    def __init__(
        self,
        rate=110.0,
        seconds=40.0,
        instances=18,
        servers=14,
        objects=24,
        regions=3,
        slots=3,
        bursts=(),
        slow=(),
        restarts=(),
        hot_share=0.0,
    ):
        self.rate = rate
        self.seconds = seconds
        self.instances = instances
        self.servers = servers
        self.objects = objects
        self.regions = regions
        self.slots = slots
        self.bursts = bursts
        self.slow = slow
        self.restarts = restarts
        self.hot_share = hot_share


class ModelServer:
    """A server: its requests, its queue and the objects that it holds."""

    __slots__ = ("factor", "held", "queue", "running", "server_id")

    def __init__(self, server_id):
        self.server_id = server_id
        self.running = 0
        self.queue = collections.deque()
        self.held = collections.OrderedDict()
        self.factor = 1.0


class ModelInstance:
    """An instance: what it believes and the requests that it has sent."""

    __slots__ = ("cache", "region", "view")

    def __init__(self, region, view):
        self.region = region
        self.view = view
        self.cache = AffinityCache()


class ModelRequest:
    """A caller's request."""

    __slots__ = ("asked_at", "backend", "instance", "key", "sent_at", "tried", "tries")

    def __init__(self, key, asked_at):
        self.key = key
        self.asked_at = asked_at
        self.tries = 0
        self.tried = set()
        self.instance = None
        self.backend = None
        self.sent_at = 0.0


class Tally:
    """What happened to the requests that began in one second.

    Attributes:
        in_time: Answered within the objective.
        late: Answered later.
        lost: Refused or failed in the end.
        warm: Sends that met a server which held the object.
        sends: Sends that a server ran.
    """

    __slots__ = ("in_time", "late", "lost", "sends", "warm")

    def __init__(self):
        self.in_time = self.late = self.lost = self.sends = self.warm = 0


class FleetModel:
    """State of a run; `run_simulation` advances it."""

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
        self.servers = {f"s{n}": ModelServer(f"s{n}") for n in range(load.servers)}
        self.route = Route(
            name=SERVICE,
            host="model.example",
            prefix="/",
            services=[WeightedService(service=SERVICE, weight=1.0)],
            idempotent=True,
            timeout_ms=TIMEOUT_S * 1000.0,
        )
        self.instances = []
        _restart_instances(self, 0.0)


def run_simulation(load, seed=1):
    """Runs a fleet.

    Args:
        load: Workload.
        seed: Seed of the random numbers.

    Returns:
        Map of the second in which requests began to their Tally.
    """
    model = FleetModel(load, seed)
    _at(model, 0.0, _arrive)
    for start, end, share, factor in load.slow:
        count = max(1, round(share * load.servers))
        chosen = model.rng.sample(sorted(model.servers), count)
        _at(model, start, _set_factor, chosen, factor)
        _at(model, end, _set_factor, chosen, 1.0)
    for moment in load.restarts:
        _at(model, moment, _restart)
    while model.events:
        now, _number, function, arguments = heapq.heappop(model.events)
        function(model, now, *arguments)
    return dict(model.tallies)


def _at(model, moment, function, *arguments):
    heapq.heappush(model.events, (moment, next(model.numbers), function, arguments))


def _restart_instances(model, now):
    load = model.load
    model.instances = []
    for number in range(load.instances):
        view = BackendView(random.Random(model.rng.random()))
        view.instances = load.instances
        for index, server_id in enumerate(model.servers):
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
        model.instances.append(ModelInstance(f"r{number % load.regions}", view))


def _restart(model, now):
    _restart_instances(model, now)


def _set_factor(model, now, server_ids, factor):
    for server_id in server_ids:
        model.servers[server_id].factor = factor


def _arrive(model, now):
    """A caller asks; the next arrival follows."""
    load = model.load
    rate = load.rate
    for start, end, factor in load.bursts:
        if start <= now < end:
            rate *= factor
    following = now + model.rng.expovariate(rate)
    if following < load.seconds:
        _at(model, following, _arrive)
    region = model.rng.randrange(load.regions)
    number = int(model.rng.random() ** 1.25 * load.objects)
    if model.rng.random() < load.hot_share:
        region, number = 0, 0
    _ask(model, now, ModelRequest(f"r{region}-{number}", now))


def _ask(model, now, req):
    """A caller's request reaches an instance of its region."""
    region = req.key.partition("-")[0]
    near = [i for i in model.instances if i.region == region]
    req.instance = model.rng.choice(near or model.instances)
    req.tries += 1
    req.tried.clear()
    if admission.should_shed(req.instance.view, SERVICE, now):
        _fail(model, now, req)
    else:
        _send(model, now, req)


def _send(model, now, req):
    instance = req.instance
    backend, _place = affinity.pick_backend(
        instance.view,
        instance.cache,
        SERVICE,
        model.route,
        req.key,
        "",
        req.tried,
        instance.region,
        now,
    )
    if backend is None:
        _fail(model, now, req)
        return
    req.backend, req.sent_at = backend, now
    req.tried.add(backend.entry.server_id)
    backends.record_send(instance.view, backend, now)
    _at(model, now + _way(req), _reach, req)


def _way(req):
    return NEAR_S if req.backend.entry.region == req.instance.region else FAR_S


def _reach(model, now, req):
    server = model.servers[req.backend.entry.server_id]
    if server.running < model.load.slots:
        _start(model, now, server, req)
    elif len(server.queue) < QUEUE:
        server.queue.append(req)
    else:
        _at(model, now + _way(req), _answered, req, "full", model.load.slots, QUEUE)


def _start(model, now, server, req):
    server.running += 1
    held = req.key in server.held
    server.held[req.key] = True
    server.held.move_to_end(req.key)
    if len(server.held) > KEPT_OBJECTS:
        server.held.popitem(last=False)
    tally = model.tallies[int(now)]
    tally.sends += 1
    tally.warm += held
    work = COLD_WORK_S * (WARM_RATIO if held else 1.0) * server.factor
    work *= model.rng.uniform(1.0 - WORK_SPREAD, 1.0 + WORK_SPREAD)
    ends_at = req.sent_at + TIMEOUT_S
    if now + work > ends_at:
        _at(model, max(now, ends_at), _finish, server, req, "late")
    else:
        _at(model, now + work, _finish, server, req, "answered")


def _finish(model, now, server, req, outcome):
    load = (server.running - 1, len(server.queue))
    _at(model, now + _way(req), _answered, req, outcome, *load)
    server.running -= 1
    while server.queue and server.running < model.load.slots:
        waiting = server.queue.popleft()
        if now > waiting.sent_at + TIMEOUT_S:
            _at(model, now + _way(waiting), _answered, waiting, "late", *load)
        else:
            _start(model, now, server, waiting)


def _answered(model, now, req, outcome, running, waiting):
    """An instance learns how a send ended and tells the caller."""
    backend = req.backend
    backend.in_flight -= 1
    loads.record_load(backend, running, waiting, now)
    if outcome == "answered":
        backends.record_answer(backend)
        tally = model.tallies[int(req.asked_at)]
        if now - req.asked_at <= OBJECTIVE_S:
            tally.in_time += 1
        else:
            tally.late += 1
    elif outcome == "full" and len(req.tried) < 2:
        _send(model, now, req)
    else:
        _fail(model, now, req)


def _fail(model, now, req):
    """A caller asks once more or gives up."""
    if req.tries < 2:
        _at(model, now + model.rng.uniform(0.5, 1.5) * RETURN_S, _ask, req)
    else:
        model.tallies[int(req.asked_at)].lost += 1
