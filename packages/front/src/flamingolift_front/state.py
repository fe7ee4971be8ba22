"""State of a front: its view of the fleet and the store interface."""

import asyncio
import collections
import math
import random
import time

from flamingolift_decisions.affinity import AffinityCache
from flamingolift_decisions.backends import BackendView
from flamingolift_decisions.bytebudget import ByteBudget, budget_for
from flamingolift_decisions.freshness import Freshness
from flamingolift_decisions.instancecount import InstanceCount
from flamingolift_decisions.recenttimes import RecentTimes
from flamingolift_decisions.regioncost import RegionCosts
from flamingolift_decisions.serverpaths import ServerPaths
from flamingolift_decisions.windowbudget import WindowBudget

from flamingolift_front.crashwatch import Crashes
from flamingolift_front.helperlist import Helpers
from flamingolift_front.serverpool import ServerPool

__all__ = [
    "EncodedUpdate",
    "Front",
    "Lease",
    "PackedDocument",
    "StorePort",
    "View",
    "ViewChange",
    "live_instances",
    "note_streamed",
    "notify_change",
    "response_times_for",
    "retry_budget_for",
]

MAX_TIMED_ROUTES = 1024
"""Routes whose response times are kept; beyond that all of them are discarded."""
MAX_CONTROL_BYTES = 8 << 20
"""Bytes that unanswered requests on the control ports may hold together: 32 reports of
the largest size of peers at once."""


class ViewChange:
    """One document that was written to or removed from the store.

    Attributes:
        key: Key of the document.
        document: RoutingPolicy, Evacuation, BackendEntry or InstanceEntry; None
            when the key was removed or its value cannot be used.
        revision: Position of the store at the change, over all eras.
    """

    __slots__ = ("document", "key", "revision")

    def __init__(self, key, document, revision):
        self.key = key
        self.document = document
        self.revision = revision


class PackedDocument:
    """Encoded form of a document, as it is sent to peers.

    Attributes:
        document: The document that was encoded.
        compressed: Whether `body` is compressed.
        body: Encoded form (bytes).
    """

    __slots__ = ("body", "compressed", "document")

    def __init__(self, document, compressed, body):
        self.document = document
        self.compressed = compressed
        self.body = body


class EncodedUpdate:
    """Encoded changes of a view since a revision, for the peers at that revision.

    Attributes:
        after: Revision since which the changes are.
        update: PackedUpdate.
    """

    __slots__ = ("after", "update")

    def __init__(self, after, update):
        self.after = after
        self.update = update


class Lease:
    """Lease of an instance's entry.

    Attributes:
        lease_id: Id that the store gave it.
        era: Era of the store in which it was granted; a later era may give the id to
            another instance.
    """

    __slots__ = ("era", "lease_id")

    def __init__(self, lease_id, era):
        self.lease_id = lease_id
        self.era = era


class StorePort:
    """Functions through which a front uses the platform's store.

    All but `abort_watch` are coroutine functions and raise `FaultError` with
    STORE_UNAVAILABLE when the store does not answer.

    Attributes:
        read_all: Function of whether a stale read is acceptable; returns a tuple of a
            list of ViewChange and the position.
        watch: Function of a position and a time to wait (s); returns a tuple of a list
            of ViewChange and the position, or None when the store no longer has the
            changes since that position.
        read_position: Function of a timeout (s); returns the position of the store.
        is_receiving: Function that returns whether the answer to the watch in progress
            has begun to arrive.
        register: Function of an InstanceEntry and a time to live (s); returns the id of
            a lease.
        renew: Function of a lease's id; returns False when the lease has expired.
        resign: Function of a lease's id; revokes it, which removes the entry.
        abort_watch: Plain function without arguments; makes a waiting watch fail.
    """

    __slots__ = (
        "abort_watch",
        "is_receiving",
        "read_all",
        "read_position",
        "register",
        "renew",
        "resign",
        "watch",
    )

    def __init__(
        self,
        read_all,
        watch,
        read_position,
        is_receiving,
        register,
        renew,
        resign,
        abort_watch,
    ):
        self.read_all = read_all
        self.watch = watch
        self.read_position = read_position
        self.is_receiving = is_receiving
        self.register = register
        self.renew = renew
        self.resign = resign
        self.abort_watch = abort_watch


