"""Results of `bench.spread` from the instances' logs and metrics pages."""

import json
import math

from flamingolift_standins.eventlog import read_event_log
from prometheus_client.parser import text_string_to_metric_families

from integration.platformfleet import call

__all__ = ["Run", "print_run", "read_metrics", "summarize"]

BOUNDS_S = (2.5, 3.0)
"""Times by which a policy should be in force on every instance (s)."""
TIME_FIELDS = ("median_s", "p95_s", "max_s", "relays_max_s")
COUNTED = ("flamingolift_store_calls_total", "flamingolift_peer_update_bytes_total")


class Run:
    """One run of a scenario.

    Attributes:
        fronts: List of FrontProcess.
        relays: List of the FrontProcess that take changes from the store.
        cut: List of the relays that failed.
        links: Map of instance name to MachineLink.
        samples: Samples.
        metrics: Map of instance name to its metrics before the first change; without
            the relays that failed.
        sent: Map of instance name to the bytes that its link had carried then, by
            direction (outgoing, incoming).
        accepted: Map of policy version to the time of the store's acceptance (s,
            monotonic clock).
        policy_bytes: Map of policy version to the size of the stored document (bytes).
        ended: Time at which the measurement ended (s, monotonic clock).
    """

    __slots__ = (
        "accepted",
        "cut",
        "ended",
        "fronts",
        "links",
        "metrics",
        "policy_bytes",
        "relays",
        "samples",
        "sent",
    )

    def __init__(self, fronts, relays, cut, links, samples, metrics, sent):
        self.fronts = fronts
        self.relays = relays
        self.cut = cut
        self.links = links
        self.samples = samples
        self.metrics = metrics
        self.sent = sent
        self.accepted = {}
        self.policy_bytes = {}
        self.ended = 0.0


