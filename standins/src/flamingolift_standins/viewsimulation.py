"""Discrete-event simulation of how a change reaches instances whose sources are silent.

The instances pick relays and judge their proofs with the product's own functions; the
store, the links and the timing of their calls are simulated. Changes are small unless
`SpreadLoad.routes` says otherwise; processor time is not simulated.
"""

import collections
import heapq
import itertools
import random

from flamingolift_decisions import freshness
from flamingolift_decisions.relays import proof_source, relays_of_region
from flamingolift_model.plan import InstanceEntry

__all__ = ["SILENT_STORE", "SILENT_WATCH", "SpreadLoad", "SpreadResult", "spread"]

REGIONS = 3
APPLY_S = 2.5
SILENT_STORE, SILENT_WATCH = "store", "watch"
NEAR_S, FAR_S = 0.002, 0.03
"""Round trips within a region, also to the store, and between regions (s)."""
ROUTE_BYTES, STORED_ROUTE_BYTES = 17, 200
"""Size of a route in an update between instances, and as the store sends it (bytes)."""
SILENT_FROM_S, END_S = 20.0, 30.0
RENEW_INTERVAL_S, CALL_TIMEOUT_S, GRACE_S = 1.5, 1.5, 0.6
"""Lease renewals, timeout of a call, and time for which a relay without the store keeps
its followers, as in the front (s)."""
FORMER_HEARTBEAT_S = 0.5


class SpreadLoad:
    """What is simulated.

    Attributes:
        instances: Number of instances.
        silent: Number of the relays of the first region whose sources fall silent.
        kind: `SILENT_STORE` when the store no longer answers them, `SILENT_WATCH` when
            only their watches are silent.
        routes: Number of routes of the change.
        link_mbps: Bandwidth of each instance's link (Mbit/s).
        proofs: Whether followers ask for proofs; otherwise an answer counts as one.
    """

    __slots__ = ("instances", "kind", "link_mbps", "proofs", "routes", "silent")

    def __init__(self, instances, silent, kind, routes, link_mbps, proofs=True):
        self.instances = instances
        self.silent = silent
        self.kind = kind
        self.routes = routes
        self.link_mbps = link_mbps
        self.proofs = proofs


class SpreadResult:
    """Times and calls of one run.

    Attributes:
        times: Sorted list of the times from the acknowledgement until the change was in
            force (s), for the instances that the store answers.
        checks: Reads of the store's revision a second, before the silence.
    """

    __slots__ = ("checks", "times")

    def __init__(self, times, checks):
        self.times = times
        self.checks = checks


class _Instance:
    """One instance.

    Attributes:
        entry: InstanceEntry.
        fresh: Freshness.
        silent_store: Whether the store does not answer it.
        silent_watch: Whether its watch delivers nothing.
        renewing: Whether its proof is being renewed.
        changed_at: Time at which the change was in force (s), or None.
    """

    __slots__ = (
        "changed_at",
        "entry",
        "fresh",
        "renewing",
        "silent_store",
        "silent_watch",
    )

    def __init__(self, entry):
        self.entry = entry
        self.fresh = freshness.Freshness()
        self.silent_store = self.silent_watch = self.renewing = False
        self.changed_at = None


class _Simulation:
    """State of a run.

    Attributes:
        load: SpreadLoad.
        rng: Random generator.
        now: Simulated time (s).
        events: Heap of (time (s), number, generator).
        numbers: Counter that keeps events of the same time in order.
        instances: Map of name to _Instance.
        revision: Revision of the store: 0, then 1 after the change.
        calls: Map of second to the number of reads of the store's revision.
    """

    __slots__ = (
        "calls",
        "events",
        "instances",
        "load",
        "now",
        "numbers",
        "revision",
        "rng",
    )

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.instances = {}
        self.revision = 0
        self.calls = collections.Counter()


