"""Counters, timers and histograms of one instance."""

import collections

import statsd
from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "count", "flush_metrics", "record_duration_ms", "summarize"]

LOWEST_US = 10
HIGHEST_US = 600_000_000
SIGNIFICANT_FIGURES = 2
MAX_HISTOGRAMS = 128
"""Largest number of histograms; beyond it, a service's new classes and tenants share
one."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters since the start, metrics not yet sent to statsd, and histograms.

    Attributes:
        totals: Counter of name to total since the start.
        unsent: Counter of name to increment since the last flush.
        timings: List of (name, duration in ms) since the last flush.
        histograms: Map of (service, group) to an HDR histogram (microseconds).
        client: statsd client, or None.
    """

    __slots__ = ("client", "histograms", "timings", "totals", "unsent")

    def __init__(self, statsd_host, statsd_port):
        self.totals = collections.Counter()
        self.unsent = collections.Counter()
        self.timings = []
        self.histograms = {}
        self.client = (
            statsd.StatsClient(statsd_host, statsd_port, prefix="flamingolift")
            if statsd_host
            else None
        )


MAX_UNSENT_TIMINGS = 1_000
"""Durations kept between two flushes; further ones are not sent to statsd."""


def count(metrics, name, by=1):
    """Increments a counter."""
    metrics.totals[name] += by
    if metrics.client is not None:
        metrics.unsent[name] += by


def record_duration_ms(metrics, service, group, elapsed_ms):
    """Records a duration for a service and a traffic class or tenant.

    Args:
        metrics: Metrics.
        service: Service name.
        group: Traffic class, or "tenant:" and a tenant.
        elapsed_ms: Duration (ms).
    """
    key = (service, group)
    histogram = metrics.histograms.get(key)
    if histogram is None:
        if len(metrics.histograms) >= MAX_HISTOGRAMS:
            key = (service, "tenant:other")
            histogram = metrics.histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES, word_size=4
            )
            metrics.histograms[key] = histogram
    value = min(HIGHEST_US, max(LOWEST_US, int(elapsed_ms * 1000.0)))
    histogram.record_value(value)
    if metrics.client is not None and len(metrics.timings) < MAX_UNSENT_TIMINGS:
        metrics.timings.append((f"{service}.{group}", elapsed_ms))


def summarize(metrics):
    """Returns the histograms' percentiles as plain values (ms)."""
    rows = []
    for (service, group), histogram in sorted(metrics.histograms.items()):
        row = {"service": service, "group": group, "count": histogram.total_count}
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile)
            row[f"p{percentile:g}_ms"] = value / 1000.0
        rows.append(row)
    return rows


def flush_metrics(metrics):
    """Sends the counters and durations since the last flush to statsd."""
    if metrics.client is None or not (metrics.unsent or metrics.timings):
        return
    with metrics.client.pipeline() as pipe:
        for name, increment in metrics.unsent.items():
            pipe.incr(name, increment)
        for name, elapsed_ms in metrics.timings:
            pipe.timing(name, elapsed_ms)
    metrics.unsent.clear()
    metrics.timings.clear()