async def read_metrics(port):
    """Returns the counters of a metrics page as a map of (name, labels) to value."""
    page = await call(port, "GET", "/metrics")
    return {
        (sample.name, tuple(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(page.body.decode())
        for sample in family.samples
        if sample.name in COUNTED
    }


def percentile(values, share):
    """Returns the smallest value that at least a share of the values do not exceed."""
    return sorted(values)[max(0, math.ceil(share * len(values)) - 1)]


async def summarize(run):
    """Returns the results of a run as plain values.

    Args:
        run: Run that has ended; its fronts are still running.
    """
    intact = [front for front in run.fronts if front not in run.cut]
    first = min(run.accepted.values())
    window_s = run.ended - first
    after = {f.name: await read_metrics(f.ports["metrics"]) for f in intact}
    logs = {name: _window_events(intact, name, first, run.ended) for name in _EVENTS}
    return {
        "window_s": round(window_s, 2),
        "relays": [front.name for front in run.relays],
        "cut": [front.name for front in run.cut],
        "changes": [_summarize_change(run, intact, v) for v in run.accepted],
        "links": [_summarize_link(run, front, window_s) for front in run.fronts],
        "events": {name: summary(logs[name]) for name, summary in _EVENTS.items()},
        "counters": _summarize_counters(run.metrics, after),
        "resident_mb": round(run.samples.resident / 1e6, 1),
        "bench_late_ms": round(run.samples.late_s * 1000.0, 1),
    }


def _window_events(fronts, name, first, last):
    events = [e for front in fronts for e in read_event_log(front.log_path, name)]
    return [e for e in events if first <= e["mono"] <= last]


def _summarize_change(run, fronts, version):
    """Returns how long a policy, or a newer one, took to be in force."""
    times_s = {f.name: _time_in_force(run, f, version) for f in fronts}
    known_s = [time_s for time_s in times_s.values() if time_s is not None]
    relays_s = [times_s.get(front.name) for front in run.relays]
    relays_s = [time_s for time_s in relays_s if time_s is not None]
    row = {"version": version, "policy_bytes": run.policy_bytes[version]}
    row["never"] = len(fronts) - len(known_s)
    for bound_s in BOUNDS_S:
        in_time = sum(time_s <= bound_s for time_s in known_s)
        row[f"late_{bound_s}"] = len(fronts) - in_time
    for name, share in (("median_s", 0.5), ("p95_s", 0.95), ("max_s", 1.0)):
        row[name] = round(percentile(known_s, share), 3) if known_s else None
    row["relays_max_s"] = round(max(relays_s), 3) if relays_s else None
    return row


def _time_in_force(run, front, version):
    """Returns the time from acceptance to a policy or a newer one (s), or None."""
    events = read_event_log(front.log_path, "policy_in_force")
    in_force = [e["mono"] for e in events if e["policy"] >= version]
    if not in_force or min(in_force) > run.ended:
        return None
    return max(0.0, min(in_force) - run.accepted[version])


def _summarize_link(run, front, window_s):
    link = run.links[front.name]
    outgoing_before, incoming_before = run.sent[front.name]
    outgoing = link.outgoing.sent - outgoing_before
    incoming = link.incoming.sent - incoming_before
    return {
        "instance": front.name,
        "relay": front in run.relays,
        "cut": front in run.cut,
        "mbps": link.mbps,
        "sent_bytes": outgoing,
        "sent_share": round(outgoing / (link.outgoing.bytes_per_s * window_s), 4),
        "store_bytes": incoming,
        "store_share": round(incoming / (link.incoming.bytes_per_s * window_s), 4),
        "max_unsent_bytes": run.samples.unsent.get(front.ports["control"], 0),
    }


def _summarize_field(events, field):
    values = [event[field] for event in events if field in event]
    if not values:
        return {}
    return {
        f"{field}_median": percentile(values, 0.5),
        f"{field}_max": max(values),
        f"{field}_sum": round(sum(values), 1),
    }


def _summary_of(*fields):
    """Returns a function that summarizes the fields of a list of events."""

    def summary(events):
        found = {"count": len(events)}
        for field in fields:
            found.update(_summarize_field(events, field))
        return found

    return summary


_EVENTS = {
    "update_encoded": _summary_of("bytes", "encode_ms"),
    "update_received": _summary_of("bytes", "transfer_ms", "decode_ms"),
    "response_sent": _summary_of("bytes", "send_ms"),
    "loop_stalled": _summary_of("late_ms"),
    "peer_failed": _summary_of(),
    "update_overdue": _summary_of("lag_ms"),
    "store_lost": _summary_of(),
}


def _summarize_counters(before, after):
    """Returns the growth of the counters, summed over the instances."""
    totals = {}
    for name, values in after.items():
        for (counter, labels), value in values.items():
            growth = value - before[name].get((counter, labels), 0.0)
            key = " ".join((counter.removeprefix("flamingolift_"), *labels))
            totals[key] = totals.get(key, 0) + int(growth)
    return dict(sorted(totals.items()))


def print_run(name, found):
    """Prints the results of one scenario."""
    scenario, machine = found["scenario"], found["machine"]
    print(f"== {name}: {json.dumps(scenario)}")
    print(
        f"load average {machine['load_before']} before, {machine['load_after']} after,"
        f" {machine['cores']} cores; bench late by up to {found['bench_late_ms']} ms;"
        f" {found['resident_mb']} MB; relays {found['relays']}, cut {found['cut']}"
    )
    print("version    bytes  median    p95    max  relays  >2.5 s  >3 s  never")
    for row in found["changes"]:
        times = (row[field] for field in TIME_FIELDS)
        texts = ["     -" if time_s is None else f"{time_s:6.2f}" for time_s in times]
        print(
            f"{row['version']:7} {row['policy_bytes']:8}  {' '.join(texts)}"
            f"  {row['late_2.5']:6}  {row['late_3.0']:4}  {row['never']:5}"
        )
    _print_links(found)
    for event, values in found["events"].items():
        print(f"{event:16} {_format_values(values)}")
    print(f"counters         {_format_values(found['counters'])}")


def _print_links(found):
    """Prints the links of the relays, and those of the followers together."""
    print(
        f"links, {found['window_s']} s         sent  share  from store  share  unsent"
    )
    groups = [([row], row["instance"]) for row in found["links"] if row["relay"]]
    followers = [row for row in found["links"] if not row["relay"]]
    groups.append((followers, f"most of {len(followers)} followers"))
    for rows, title in groups:
        fields = ("sent_bytes", "sent_share", "store_bytes", "store_share")
        sent, share, received, store_share = (max(r[f] for r in rows) for f in fields)
        unsent = max(row["max_unsent_bytes"] for row in rows)
        print(
            f"{title:20} {sent:9} {share:6.3f} {received:11} {store_share:6.3f}"
            f" {unsent:7}"
        )


def _format_values(values):
    return "  ".join(f"{key} {value}" for key, value in values.items())