def spread(load, seed):
    """Simulates one change while sources are silent.

    Args:
        load: SpreadLoad.
        seed: Seed of the random generator.

    Returns:
        SpreadResult.
    """
    sim = _Simulation(load, seed)
    entries = [_make_entry(number, load) for number in range(load.instances)]
    sim.instances = {e.instance_id: _Instance(e) for e in entries}
    relays = {r: relays_of_region(entries, r) for r in {e.region for e in entries}}
    written_at = SILENT_FROM_S + sim.rng.uniform(0.0, 1.5)
    _start(sim, _fall_silent(sim, relays["r0"]))
    _start(sim, _write(sim, written_at))
    for inst in sim.instances.values():
        freshness.record_position(inst.fresh, 0, 0.0, 0.0)
        freshness.advance(inst.fresh, 0, 0.0)
        sources = relays[inst.entry.region]
        if inst.entry in sources or not sources:
            _start(sim, _watch(sim, inst, written_at))
            if load.proofs:
                _start(sim, _keep_proven(sim, inst))
        else:
            _start(sim, _follow(sim, inst, sources))
    while sim.events:
        sim.now, _number, process = heapq.heappop(sim.events)
        if sim.now < END_S:
            for pause_s in process:
                _start(sim, process, pause_s)
                break
    reached = [i for i in sim.instances.values() if not i.silent_store]
    times = sorted((i.changed_at or END_S) - written_at for i in reached)
    checks = [sim.calls[second] for second in range(5, int(SILENT_FROM_S))]
    return SpreadResult(times, sum(checks) / len(checks))


def _make_entry(number, load):
    region = f"r{number % REGIONS}"
    return InstanceEntry(
        instance_id=f"i{number}",
        region=region,
        failure_domain=f"{region}-d{number // REGIONS % 2}",
        host="127.0.0.1",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        link_mbps=load.link_mbps,
    )


def _start(sim, process, pause_s=0.0):
    heapq.heappush(sim.events, (sim.now + pause_s, next(sim.numbers), process))


def _fall_silent(sim, relays):
    yield SILENT_FROM_S
    for entry in sim.rng.sample(relays, min(len(relays), sim.load.silent)):
        inst = sim.instances[entry.instance_id]
        inst.silent_watch = True
        inst.silent_store = sim.load.kind == SILENT_STORE


def _write(sim, written_at):
    yield written_at
    sim.revision = 1


def _apply(sim, inst):
    if inst.changed_at is None and sim.revision:
        inst.changed_at = sim.now
        freshness.advance(inst.fresh, 1, sim.now)


def _transfer_s(sim, size, share=1):
    return size * 8 * share / (sim.load.link_mbps * 1e6)


def _watch(sim, inst, written_at):
    """Delivers the change by the instance's own watch."""
    yield written_at + NEAR_S / 2
    if not inst.silent_watch:
        yield _transfer_s(sim, STORED_ROUTE_BYTES * sim.load.routes)
        _apply(sim, inst)


def _read_store(sim, inst):
    """Reads the change from the store over a new connection."""
    yield 2 * NEAR_S
    if not inst.silent_store:
        yield _transfer_s(sim, STORED_ROUTE_BYTES * sim.load.routes)
        _apply(sim, inst)


def _keep_proven(sim, inst):
    """Renews proofs; a watch that delivers nothing of a known change begins anew."""
    margin_s = freshness.catch_up_time(APPLY_S)
    yield sim.rng.uniform(0.0, 1.0)
    while True:
        age_s = freshness.proof_age(inst.fresh, sim.now)
        yield max(margin_s, freshness.renewal_age(APPLY_S) - age_s)
        yield from _renew(sim, inst)
        if freshness.is_behind(inst.fresh):
            yield margin_s
            if freshness.is_behind(inst.fresh):
                yield from _read_store(sim, inst)


