"""Emulation of a fleet in which requests end the backend servers that run them.

The instances decide with the product's own records and verdicts. Reports travel from
instance to instance with delays and losses, and records are compared once a second, as
the front does. Servers also end for other reasons, and popular requests are in flight
at every end.
"""

import collections
import heapq
import itertools
import random

from flamingolift_decisions import crashrecord, quarantine
from flamingolift_decisions.crashrecord import CrashRecord, ServerEnd
from flamingolift_decisions.hashing import rendezvous_order

__all__ = ["HoldResult", "HoldWorkload", "simulate_holds"]

SERVICE = "reads"
STABLE_WINDOW_S = 4.0
"""Time after the third end from which all instances have to know of it (s)."""
CRASH_WORK_S = 0.05
"""Time after which a server ends under a request (s)."""
WORK_S = 0.5
"""Time that a server takes for any other request (s)."""
RESTART_S = 3.0
"""Time after which a server that ended is back, under a new id (s)."""
DELAYS_S = (0.01, 0.15)
"""Range of the time that a report takes from one instance to another (s)."""
FANOUT = 4
"""Instances that are told by each instance for which a report is new."""
PULL_INTERVAL_S = 1.0
"""Interval between the comparisons of records (s)."""
PULLED_PEERS = 3
MAX_ATTEMPTS = 3
"""Servers to which one attempt of a caller may be sent."""


class HoldWorkload:
    """Input of an emulation.

    Attributes:
        instances: Number of instances.
        servers: Number of servers of the service.
        crashers: Number of requests that end each server that runs them.
        crash_gap_s: Time between two attempts of such a request (s).
        popular: Number of other requests that come again and again.
        popular_per_s: Rate of all of them together (1/s).
        kills_per_s: Rate at which servers end for other reasons (1/s).
        lost_share: Share of the reports that are lost.
        seconds: Length (s).
        seed: Seed.
    """

    __slots__ = (
        "crash_gap_s",
        "crashers",
        "instances",
        "kills_per_s",
        "lost_share",
        "popular",
        "popular_per_s",
        "seconds",
        "seed",
        "servers",
    )

    def __init__(self, instances, servers, crashers, **options):
        self.instances = instances
        self.servers = servers
        self.crashers = crashers
        self.crash_gap_s = options.pop("crash_gap_s", 0.2)
        self.popular = options.pop("popular", 20)
        self.popular_per_s = options.pop("popular_per_s", 4.0 * servers / 8)
        self.kills_per_s = options.pop("kills_per_s", 0.0)
        self.lost_share = options.pop("lost_share", 0.0)
        self.seconds = options.pop("seconds", 20.0)
        self.seed = options.pop("seed", 1)
        if options:
            raise TypeError(f"unknown options: {sorted(options)}")


class HoldResult:
    """Counts of an emulation.

    Attributes:
        ends: Servers that ended under requests that end them.
        runs_after_third: For each such request, the runs that began after its third
            end.
        late_runs: The same for those later than `STABLE_WINDOW_S`.
        innocent: Other requests, counted by attempts of callers.
        innocent_refused: Those that were refused as held.
        longest_refused_s: Longest time over which one of them was refused (s).
    """

    __slots__ = (
        "ends",
        "innocent",
        "innocent_refused",
        "late_runs",
        "longest_refused_s",
        "runs_after_third",
    )

    def __init__(self):
        self.ends = 0
        self.runs_after_third = collections.Counter()
        self.late_runs = collections.Counter()
        self.innocent = self.innocent_refused = 0
        self.longest_refused_s = 0.0


class Run:
    """One run of a request on a server."""

    __slots__ = ("attempts", "fingerprint", "instance", "tried")

    def __init__(self, instance, fingerprint, attempts, tried):
        self.instance = instance
        self.fingerprint = fingerprint
        self.attempts = attempts
        self.tried = tried


