"""The state of one entry instance, on which the other modules work."""

import asyncio

from flamingolift_decisions.bookings import BookingTable
from flamingolift_decisions.crashrecord import CrashRecord
from flamingolift_decisions.documents import LatestDocuments
from flamingolift_decisions.membership import Membership, serving_instances
from flamingolift_decisions.shifts import ShiftLimiter
from flamingolift_model.plan import InstanceEntry

from flamingolift_daemon.waits import WaitGroup

__all__ = ["Instance", "notify_change", "refresh_view", "self_entry", "start_task"]

MAX_UPLOADS = 4
"""Peers to which parts of a document are sent at the same time. Others wait, and can
get it meanwhile from those that have received it."""


class Instance:
    """State of one instance, created by the composition root in `wiring`.

    Attributes:
        cfg: Settings.
        clock: Clock.
        metrics: Metrics.
        peer_keys: KeyRing for peers.
        ticket_keys: KeyRing for idempotency keys.
        operator_keys: KeyRing for operators.
        store: StoreClient.
        incarnation: Number of this process start, larger than those of earlier ones.
        upload_slots: asyncio.Semaphore of the uploads of documents to peers.
        view: Membership.
        serving: Map of instance to InstanceEntry, of those that get new requests.
        by_site: Map of site to the list of InstanceEntry in `serving`.
        isolated: Whether this instance sees more than half of the listed ones as dead.
        latest_documents: LatestDocuments of the policy, the plan and the live list.
        policy: CompiledPolicy in force, or None.
        plan: Newest Plan, or None.
        live_list: Newest LiveList, or None.
        shift_limiter: ShiftLimiter with the rows in force.
        bookings: BookingTable.
        booking_futures: Map of idempotency key to the future of its outcome.
        crash_log: CrashRecord of quarantined fingerprints, from all dispatchers.
        pools: Map of (service, region) to SlotPool that this instance
            dispatches.
        held_slots: Map of (service, region) to the set of Slots in use here.
        links: Map of instance to the PeerLink used for messages to it.
        streams: Set of all open PeerLinks; two instances that open streams to each
            other at the same time have two.
        dialing: Map of instance to the future of a stream being opened.
        handlers: Map of message class to the function that handles it.
        budgets: Map of service to RetryBudget.
        announcing: Task of the next announcement of membership changes, or None.
        backends: BackendClients.
        load: Map of (service, origin region) to a LoadMeter.
        samples: Map of instance to (time received, last LoadSample) (s, monotonic).
        backoff_until: Map of an instance, or of (service, region), that refused or
            did not answer to the end of its back-off (s, monotonic).
        tasks: Set of background tasks.
        transfers: Map of document kind to the Transfer that receives it from peers.
        slot_waits: WaitGroup of the requests that wait for a slot.
        booking_waits: WaitGroup of the bookings that wait for an outcome.
        in_flight: Number of callers' requests in flight.
        stopping: Event set at a planned stop.
        refusing: Whether new requests are refused, in the last phase of a drain.
        changed: Event set, and replaced by a new one, when membership or a document
            changes.
    """

    __slots__ = (
        "announcing",
        "backends",
        "backoff_until",
        "booking_futures",
        "booking_waits",
        "bookings",
        "budgets",
        "by_site",
        "cfg",
        "changed",
        "clock",
        "crash_log",
        "dialing",
        "handlers",
        "held_slots",
        "in_flight",
        "incarnation",
        "isolated",
        "latest_documents",
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
        "shift_limiter",
        "slot_waits",
        "stopping",
        "store",
        "streams",
        "tasks",
        "ticket_keys",
        "transfers",
        "upload_slots",
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
        self.latest_documents = LatestDocuments()
        self.policy = None
        self.plan = None
        self.live_list = None
        self.shift_limiter = ShiftLimiter()
        self.bookings = BookingTable(
            cfg.booking_table_size, cfg.booking_table_bytes, cfg.key_lifetime_s
        )
        self.booking_futures = {}
        self.crash_log = CrashRecord(cfg.quarantine_s)
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
        self.backoff_until = {}
        self.tasks = set()
        self.transfers = {}
        self.upload_slots = asyncio.Semaphore(MAX_UPLOADS)
        self.slot_waits = WaitGroup()
        self.booking_waits = WaitGroup()
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
    """Recomputes which instances serve, after a change of membership or policy."""
    serving, instance.isolated = serving_instances(instance.view)
    if instance.policy is not None:
        drained = {n for kind, n in instance.policy.drains if kind == "instance"}
        serving = {n: e for n, e in serving.items() if n not in drained}
    instance.serving = serving
    instance.by_site = {}
    for entry in serving.values():
        site = entry.site or entry.failure_domain
        instance.by_site.setdefault(site, []).append(entry)
    notify_change(instance)


def notify_change(instance):
    """Wakes the tasks that wait for a change of membership or documents."""
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
