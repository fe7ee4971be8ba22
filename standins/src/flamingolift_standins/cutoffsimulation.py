"""Discrete-event simulation of instances that are cut off from all backend servers.

Callers keep the address of a look-up; instances find their own cut with the product's
decision. Servers answer after a random time and have room for everything.
"""

import heapq
import itertools
import random

from flamingolift_decisions import backends, serverpaths
from flamingolift_decisions.serverpaths import ServerPaths

from flamingolift_standins.cutoffworkload import STRATEGIES, CutResult

__all__ = [
    "MAX_CONNECT_FAILURES",
    "PROBE_INTERVAL_S",
    "RATE_PER_INSTANCE",
    "simulate_cut",
]

SERVERS = {"listings": 16, "booking": 12, "maps": 12, "rows": 12}
WEIGHTS = {"listings": 0.5, "booking": 0.15, "maps": 0.1, "rows": 0.25}
"""Share of the requests for each service (ratio)."""
REGIONS = 3
DOMAINS = 6
CALLERS_PER_INSTANCE = 4
RATE_PER_INSTANCE = 5.0
"""Mean rate of callers' requests for each instance (1/s)."""
LOOKUP_TTL_S = 2.0
"""Time for which callers keep the address of a look-up (s)."""
LONG_KEEPING_SHARE = 0.3
"""Share of the callers that keep an address for `LONG_KEEPING_FACTOR` times as long."""
LONG_KEEPING_FACTOR = 3.0
CONNECT_TIMEOUT_S = 0.4
"""Timeout of a connect that gets no answer (s)."""
REFUSED_CONNECT_S = 0.002
"""Time of a connect that is refused (s)."""
MAX_CONNECT_FAILURES = 3
"""Failed connects after which a request tries no further server."""
PROBE_INTERVAL_S = 0.3
"""Interval of the probe connects of an instance that is cut off (s)."""
PEER_INTERVAL_S = 1.0
"""Interval at which instances learn what the others are cut off from (s)."""
DEADLINE_S = 2.0
"""Time after which an answer is of no use to a caller (s)."""
MEAN_WORK_S = 0.08
"""Mean processing time of a request (s)."""
IN_REGION_DELAY_S = 0.001
"""One-way network delay within a region (s)."""
CROSS_REGION_DELAY_S = 0.02
"""One-way network delay between regions (s)."""
HOP_BYTES = 7_000
"""Mean size of a request and its answer on a hop (bytes)."""


class CutInstance:
    """An instance.

    Attributes:
        number: Its number.
        region: Its region.
        domain: Its failure domain.
        cut: Whether it takes part in the cut.
        paths: ServerPaths.
        suspended: Map of (service, server) to the end of its suspension (s) and the
            number of its suspensions in a row.
        reported: Services that the others believe it to be cut off from.
    """

    __slots__ = (
        "cut",
        "domain",
        "number",
        "paths",
        "region",
        "reported",
        "suspended",
    )

    def __init__(self, number):
        self.number = number
        self.region = number % REGIONS
        self.domain = number % DOMAINS
        self.cut = False
        self.paths = ServerPaths()
        self.suspended = {}
        self.reported = set()


class SimulatedCaller:
    """A caller: its region, the instance it keeps, until when, and for how long (s)."""

    __slots__ = ("instance", "keeps_s", "kept_until", "region")

    def __init__(self, region, keeps_s):
        self.region = region
        self.keeps_s = keeps_s
        self.instance = None
        self.kept_until = 0.0


class CutRequest:
    """A caller's first try.

    Attributes:
        service: Service name.
        asked_at: Time at which it was sent (s).
        first: CutInstance that the caller sent it to.
        undetected: Whether that instance was cut off and had not found it.
        helper: CutInstance that it was handed on to, or None.
        tried: Servers whose connects failed at the instance that handles it.
    """

    __slots__ = ("asked_at", "first", "helper", "service", "tried", "undetected")

    def __init__(self, service, asked_at, first):
        self.service = service
        self.asked_at = asked_at
        self.first = first
        self.undetected = False
        self.helper = None
        self.tried = set()


