"""The state of one entry instance, on which the other modules work."""

import asyncio

from flamingolift_decisions.bookings import BookingTable
from flamingolift_decisions.documents import LatestDocuments
from flamingolift_decisions.membership import Membership, serving_instances
from flamingolift_decisions.quarantine import CrashLog
from flamingolift_decisions.shifts import ShiftLimiter
from flamingolift_model.plan import InstanceEntry

__all__ = ["Instance", "pulse", "refresh_view", "self_entry", "start_task"]


class Instance:
    """State of one instance; the composition root in `wiring` makes it.

    Attributes:
        cfg: Settings.
        clock: Clock.
        metrics: Metrics.
        peer_keys: KeyRing for peers.
        ticket_keys: KeyRing for idempotency keys.
        operator_keys: KeyRing for operators.
        store: StoreClient.
        incarnation: Number of this process start, larger than earlier ones.
        view: Membership.
        serving: Map of instance to InstanceEntry that get new requests.
        by_site: Map of site to the list of InstanceEntry in `serving`.
        isolated: Whether most of the fleet looks dead from here.
        shelf: LatestDocuments of the policy, the plan and the live list.
        policy: CompiledPolicy in force, or None.
        plan: Newest Plan, or None.
        live_list: Newest LiveList, or None.
        guard: ShiftLimiter with the rows in force.
        bookings: BookingTable.
        booking_waits: Map of idempotency key to the future of its outcome.
        crash_log: CrashLog of quarantined fingerprints, from all dispatchers.
        pools: Map of (service, region) to SlotPool that this instance
            dispatches.
        held_slots: Map of (service, region) to a set of Slots in use here.
        links: Map of instance to the PeerLink that messages to it take.
        streams: Set of all open PeerLinks; two instances that dial each other at
            the same moment have two.
        dialing: Map of instance to the future of a stream being opened.
        handlers: Map of message class to the function that handles it.
        budgets: Map of service to RetryBudget.
        announcing: Task of the next announcement of changes, or None.
        backends: BackendClients.
        load: Map of (service, origin region) to a LoadMeter.
        samples: Map of instance to its last (time, LoadSample).
        unreachable: Map of instance to the end of its avoidance (s, monotonic).
        tasks: Set of background tasks.
        in_flight: Number of callers' requests in flight.
        stopping: Event set at a planned stop.
        refusing: Whether new requests are refused because the stop is near.
        changed: Event pulsed when membership, policy or plan change.
    """

    __slots__ = (
        "announcing",
        "backends",
        "booking_waits",
        "bookings",
        "budgets",
        "by_site",
        "cfg",
        "changed",
        "clock",
        "crash_log",
        "dialing",
        "guard",
        "handlers",
        "held_slots",
        "in_flight",
        "incarnation",
        "isolated",
        "links",
        "live_list",
        "load",
        "metrics",
        "operator_keys",
        "peer_keys",
        "plan",
        "policy",
        "pools",
        "refusing",
        "samples",
        "serving",
        "shelf",
        "stopping",
        "store",
        "streams",
        "tasks",
        "ticket_keys",
        "unreachable",
        "view",
    )

    def __init__(
        self,
        cfg,
        clock,
        metrics,
        peer_keys,
        ticket_keys,
        operator_keys,
        store,
        backends,
    ):
        now = clock.now()
        self.cfg = cfg
        self.clock = clock
        self.metrics = metrics
        self.peer_keys = peer_keys
        self.ticket_keys = ticket_keys
        self.operator_keys = operator_keys
        self.store = store
        self.backends = backends
        self.incarnation = int(clock.wall() * 1_000_000)
        self.view = Membership(cfg.instance_id, self.incarnation, now)
        self.serving = {}
        self.by_site = {}
        self.isolated = False
        self.shelf = LatestDocuments()
        self.policy = None
        self.plan = None
        self.live_list = None
        self.guard = ShiftLimiter()
        self.bookings = BookingTable(
            cfg.booking_table_size, cfg.booking_table_bytes, cfg.key_lifetime_s
        )
        self.booking_waits = {}
        self.crash_log = CrashLog(cfg.quarantine_s)
        self.pools = {}
        self.held_slots = {}
        self.links = {}
        self.streams = set()
        self.announcing = None
        self.dialing = {}
        self.handlers = {}
        self.budgets = {}
        self.load = {}
        self.samples = {}
        self.unreachable = {}
        self.tasks = set()
        self.in_flight = 0
        self.stopping = asyncio.Event()
        self.refusing = False
        self.changed = asyncio.Event()


def self_entry(instance):
    """Returns the instance's own InstanceEntry, from its settings."""
    cfg = instance.cfg
    return InstanceEntry(
        instance_id=cfg.instance_id,
        region=cfg.region,
        failure_domain=cfg.failure_domain,
        site=cfg.site or cfg.failure_domain,
        host=cfg.host,
        caller_port=cfg.caller_port,
        peer_port=cfg.peer_port,
        operator_port=cfg.operator_port,
    )


def refresh_view(instance):
    """Recomputes which instances serve, after any change of membership."""
    serving, instance.isolated = serving_instances(instance.view)
    if instance.policy is not None:
        drained = {n for kind, n in instance.policy.drains if kind == "instance"}
        serving = {n: e for n, e in serving.items() if n not in drained}
    instance.serving = serving
    instance.by_site = {}
    for entry in serving.values():
        site = entry.site or entry.failure_domain
        instance.by_site.setdefault(site, []).append(entry)
    pulse(instance)


def pulse(instance):
    """Wakes the tasks that wait for a change."""
    instance.changed.set()
    instance.changed = asyncio.Event()


def start_task(instance, coro):
    """Runs a coroutine in the background until the instance stops.

    Args:
        instance: Instance.
        coro: Coroutine.

    Returns:
        The asyncio.Task, kept alive by the instance.
    """
    task = asyncio.get_running_loop().create_task(coro)
    instance.tasks.add(task)
    task.add_done_callback(instance.tasks.discard)
    return task
