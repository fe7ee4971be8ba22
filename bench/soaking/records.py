"""What callers, servers and the operator record during a run of the soak."""

import time

__all__ = [
    "Boot",
    "Call",
    "Change",
    "Instance",
    "Run",
    "expected_body",
    "note",
    "was_disturbed",
]

STABLE_WINDOW_S = 3.0
"""Time after a disruption from which promises with a bound hold again (s)."""


class Call:
    """A request as its caller saw it.

    Attributes:
        rid: Request id.
        kind: "read", "book", "map", "late" or "move".
        boot: Boot of the instance that it was sent to.
        target: Request target.
        body: Body (bytes).
        sent_at: Time at which its last byte was written (s, monotonic).
        ended_at: Time of its end (s, monotonic).
        end: "answer", "fin", "reset", "left" (the caller closed), "overdue" (no
            answer before the caller's time limit), "garbled" (bytes that are no
            answer) or "short" (the answer ended early).
        status: Status, 0 without an answer.
        fields: Map of lower-case name to value of the answer's header.
        answer: Body of the answer (bytes).
        close_seen_at: Time at which an earlier answer announced the close (s,
            monotonic), or None.
    """

    __slots__ = (
        "answer",
        "body",
        "boot",
        "close_seen_at",
        "end",
        "ended_at",
        "fields",
        "kind",
        "rid",
        "sent_at",
        "status",
        "target",
    )

    def __init__(self, rid, kind, boot, target, body):
        self.rid = rid
        self.kind = kind
        self.boot = boot
        self.target = target
        self.body = body
        self.sent_at = None
        self.ended_at = None
        self.end = ""
        self.status = 0
        self.fields = {}
        self.answer = b""
        self.close_seen_at = None


class Boot:
    """One process of an instance, from its start to its end.

    Attributes:
        front: FrontProcess.
        started_at: Time of its start (s, monotonic).
        ready: Whether it has been ready.
        stop_at: Time of SIGTERM (s, monotonic), or None.
        killed_at: Time of SIGKILL (s, monotonic), or None.
        frozen: List of (from, until) of its freezes (s, monotonic).
        exited_at: Time at which its end was noticed (s, monotonic), or None.
        log: Path of its log.
        task: Task that waits for its end.
    """

    __slots__ = (
        "exited_at",
        "front",
        "frozen",
        "killed_at",
        "log",
        "ready",
        "started_at",
        "stop_at",
        "task",
    )

    def __init__(self, front):
        self.front = front
        self.started_at = time.monotonic()
        self.ready = False
        self.stop_at = None
        self.killed_at = None
        self.frozen = []
        self.exited_at = None
        self.log = front.log_path
        self.task = None


class Instance:
    """An instance over its restarts.

    Attributes:
        name: Instance name.
        boots: List of Boot, the current one last.
        is_changing: Whether an event stops, kills or freezes it.
    """

    __slots__ = ("boots", "is_changing", "name")

    def __init__(self, name):
        self.name = name
        self.boots = []
        self.is_changing = False


class Change:
    """A configuration that was written to the store.

    Attributes:
        version: Its version.
        at: Time of the store's acknowledgement (s, monotonic).
        late: Set of the numbers of its late routes.
        moved_to: Service of the route that moves.
    """

    __slots__ = ("at", "late", "moved_to", "version")

    def __init__(self, version, late, moved_to):
        self.version = version
        self.at = time.monotonic()
        self.late = late
        self.moved_to = moved_to


class Run:
    """State and records of one run.

    Attributes:
        seed: Seed of the run.
        fleet: PlatformFleet.
        stop_signal: Signal that a planned stop sends.
        search_path: Module search path of the instances' build; None for this one.
        started_at: Time of the start (s, monotonic).
        ends_at: Time from which callers send nothing new (s, monotonic).
        instances: List of Instance.
        calls: List of Call.
        changes: List of Change.
        servers: Map of server id to PlatformServer, those that ended too.
        actions: Map of (server id, request id) to the fault of that request.
        unsound: Set of (server id, request id) cut by an event at the server.
        store_windows: List of [from, until] of the store's disruptions (s, monotonic).
        cut_off: Map of process name to the Boot that is cut off from the servers.
        next_server: Number of the next server.
        log: List of (time after the start (s), text) of the events.
        lags: List of (from, until, delay (s)) in which this process ran its timers
            late (s, monotonic).
    """

    __slots__ = (
        "actions",
        "calls",
        "changes",
        "cut_off",
        "ends_at",
        "fleet",
        "instances",
        "lags",
        "log",
        "next_server",
        "search_path",
        "seed",
        "servers",
        "started_at",
        "stop_signal",
        "store_windows",
        "unsound",
    )

    def __init__(self, seed, fleet, stop_signal, search_path=None):
        self.seed = seed
        self.fleet = fleet
        self.stop_signal = stop_signal
        self.search_path = search_path
        self.started_at = time.monotonic()
        self.ends_at = None
        self.instances = []
        self.calls = []
        self.changes = []
        self.servers = {}
        self.actions = {}
        self.unsound = set()
        self.store_windows = []
        self.cut_off = {}
        self.next_server = 1
        self.log = []
        self.lags = []


def note(run, text):
    """Records an event with its time."""
    run.log.append((round(time.monotonic() - run.started_at, 3), text))


def expected_body(server_id, rid, size):
    """Returns the whole body of a server's answer to a request, of at least `size`."""
    line = f"{server_id} {rid}\n".encode()
    return line * max(1, -(-size // len(line)))


def was_disturbed(boot, begin, end):
    """Returns whether a process was killed or frozen in or shortly before a span."""
    begin -= STABLE_WINDOW_S
    if boot.killed_at is not None and boot.killed_at <= end:
        return True
    return any(a <= end and b >= begin for a, b in boot.frozen)
