"""State of one front."""

import asyncio
import collections
import random
import time

from flamingolift_decisions.affinity import AffinityCache
from flamingolift_decisions.attempttimeout import AnswerTimes
from flamingolift_decisions.backends import BackendView
from flamingolift_decisions.windowbudget import WindowBudget

from flamingolift_front.serverpool import ServerPool

__all__ = [
    "Front",
    "StorePort",
    "View",
    "ViewChange",
    "answer_times_for",
    "budget_for",
    "live_instances",
]

MAX_TIMED_ROUTES = 1024
"""Routes whose answer times are kept; beyond that all are learned anew."""


class ViewChange:
    """One document that was written to or removed from the store.

    Attributes:
        key: Key of the document.
        document: RoutingPolicy, Evacuation, BackendEntry or InstanceEntry; None
            when the key was removed or its value cannot be used.
        revision: Revision of the store at the change.
    """

    __slots__ = ("document", "key", "revision")

    def __init__(self, key, document, revision):
        self.key = key
        self.document = document
        self.revision = revision


class StorePort:
    """Functions by which a front uses the platform's store.

    All are coroutine functions and raise `FaultError` with STORE_UNAVAILABLE
    when the store does not answer.

    Attributes:
        read_all: Of whether an older state will do; returns a tuple of a list of
            ViewChange and the revision.
        watch: Of a revision and a time to wait (s); returns a tuple of a list of
            ViewChange and the revision, or None when that history is gone.
        register: Of an InstanceEntry and a time to live (s); returns a lease.
        renew: Of a lease; returns False when it has ended.
        resign: Of a lease; ends it and removes the entry.
        abort_watch: Without arguments and no coroutine; makes a waiting watch fail.
    """

    __slots__ = ("abort_watch", "read_all", "register", "renew", "resign", "watch")

    def __init__(self, read_all, watch, register, renew, resign, abort_watch):
        self.read_all = read_all
        self.watch = watch
        self.register = register
        self.renew = renew
        self.resign = resign
        self.abort_watch = abort_watch


class View:
    """What an instance believes of the fleet.

    Attributes:
        table: RouteTable in force; None before the first policy.
        backends: BackendView.
        instances: Map of instance id to InstanceEntry.
        keys: Map of store key to the document taken from it.
        revision: Revision of the store up to which changes were taken; None
            before the first read.
        lost_at: Time of the first failed call since the last success (s,
            monotonic), or None while the store answers.
        regained_at: Time of the first success after failures (s, monotonic).
        recent: Deque of the last ViewChange objects, oldest first.
        recent_from: Revision after which `recent` is complete; None before the
            first read.
        changed: Event that is replaced at each change, and when the store is lost.
        held: Map of store key to the time at which its removal takes effect
            unless the key returns (s, monotonic).
    """

    __slots__ = (
        "backends",
        "changed",
        "held",
        "instances",
        "keys",
        "lost_at",
        "recent",
        "recent_from",
        "regained_at",
        "revision",
        "table",
    )

    def __init__(self):
        self.table = None
        self.backends = BackendView()
        self.instances = {}
        self.keys = {}
        self.revision = None
        self.lost_at = None
        self.regained_at = float("-inf")
        self.recent = collections.deque()
        self.recent_from = None
        self.changed = asyncio.Event()
        self.held = {}


class Front:
    """Central state of a front; every part takes it first.

    Attributes:
        cfg: FrontSettings.
        names: HeaderNames.
        store: StorePort.
        view: View.
        log: EventLog.
        metrics: FrontMetrics.
        pool: ServerPool.
        orders: AffinityCache.
        answer_times: Map of route name to AnswerTimes.
        budgets: Map of service name to WindowBudget.
        connections: Set of the callers' CallerConnection that are open.
        links: Map of (host, port) to the PeerLink to a relay.
        rng: Random number generator for jitter.
        stopping: Whether the stop signal has arrived.
        incarnation: Start of the process (ms since the epoch).
        started_at: Start of the process (s, monotonic).
        tasks: Set of background tasks.
    """

    __slots__ = (
        "answer_times",
        "budgets",
        "cfg",
        "connections",
        "incarnation",
        "links",
        "log",
        "metrics",
        "names",
        "orders",
        "pool",
        "rng",
        "started_at",
        "stopping",
        "store",
        "tasks",
        "view",
    )

    def __init__(self, cfg, names, store, log, metrics):
        self.cfg = cfg
        self.names = names
        self.store = store
        self.log = log
        self.metrics = metrics
        self.view = View()
        self.pool = ServerPool()
        self.orders = AffinityCache()
        self.answer_times = {}
        self.budgets = {}
        self.connections = set()
        self.links = {}
        self.rng = random.Random()
        self.stopping = False
        self.started_at = time.monotonic()
        self.incarnation = int(time.time() * 1000)
        self.tasks = set()


def budget_for(front, service):
    """Returns the WindowBudget of a service."""
    budget = front.budgets.get(service)
    if budget is None:
        cfg = front.cfg
        budget = WindowBudget(
            cfg.retry_ratio, cfg.retry_window_s, cfg.retry_extra, front.started_at
        )
        front.budgets[service] = budget
    return budget


def answer_times_for(front, route_name):
    """Returns the AnswerTimes of a route."""
    times = front.answer_times.get(route_name)
    if times is None:
        if len(front.answer_times) >= MAX_TIMED_ROUTES:
            front.answer_times.clear()
        times = front.answer_times[route_name] = AnswerTimes()
    return times


def live_instances(view):
    """Returns the InstanceEntry objects that are not leaving, by region."""
    by_region = collections.defaultdict(list)
    for entry in view.instances.values():
        if entry.state == "live":
            by_region[entry.region].append(entry)
    return by_region