class Server:
    """One start of a server: its id, and its runs in progress."""

    __slots__ = ("runs", "server_id")

    def __init__(self, server_id):
        self.server_id = server_id
        self.runs = set()


class HoldSimulation:
    """State of an emulation.

    Attributes:
        load: HoldWorkload.
        rng: Random generator.
        now: Current time (s).
        queue: Heap of (time, number, function).
        records: List of the CrashRecord of each instance.
        servers: Map of slot to the Server that runs there, while it does.
        third_ends: Map of fingerprint to the time of the third end under it (s).
        end_counts: Counter of the ends under each request.
        refused_since: Map of the fingerprint of an innocent request to the time since
            which it has been refused (s).
        result: HoldResult.
    """

    __slots__ = (
        "end_counts",
        "load",
        "now",
        "numbers",
        "queue",
        "records",
        "refused_since",
        "result",
        "rng",
        "servers",
        "third_ends",
    )

    def __init__(self, load):
        self.load = load
        self.rng = random.Random(load.seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.queue = []
        self.records = [
            CrashRecord(min_ends=quarantine.HELD_ENDS) for _ in range(load.instances)
        ]
        self.servers = {n: Server(f"s{n}-0") for n in range(load.servers)}
        self.third_ends = {}
        self.end_counts = collections.Counter()
        self.refused_since = {}
        self.result = HoldResult()


def simulate_holds(load):
    """Runs an emulation.

    Args:
        load: HoldWorkload.

    Returns:
        HoldResult.
    """
    sim = HoldSimulation(load)
    for number in range(load.crashers):
        _at(sim, 2.0 + 0.07 * number, _send_crasher, f"crasher-{number}")
    if load.popular_per_s:
        _at(sim, 0.0, _send_popular)
    if load.kills_per_s:
        _at(sim, 2.0, _kill)
    for instance in range(load.instances):
        _at(sim, sim.rng.uniform(0.0, PULL_INTERVAL_S), _pull, instance, 0)
    while sim.queue and sim.queue[0][0] < load.seconds:
        sim.now, _number, step = heapq.heappop(sim.queue)
        step()
    return sim.result


def _at(sim, time_s, function, *arguments):
    step = (time_s, next(sim.numbers), lambda: function(sim, *arguments))
    heapq.heappush(sim.queue, step)


def _send_crasher(sim, fingerprint):
    _take(sim, fingerprint)
    _at(sim, sim.now + sim.load.crash_gap_s, _send_crasher, fingerprint)


def _send_popular(sim):
    # A few of the requests make most of the load.
    number = int(sim.load.popular * sim.rng.random() ** 2)
    fingerprint = f"popular-{number}"
    sim.result.innocent += 1
    if _take(sim, fingerprint):
        sim.refused_since.pop(fingerprint, None)
    else:
        sim.result.innocent_refused += 1
        since = sim.refused_since.setdefault(fingerprint, sim.now)
        sim.result.longest_refused_s = max(
            sim.result.longest_refused_s, sim.now - since
        )
    _at(sim, sim.now + sim.rng.expovariate(sim.load.popular_per_s), _send_popular)


def _kill(sim):
    if sim.servers:
        _end(sim, sim.rng.choice(sorted(sim.servers)))
    _at(sim, sim.now + sim.rng.expovariate(sim.load.kills_per_s), _kill)


def _take(sim, fingerprint):
    """Lets a random instance take a request; returns whether it is not held."""
    instance = sim.rng.randrange(sim.load.instances)
    hold = quarantine.find_hold(sim.records[instance], fingerprint, sim.now)
    if hold is not None and (sim.now < hold.until or not _try(sim, fingerprint)):
        return False
    _run(sim, Run(instance, fingerprint, 1, set()))
    return True


def _try(sim, fingerprint):
    """Returns whether the coordinator of a request grants a trial."""
    names = [str(n) for n in range(sim.load.instances)]
    record = sim.records[int(rendezvous_order(fingerprint, names)[0])]
    return quarantine.take_trial(record, fingerprint, sim.now) == 0.0


def _run(sim, run):
    """Starts a run on the first server of the object that was not tried."""
    order = rendezvous_order(run.fingerprint.rpartition("-")[2], map(str, sim.servers))
    usable = [int(slot) for slot in order if int(slot) not in run.tried]
    if not usable:
        return
    slot = usable[0]
    server = sim.servers[slot]
    run.tried.add(slot)
    server.runs.add(run)
    if not run.fingerprint.startswith("crasher"):
        _at(sim, sim.now + WORK_S, _finish, server, run)
        return
    third = sim.third_ends.get(run.fingerprint)
    if third is not None:
        sim.result.runs_after_third[run.fingerprint] += 1
        if sim.now > third + STABLE_WINDOW_S:
            sim.result.late_runs[run.fingerprint] += 1
    _at(sim, sim.now + CRASH_WORK_S, _crash, slot, server, run)


def _finish(sim, server, run):
    if run not in server.runs:
        return
    server.runs.discard(run)
    record = sim.records[run.instance]
    cleared = crashrecord.record_success(record, run.fingerprint, sim.now)
    if cleared:
        _spread(sim, run.instance, cleared)


def _crash(sim, slot, server, run):
    if run not in server.runs:
        return
    sim.result.ends += 1
    sim.end_counts[run.fingerprint] += 1
    if sim.end_counts[run.fingerprint] == quarantine.HELD_ENDS:
        sim.third_ends[run.fingerprint] = sim.now
    _end(sim, slot)


def _end(sim, slot):
    """Ends a server; the instances lose the runs in progress on it."""
    server = sim.servers.pop(slot)
    runs, server.runs = server.runs, set()
    for run in sorted(runs, key=lambda r: (r.instance, r.fingerprint)):
        _at(sim, sim.now + sim.rng.uniform(*DELAYS_S), _lose, server, run)
    _at(sim, sim.now + RESTART_S, _restart, slot)


def _restart(sim, slot):
    sim.servers[slot] = Server(f"s{slot}-{next(sim.numbers)}")


def _lose(sim, server, run):
    """Lets an instance record an end, and send the request again if it may."""
    record, key = sim.records[run.instance], (server.server_id, 1)
    if crashrecord.record_end(record, key, SERVICE, [run.fingerprint], sim.now):
        _spread(sim, run.instance, [key])
    is_held = quarantine.find_hold(record, run.fingerprint, sim.now) is not None
    if run.attempts < MAX_ATTEMPTS and not is_held:
        run.attempts += 1
        _run(sim, run)


def _spread(sim, instance, keys):
    others = [n for n in range(sim.load.instances) if n != instance]
    for peer in sim.rng.sample(others, min(FANOUT, len(others))):
        if sim.rng.random() >= sim.load.lost_share:
            delay_s = sim.rng.uniform(*DELAYS_S)
            ends = [_copy(sim.records[instance].ends[key]) for key in keys]
            _at(sim, sim.now + delay_s, _hear, peer, ends)


def _copy(end):
    return ServerEnd(
        end.server_id, end.started_ms, end.service, end.at, dict(end.suspects)
    )


def _hear(sim, instance, ends):
    record, changed = sim.records[instance], []
    for end in ends:
        if crashrecord.merge_end(record, end, sim.now):
            changed.append((end.server_id, end.started_ms))
    if changed:
        _spread(sim, instance, changed)


def _pull(sim, instance, turn):
    names = [str(n) for n in range(sim.load.instances) if n != instance]
    order = rendezvous_order(str(instance), names)[:PULLED_PEERS]
    if order and sim.rng.random() >= sim.load.lost_share:
        peer = sim.records[int(order[turn % len(order)])]
        own = sim.records[instance]
        if crashrecord.record_digest(peer) != crashrecord.record_digest(own):
            _hear(sim, instance, [_copy(end) for end in peer.ends.values()])
    _at(sim, sim.now + PULL_INTERVAL_S, _pull, instance, turn + 1)