def _renew(sim, inst):
    """Renews the proof of one instance, or waits for the renewal in progress."""
    if freshness.proof_age(inst.fresh, sim.now) <= freshness.renewal_age(APPLY_S):
        return
    if inst.renewing:
        while inst.renewing:
            yield NEAR_S
        return
    inst.renewing = True
    yield from _ask_for_proof(sim, inst)
    inst.renewing = False


def _ask_for_proof(sim, inst):
    """Asks the source of an instance's proofs, then the store."""
    max_age_s = freshness.renewal_age(APPLY_S)
    entries = [other.entry for other in sim.instances.values()]
    region, name = inst.entry.region, inst.entry.instance_id
    source = proof_source(entries, region, name)
    if source is not None:
        other = sim.instances[source.instance_id]
        yield NEAR_S if source.region == region else FAR_S
        yield from _renew(sim, other)
        if freshness.proof_age(other.fresh, sim.now) <= max_age_s:
            _take_proof(sim, inst, other)
            return
    if inst.silent_store:
        yield 2 * freshness.check_timeout(APPLY_S)
        return
    sim.calls[int(sim.now)] += 1
    sent_at, revision = sim.now, sim.revision
    yield NEAR_S
    freshness.record_position(inst.fresh, revision, sent_at, sim.now)


def _take_proof(sim, inst, other):
    fresh = other.fresh
    freshness.record_proof(inst.fresh, fresh.position, fresh.proven_at, sim.now)


def _follow(sim, inst, sources):
    """Follows relays by heartbeats; leaves them for the store."""
    relays = [sim.instances[entry.instance_id] for entry in sources]
    sim.rng.shuffle(relays)
    share = max(1, len(sim.instances) // REGIONS // len(relays))
    wait_s = freshness.heartbeat_wait(APPLY_S)
    renewals = [sim.rng.uniform(0.0, RENEW_INTERVAL_S) for _ in relays]
    while inst.changed_at is None:
        yield sim.rng.uniform(0.9, 1.1) * NEAR_S
        delivering = [r for r in relays if r.changed_at is not None]
        if delivering:
            yield _transfer_s(sim, ROUTE_BYTES * sim.load.routes, share)
            _apply(sim, inst)
        elif sim.load.proofs:
            yield from _heartbeat(sim, inst, relays, wait_s)
        elif _all_lost(sim, relays, renewals):
            yield from _read_store(sim, inst)
            return
        else:
            yield FORMER_HEARTBEAT_S / 10


def _heartbeat(sim, inst, relays, wait_s):
    """Asks the relays in turn for a proof; reads the store when the own one expires."""
    for _pause in range(10):
        # The long polls report a change at once.
        yield wait_s / 10
        if any(r.changed_at is not None for r in relays):
            return
    for relay in relays:
        left_s = freshness.expiry_age(APPLY_S) - freshness.proof_age(
            inst.fresh, sim.now
        )
        _start(sim, _renew(sim, relay))
        yield NEAR_S
        until = sim.now + max(0.0, left_s)
        while relay.renewing and sim.now < until:
            yield NEAR_S
        if freshness.proof_age(relay.fresh, sim.now) <= freshness.renewal_age(APPLY_S):
            _take_proof(sim, inst, relay)
            return
    left_s = freshness.expiry_age(APPLY_S) - freshness.proof_age(inst.fresh, sim.now)
    yield max(0.0, left_s)
    yield from _read_store(sim, inst)


def _all_lost(sim, relays, renewals):
    """Returns whether all relays have noticed that the store does not answer them."""
    noticed = []
    for relay, offset_s in zip(relays, renewals, strict=True):
        if not relay.silent_store:
            return False
        since_s = (SILENT_FROM_S - offset_s) % RENEW_INTERVAL_S
        first_s = SILENT_FROM_S + RENEW_INTERVAL_S - since_s
        noticed.append(first_s + CALL_TIMEOUT_S + GRACE_S)
    return sim.now >= max(noticed)
