"""Prometheus metrics of a front."""

import os

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from flamingolift_front.pathrecords import lost_services
from flamingolift_front.viewage import view_age_ms

__all__ = ["FrontMetrics", "render_metrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)
LOOP_DELAY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class FrontMetrics:
    """Metrics of one process.

    Attributes:
        registry: CollectorRegistry.
        requests: Counter by route and outcome: answered, caller_left, or the name of
            the result code.
        requests_read: Counter of the callers' requests that were read whole.
        request_ends: Counter of their ends: answered by a server, refused by this
            instance, caller_left, unanswered when this instance closed the
            connection, or unread when it had been sent to a server before its turn and
            the connection closed first. What is missing to `requests_read` is in
            progress.
        latency: Histogram of the response time by service (s).
        sends: Counter of sends to backend servers by service and outcome.
        first_sends: Counter of first sends by service and whether the server is the
            object's preferred one.
        limit_grants: Counter of the grants asked for by result: granted, refused, or
            unreachable when no grantor responded.
        handed_on: Counter of requests that were to be handed on to other instances, by
            result: answered, unreached, lost, or no_helper; and taken from others.
        server_ends: Counter of reports about servers that ended under requests, by
            source: own or peer.
        store_calls: Counter of calls on the store by kind and result.
        peer_bytes: Counter of the bytes of view updates by direction: sent or received.
        memory_waits: Counter of the bodies that waited for memory.
        memory_refusals: Counter of the requests that were refused for want of memory.
        loop_delay: Histogram of the delay of a timer of the event loop (s).
        log_dropped: Gauge of the dropped log lines that are not yet reported.
        gauges: Map of name to Gauge; the values are set when metrics are rendered.
    """

    __slots__ = (
        "first_sends",
        "gauges",
        "handed_on",
        "latency",
        "limit_grants",
        "log_dropped",
        "loop_delay",
        "memory_refusals",
        "memory_waits",
        "peer_bytes",
        "registry",
        "request_ends",
        "requests",
        "requests_read",
        "sends",
        "server_ends",
        "store_calls",
    )

    def __init__(self):
        self.registry = registry = CollectorRegistry()
        self.requests = Counter(
            "flamingolift_requests",
            "Requests by route and result code",
            ("route", "code"),
            registry=registry,
        )
        self.requests_read = Counter(
            "flamingolift_requests_read",
            "Callers' requests that were read whole",
            registry=registry,
        )
        self.request_ends = Counter(
            "flamingolift_request_ends",
            "How the requests that were read whole ended",
            ("end",),
            registry=registry,
        )
        self.latency = Histogram(
            "flamingolift_request_seconds",
            "Time to the answer (s)",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.sends = Counter(
            "flamingolift_sends",
            "Sends to backend servers by outcome",
            ("service", "outcome"),
            registry=registry,
        )
        self.first_sends = Counter(
            "flamingolift_first_sends",
            "First sends by whether the server is the object's preferred one",
            ("service", "preferred"),
            registry=registry,
        )
        self.limit_grants = Counter(
            "flamingolift_limit_grants",
            "Grants asked for to send to servers that name a limit",
            ("result",),
            registry=registry,
        )
        self.handed_on = Counter(
            "flamingolift_handed_on",
            "Requests handed on to other instances, or taken from them",
            ("result",),
            registry=registry,
        )
        self.server_ends = Counter(
            "flamingolift_server_ends",
            "Reports about servers that ended under requests",
            ("source",),
            registry=registry,
        )
        self.store_calls = Counter(
            "flamingolift_store_calls",
            "Calls on the platform's store",
            ("kind", "result"),
            registry=registry,
        )
        self.peer_bytes = Counter(
            "flamingolift_peer_update_bytes",
            "Bytes of view updates exchanged with other instances",
            ("direction",),
            registry=registry,
        )
        self.memory_waits = Counter(
            "flamingolift_memory_waits",
            "Bodies of requests that waited for memory",
            registry=registry,
        )
        self.memory_refusals = Counter(
            "flamingolift_memory_refusals",
            "Requests refused for want of memory",
            registry=registry,
        )
        self.loop_delay = Histogram(
            "flamingolift_loop_delay_seconds",
            "Delay of a timer of the event loop (s)",
            buckets=LOOP_DELAY_BUCKETS_S,
            registry=registry,
        )
        self.log_dropped = Gauge(
            "flamingolift_log_lines_dropped",
            "Log lines left out and not yet reported",
            registry=registry,
        )
        self.gauges = {
            name: Gauge(f"flamingolift_{name}", doc, registry=registry)
            for name, doc in (
                ("policy_number", "Version of the routing policy in force"),
                ("view_revision", "Revision of the store that was taken"),
                ("view_age_ms", "Age of the proof that the view lacks nothing (ms)"),
                ("store_lost", "1 while the store does not answer"),
                ("instances", "Instances known to be live"),
                ("backend_servers", "Backend servers known"),
                ("cut_off_services", "Services from which the instance is cut off"),
                ("held_requests", "Requests that are held since servers ended"),
                ("connections", "Callers' open connections"),
                ("held_bytes", "Bytes held in the byte budget"),
                ("held_bytes_peak", "Most bytes held in the byte budget so far"),
                ("resident_bytes", "Resident memory of the process (bytes)"),
            )
        }


def render_metrics(front):
    """Returns the metrics in the Prometheus text format (bytes).

    Args:
        front: Front.
    """
    view, gauges = front.view, front.metrics.gauges
    gauges["policy_number"].set(view.table.number if view.table else 0)
    gauges["view_revision"].set(view.revision or 0)
    gauges["view_age_ms"].set(view_age_ms(view))
    gauges["store_lost"].set(view.store_failed_at is not None)
    gauges["instances"].set(len(view.instances))
    gauges["backend_servers"].set(len(view.backends.backends))
    gauges["cut_off_services"].set(len(lost_services(front)))
    gauges["held_requests"].set(len(front.crashes.held))
    gauges["connections"].set(len(front.connections))
    budget = front.byte_budget
    gauges["held_bytes"].set(budget.body_bytes + budget.other_bytes)
    gauges["held_bytes_peak"].set(budget.peak_bytes)
    gauges["resident_bytes"].set(_resident_bytes())
    front.metrics.log_dropped.set(sum(front.log.dropped.values()))
    return generate_latest(front.metrics.registry)


def _resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