class View:
    """An instance's replica of the store's documents, and what is derived from it.

    Attributes:
        table: RouteTable in force; None before the first policy.
        backends: BackendView.
        instances: Map of instance id to InstanceEntry.
        instance_count: InstanceCount of the live instances.
        documents: Map of store key to the document read from it.
        packed: Map of store key to the PackedDocument of its document, for the
            documents that peers have asked for.
        encoded: EncodedUpdate that peers asked for last; None after a change.
        revision: Position of the store up to which changes were applied
            (`storeposition`); None before the first read and after a lost history.
        freshness: Freshness, which says how old the view may be at most.
        behind: Event that is set while the store is known to have had more.
        doubted: Event that is set while another instance claims to have more.
        follows: Whether the view comes from relays at present.
        proof_task: Task that renews the proof of the view, or None.
        unproven_at: Time of the last attempt at that which failed (s, `view_time`).
        era: Latest era of the store that an answer named.
        era_changed: Event that is set and replaced when the era changes.
        applied_era: Era of the last changes that were applied.
        gone: Map of store key to (time of its removal (s, monotonic), document), for
            the last removals.
        store_failed_at: Time of the first failed call since the last success (s,
            monotonic), or None while the store is available.
        store_recovered_at: Time of the first success after failures (s, monotonic).
        recent_changes: Deque of the last ViewChange objects, oldest first.
        recent_after: Revision after which `recent_changes` is complete; None before
            the first read.
        changed: Event that is set and replaced at each change, and when the store
            becomes unavailable.
        pending_removals: Map of store key to the time at which its removal takes
            effect unless the key returns (s, monotonic).
    """

    __slots__ = (
        "applied_era",
        "backends",
        "behind",
        "changed",
        "documents",
        "doubted",
        "encoded",
        "era",
        "era_changed",
        "follows",
        "freshness",
        "gone",
        "instance_count",
        "instances",
        "packed",
        "pending_removals",
        "proof_task",
        "recent_after",
        "recent_changes",
        "revision",
        "store_failed_at",
        "store_recovered_at",
        "table",
        "unproven_at",
    )

    def __init__(self):
        self.table = None
        self.backends = BackendView()
        self.instances = {}
        self.instance_count = InstanceCount()
        self.documents = {}
        self.packed = {}
        self.encoded = None
        self.revision = None
        self.freshness = Freshness()
        self.behind = asyncio.Event()
        self.doubted = asyncio.Event()
        self.follows = False
        self.proof_task = None
        self.unproven_at = -math.inf
        self.era = 0
        self.era_changed = asyncio.Event()
        self.applied_era = 0
        self.gone = {}
        self.store_failed_at = None
        self.store_recovered_at = float("-inf")
        self.recent_changes = collections.deque()
        self.recent_after = None
        self.changed = asyncio.Event()
        self.pending_removals = {}


