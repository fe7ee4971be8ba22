"""Workload, servers, instances and requests of a simulated fleet, and their tallies."""

import collections

from flamingolift_decisions.affinity import AffinityCache

__all__ = [
    "SimulatedInstance",
    "SimulatedRequest",
    "SimulatedServer",
    "Tally",
    "Workload",
]


class Workload:
    """Input of a simulation: size of the fleet, requests and faults.

    Attributes:
        rate: Mean rate of callers' requests (1/s).
        seconds: Simulated time for which requests arrive (s).
        instances: Number of instances.
        servers: Number of servers.
        objects: Number of objects in each region.
        regions: Number of regions.
        slots: Requests that a server runs concurrently.
        bursts: List of (start (s), end (s), factor on the rate).
        slow: List of (start (s), end (s), share of the servers, factor on their
            processing time).
        restarts: Times at which all instances restart without state (s).
        hot_share: Share of the requests that are for one object (ratio).
        swing: Amplitude of a wave of the regions' rates, each with another phase
            (ratio).
        work_s: Mean processing time of a request whose object is not held (s).
        held: Objects that a server holds; it evicts the least recently used.
        queue: Requests that wait at a server; it rejects more.
        objective_s: Latency objective (s).
        timeout_s: Time after its sending at which a server gives up a request (s).
        retry_s: Mean time after which a refused or failed caller retries once (s).
        far_s: One-way network delay between regions (s).
    """

    __slots__ = (
        "bursts",
        "far_s",
        "held",
        "hot_share",
        "instances",
        "objective_s",
        "objects",
        "queue",
        "rate",
        "regions",
        "restarts",
        "retry_s",
        "seconds",
        "servers",
        "slots",
        "slow",
        "swing",
        "timeout_s",
        "work_s",
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
        swing=0.0,
        work_s=0.64,
        held=20,
        queue=9,
        objective_s=0.4,
        timeout_s=1.2,
        retry_s=0.4,
        far_s=0.02,
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
        self.swing = swing
        self.work_s = work_s
        self.held = held
        self.queue = queue
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.retry_s = retry_s
        self.far_s = far_s


class SimulatedServer:
    """A backend server.

    Attributes:
        server_id: Name.
        running: Number of requests that run.
        queue: Requests that wait for a slot, in order of arrival.
        held: Ordered map of the object keys it holds, least recently used first.
        slowdown: Factor on its processing times.
    """

    __slots__ = ("held", "queue", "running", "server_id", "slowdown")

    def __init__(self, server_id):
        self.server_id = server_id
        self.running = 0
        self.queue = collections.deque()
        self.held = collections.OrderedDict()
        self.slowdown = 1.0


class SimulatedInstance:
    """An instance: its region, its view of the servers and its affinity cache."""

    __slots__ = ("cache", "region", "view")

    def __init__(self, region, view):
        self.region = region
        self.view = view
        self.cache = AffinityCache()


class SimulatedRequest:
    """A caller's request.

    Attributes:
        key: Object key.
        asked_at: Time at which the caller first sent it (s).
        attempts: Number of times the caller sent it.
        tried: Ids of the servers it was sent to in this attempt.
        instance: SimulatedInstance that handles it.
        backend: Backend server it was last sent to.
        sent_at: Time at which the instance last sent it (s).
    """

    __slots__ = (
        "asked_at",
        "attempts",
        "backend",
        "instance",
        "key",
        "sent_at",
        "tried",
    )

    def __init__(self, key, asked_at):
        self.key = key
        self.asked_at = asked_at
        self.attempts = 0
        self.tried = set()
        self.instance = None
        self.backend = None
        self.sent_at = 0.0


class Tally:
    """Counts of the requests and sends of one second.

    Attributes:
        in_time: Requests begun then that were answered within the objective.
        late: Requests begun then that were answered later.
        lost: Requests begun then that were refused or failed, the retry too.
        warm: Sends started then by a server that held the object.
        sends: Sends that a server started to run then.
        far: Sends begun then to a server of another region.
        to_server: Map of server id to the sends begun then to it.
    """

    __slots__ = ("far", "in_time", "late", "lost", "sends", "to_server", "warm")

    def __init__(self):
        self.in_time = self.late = self.lost = self.sends = self.warm = self.far = 0
        self.to_server = collections.Counter()