class CutSimulation:
    """State of a simulation; `simulate_cut` advances it."""

    __slots__ = ("callers", "events", "instances", "load", "numbers", "result", "rng")

    def __init__(self, load, seed):
        self.load = load
        self.rng = rng = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.result = CutResult()
        self.instances = [CutInstance(number) for number in range(load.instances)]
        for instance in _choose_cut(self.instances, load.cut, rng):
            instance.cut = True
        self.callers = []
        for number in range(CALLERS_PER_INSTANCE * load.instances):
            is_long = rng.random() < LONG_KEEPING_SHARE
            keeps_s = LOOKUP_TTL_S * (LONG_KEEPING_FACTOR if is_long else 1.0)
            self.callers.append(SimulatedCaller(number % REGIONS, keeps_s))


def simulate_cut(load, seed=1):
    """Simulates a fleet of which some instances are cut off for a time.

    Args:
        load: CutWorkload.
        seed: Seed of the random numbers.

    Returns:
        CutResult.
    """
    sim = CutSimulation(load, seed)
    _schedule(sim, 0.0, _arrive)
    while sim.events:
        now, _number, function, arguments = heapq.heappop(sim.events)
        function(sim, now, *arguments)
    return sim.result


def _choose_cut(instances, cut, rng):
    if cut == "one":
        return instances[:1]
    if cut == "domain":
        return [i for i in instances if i.domain == 0]
    return rng.sample(instances, round(cut * len(instances)))


def _schedule(sim, due_at, function, *arguments):
    heapq.heappush(sim.events, (due_at, next(sim.numbers), function, arguments))


def _is_cut(sim, instance, now):
    return instance.cut and sim.load.start <= now < sim.load.end


def _delay_s(one, other):
    return IN_REGION_DELAY_S if one.region == other.region else CROSS_REGION_DELAY_S


def _arrive(sim, now):
    """Sends a caller's request to the instance that it keeps."""
    due_at = now + sim.rng.expovariate(RATE_PER_INSTANCE * sim.load.instances)
    if due_at < sim.load.seconds:
        _schedule(sim, due_at, _arrive)
    caller = sim.rng.choice(sim.callers)
    service = sim.rng.choices(list(WEIGHTS), WEIGHTS.values())[0]
    if now >= caller.kept_until:
        caller.instance = _look_up(sim, caller.region, service)
        # The first addresses run out at different times.
        spread = 1.0 if caller.kept_until else sim.rng.random()
        caller.kept_until = now + caller.keeps_s * spread
    instance = caller.instance
    req = CutRequest(service, now, instance)
    found = serverpaths.is_cut_off(instance.paths, service)
    req.undetected = _is_cut(sim, instance, now) and not found
    _handle(sim, now, req, instance)


def _look_up(sim, region, service):
    """Returns the instance that a look-up names, in the caller's region if possible."""
    pools = _pools(sim, region)
    if sim.load.strategy.names_others:
        for pool in pools:
            usable = [i for i in pool if service not in i.reported]
            if usable:
                return sim.rng.choice(usable)
    return sim.rng.choice(pools[0])


def _choose_helper(sim, instance, service):
    """Returns the instance to hand a request on to, or None."""
    local, everywhere = _pools(sim, instance.region)
    pools = [local, everywhere]
    if sim.load.strategy.leaves_domain:
        pools.insert(0, [other for other in local if other.domain != instance.domain])
    for pool in pools:
        usable = [i for i in pool if i is not instance and service not in i.reported]
        if usable:
            return sim.rng.choice(usable)
    return None


def _pools(sim, region):
    """Returns the instances of a region, and all."""
    return [i for i in sim.instances if i.region == region], sim.instances


def _handle(sim, now, req, instance):
    """Handles a request at the instance that the caller chose, or at a helper."""
    if sim.load.start <= now < sim.load.end:
        sim.result.handled[instance.number] += 1
    req.tried.clear()
    _try_server(sim, now, req, instance)


