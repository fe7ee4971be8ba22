"""Measures control cost and document propagation with many peers in one process."""

import asyncio
import time

import psutil
from flamingolift_daemon import distribution, heartbeats, peerlinks
from flamingolift_daemon.wiring import make_instance, serve_peers
from flamingolift_decisions.membership import record_contact
from flamingolift_model.plan import InstanceEntry, LiveList
from flamingolift_model.policy import PolicyHead
from flamingolift_model.settings import Settings
from flamingolift_standins.fleet import (
    OPERATOR_KEY,
    PEER_KEYS,
    TICKET_KEYS,
)
from flamingolift_standins.ports import free_ports
from flamingolift_wire.codec import encode_document

from bench.deployments import RAIL

__all__ = ["measure_peers"]

SETTLE_S = 5.0
SETTLE_S_PER_PEER = 0.02
"""Time that one process needs for each of its peers to open its streams (s)."""
PROPAGATION_TIMEOUT_S = 30.0
POLL_S = 0.005


def make_entries(count, domains, regions):
    """Returns live list entries of a synthetic fleet."""
    ports = free_ports(count)
    return [
        InstanceEntry(
            instance_id=f"node-{n}",
            region=f"region-{(n % domains) % regions}",
            failure_domain=f"domain-{n % domains}",
            host="127.0.0.1",
            caller_port=1,
            operator_port=1,
            peer_port=ports[n],
        )
        for n in range(count)
    ]


def make_settings(entry):
    """Returns the settings of one peer."""
    return Settings(
        instance_id=entry.instance_id,
        region=entry.region,
        failure_domain=entry.failure_domain,
        host=entry.host,
        caller_port=1,
        operator_port=1,
        peer_port=entry.peer_port,
        store_url="http://127.0.0.1:9",
        peer_keys=PEER_KEYS,
        ticket_keys=TICKET_KEYS,
        operator_keys="o1:" + OPERATOR_KEY,
    )


async def measure_peers(count, domains, regions):
    """Runs peers without HTTP listeners and without a store.

    Args:
        count: Number of peers.
        domains: Number of failure domains.
        regions: Number of regions.

    Returns:
        Plain values: streams, CPU time and bytes for each peer, and the times for a
        document to reach all peers from one of them (s).
    """
    entries = make_entries(count, domains, regions)
    live = encode_document(LiveList(number=1, instances=entries))
    instances = [make_instance(make_settings(entry)) for entry in entries]
    tasks = []
    add_contacts(instances)
    for instance in instances:
        distribution.apply_document(instance, "live", live, "bench")
        for run in (
            serve_peers,
            heartbeats.maintain_peer_streams,
            heartbeats.run_heartbeats,
            lambda i: distribution.run_membership(i, lambda *_: None),
        ):
            tasks.append(asyncio.ensure_future(run(instance)))
    await asyncio.sleep(SETTLE_S + SETTLE_S_PER_PEER * count)
    head = PolicyHead(number=1, text=RAIL.policy)
    propagation_s = [await measure_propagation(instances, encode_document(head), 1)]
    process = psutil.Process()
    sent = sum(i.metrics.totals["peer.sent_bytes"] for i in instances)
    process.cpu_percent()
    started = time.monotonic()
    await asyncio.sleep(SETTLE_S)
    elapsed = time.monotonic() - started
    cpu = process.cpu_percent() / 100.0
    sent = sum(i.metrics.totals["peer.sent_bytes"] for i in instances) - sent
    for number in (2, 3, 4):
        head.number = number
        propagation_s.append(
            await measure_propagation(instances, encode_document(head), number)
        )
    streams = sum(len(i.streams) for i in instances) / count
    row = {
        "peers": count,
        "domains": domains,
        "streams_each": round(streams, 2),
        "cpu_share_each": cpu / count,
        "sent_bytes_s_each": round(sent / elapsed / count, 1),
        "spread_s": [round(s, 3) for s in propagation_s],
        "busiest_streams": max(len(i.streams) for i in instances),
    }
    await stop(instances, tasks)
    return row


def add_contacts(instances):
    """Adds every peer to every membership view, as in a fleet that has run for a while.

    When all peers start at once, each sends a few messages about every other one. In
    one process that grows with the square of their number and hides the steady cost.
    """
    now = instances[0].clock.now()
    for instance in instances:
        view = instance.view
        for other in instances:
            record_contact(view, other.cfg.instance_id, other.incarnation, now)
        view.log.clear()


async def measure_propagation(instances, body, number):
    """Gives a document to one peer; returns the time until all have it (s)."""
    started = time.monotonic()
    distribution.apply_document(instances[0], "policy", body, "bench")
    while time.monotonic() - started < PROPAGATION_TIMEOUT_S:
        if all(i.policy is not None and i.policy.number >= number for i in instances):
            return time.monotonic() - started
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"policy {number} did not reach every peer")


async def stop(instances, tasks):
    """Stops all peers."""
    for instance in instances:
        tasks += list(instance.tasks)
        for link in list(instance.streams):
            peerlinks.close_link(link)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks, timeout=5.0)
    for instance in instances:
        await instance.store.session.close()
        await instance.backends.unpooled.session.close()