class Front:
    """Central state of a front; the first argument of its functions.

    Attributes:
        cfg: FrontSettings.
        header_names: HeaderNames.
        store: StorePort.
        view: View.
        log: EventLog.
        metrics: FrontMetrics.
        pool: ServerPool.
        affinity_cache: AffinityCache.
        region_costs: RegionCosts.
        response_times: Map of route name to the RecentTimes of its answers.
        streamed_routes: Set of the names of routes with answers that were streamed.
        paths: ServerPaths of all signs of a path to a server.
        connects: ServerPaths of connects alone.
        helpers: Helpers.
        helper_pool: ServerPool of the connections to instances that take requests.
        taken: Number of requests of other instances that are in progress.
        retry_budgets: Map of service name to WindowBudget.
        crashes: Crashes.
        connections: Set of the callers' CallerConnection that are open.
        links: Map of (host, port) to the PeerLink to a relay.
        grant_links: Map of (host, port) to a list of idle PeerLink to a grantor.
        proof_link: PeerLink to the instance that is asked to prove the view; None
            while there is none.
        failed_grantors: Map of instance id to the time until which it is not asked for
            grants (s, monotonic).
        byte_budget: ByteBudget of what its buffers hold.
        control_budget: ByteBudget of the requests on its control ports.
        rng: Random number generator for jitter.
        stopping: Whether the stop signal has arrived.
        draining: Whether the listeners are closed and requests in progress end.
        exit_at: Time at which the process ends in a planned stop (s, monotonic);
            infinite before the stop signal.
        incarnation: Start of the process (ms since the epoch).
        started_at: Start of the process (s, monotonic).
        tasks: Set of background tasks.
    """

    __slots__ = (
        "affinity_cache",
        "byte_budget",
        "cfg",
        "connections",
        "connects",
        "control_budget",
        "crashes",
        "draining",
        "exit_at",
        "failed_grantors",
        "grant_links",
        "header_names",
        "helper_pool",
        "helpers",
        "incarnation",
        "links",
        "log",
        "metrics",
        "paths",
        "pool",
        "proof_link",
        "region_costs",
        "response_times",
        "retry_budgets",
        "rng",
        "started_at",
        "stopping",
        "store",
        "streamed_routes",
        "taken",
        "tasks",
        "view",
    )

    def __init__(self, cfg, header_names, store, log, metrics):
        self.cfg = cfg
        self.header_names = header_names
        self.store = store
        self.log = log
        self.metrics = metrics
        self.view = View()
        self.pool = ServerPool()
        self.paths = ServerPaths()
        self.connects = ServerPaths()
        self.helpers = Helpers()
        self.helper_pool = ServerPool()
        self.taken = 0
        self.affinity_cache = AffinityCache()
        self.region_costs = RegionCosts()
        self.response_times = {}
        self.streamed_routes = set()
        self.retry_budgets = {}
        self.crashes = Crashes()
        self.connections = set()
        self.links = {}
        self.grant_links = {}
        self.proof_link = None
        self.failed_grantors = {}
        self.byte_budget = budget_for(cfg.memory_limit_mb)
        self.control_budget = ByteBudget(MAX_CONTROL_BYTES)
        self.rng = random.Random()
        self.stopping = False
        self.draining = False
        self.exit_at = math.inf
        self.started_at = time.monotonic()
        self.incarnation = int(time.time() * 1000)
        self.tasks = set()


def retry_budget_for(front, service):
    """Returns the retry budget (WindowBudget) of a service."""
    budget = front.retry_budgets.get(service)
    if budget is None:
        cfg = front.cfg
        budget = WindowBudget(
            cfg.retry_ratio, cfg.retry_window_s, cfg.retry_extra, front.started_at
        )
        front.retry_budgets[service] = budget
    return budget


def response_times_for(front, route_name):
    """Returns the RecentTimes of a route's answers."""
    times = front.response_times.get(route_name)
    if times is None:
        if len(front.response_times) >= MAX_TIMED_ROUTES:
            front.response_times.clear()
        times = front.response_times[route_name] = RecentTimes()
    return times


def note_streamed(front, route_name):
    """Records that an answer of a route is streamed.

    Args:
        front: Front.
        route_name: Name of the route.
    """
    if len(front.streamed_routes) >= MAX_TIMED_ROUTES:
        front.streamed_routes.clear()
    front.streamed_routes.add(route_name)


def live_instances(view):
    """Returns the InstanceEntry objects that are not leaving, by region."""
    by_region = collections.defaultdict(list)
    for entry in view.instances.values():
        if entry.state == "live":
            by_region[entry.region].append(entry)
    return by_region


def notify_change(view):
    """Wakes the tasks that wait for a change of the view."""
    view.changed.set()
    view.changed = asyncio.Event()