def _try_server(sim, now, req, instance):
    if serverpaths.is_cut_off(instance.paths, req.service):
        _hand_on_or_refuse(sim, now, req, instance)
        return
    server = _pick_server(sim, now, req, instance)
    if server is None:
        _finish(sim, now, req, is_served=False)
    elif _is_cut(sim, instance, now):
        delay = CONNECT_TIMEOUT_S if sim.load.hangs else REFUSED_CONNECT_S
        _schedule(sim, now + delay, _fail_connect, req, instance, server)
    else:
        _record_reached(sim, now, instance, req.service, server)
        back_s = _delay_s(req.first, req.helper) if req.helper else 0.0
        added_s = now - req.asked_at + back_s
        work_s = sim.rng.expovariate(1.0 / MEAN_WORK_S)
        is_served = added_s + work_s <= DEADLINE_S
        _finish(sim, now, req, is_served, added_s)


def _pick_server(sim, now, req, instance):
    """Returns a server that is neither suspended nor tried, or None."""
    if len(req.tried) >= MAX_CONNECT_FAILURES:
        return None
    usable = []
    for server in range(SERVERS[req.service]):
        until, _failures = instance.suspended.get((req.service, server), (0.0, 0))
        if until <= now and server not in req.tried:
            usable.append(server)
    return sim.rng.choice(usable) if usable else None


def _record_reached(sim, now, instance, service, server):
    instance.suspended.pop((service, server), None)
    if serverpaths.record_reached(instance.paths, service, now).is_some():
        _report_later(sim, now, instance)


def _fail_connect(sim, now, req, instance, server):
    req.tried.add(server)
    key = (req.service, server)
    failures = instance.suspended.get(key, (0.0, 0))[1]
    pause = min(backends.SUSPENSION_MAX_S, backends.SUSPENSION_BASE_S * 2.0**failures)
    instance.suspended[key] = (now + pause * sim.rng.uniform(0.8, 1.2), failures + 1)
    if sim.load.strategy is not STRATEGIES["refuse"]:
        names = list(SERVERS)
        found = serverpaths.record_unreached(
            instance.paths, req.service, server, names, now
        )
        for service in found.default_value([]):
            _start_probes(sim, now, instance, service)
    if now - req.asked_at > DEADLINE_S:
        _finish(sim, now, req, is_served=False)
    else:
        _try_server(sim, now, req, instance)


def _start_probes(sim, now, instance, service):
    """Lifts the suspensions, which were for the instance's own cut, and probes."""
    for key in [key for key in instance.suspended if key[0] == service]:
        del instance.suspended[key]
    _report_later(sim, now, instance)
    _schedule(sim, now + PROBE_INTERVAL_S, _probe, instance, service)


def _probe(sim, now, instance, service):
    if not _is_cut(sim, instance, now):
        _record_reached(sim, now, instance, service, 0)
    elif serverpaths.is_cut_off(instance.paths, service):
        _schedule(sim, now + PROBE_INTERVAL_S, _probe, instance, service)


def _report_later(sim, now, instance):
    delay = sim.rng.uniform(0.0, PEER_INTERVAL_S)
    _schedule(sim, now + delay, _report, instance)


def _report(sim, now, instance):
    instance.reported = set(serverpaths.cut_off_services(instance.paths))


def _hand_on_or_refuse(sim, now, req, instance):
    helper = None
    if sim.load.strategy.hands_on and req.helper is None:
        helper = _choose_helper(sim, instance, req.service)
    if helper is None:
        _finish(sim, now, req, is_served=False)
        return
    req.helper = helper
    if helper.region != instance.region:
        sim.result.bytes_between_regions += HOP_BYTES
    _schedule(sim, now + _delay_s(instance, helper), _handle, req, helper)


def _finish(sim, now, req, is_served, added_s=0.0):
    """Counts a first try by the time at which it was sent."""
    result = sim.result
    if req.first.cut and req.asked_at >= sim.load.end:
        result.after += 1
        result.served_after += is_served
    elif not sim.load.start <= req.asked_at < sim.load.end:
        return
    elif req.first.cut:
        result.at_cut += 1
        result.served_at_cut += is_served
        result.lost_undetected += not is_served and req.undetected
        if is_served:
            result.added_s.append(added_s)
    else:
        result.elsewhere += 1
        result.served_elsewhere += is_served
