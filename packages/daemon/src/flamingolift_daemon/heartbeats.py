"""Heartbeats, and one task for each peer to which a stream is kept open."""

import asyncio
import contextlib

from flamingolift_decisions.membership import mark_suspect
from flamingolift_decisions.topology import desired_peers

from flamingolift_daemon.instance import start_task
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import (
    close_link,
    get_link,
    send_heartbeat,
    send_message,
)

__all__ = [
    "announce",
    "announce_soon",
    "broadcast",
    "maintain_peer_streams",
    "run_heartbeats",
]

ANNOUNCE_DELAY_S = 0.1
"""Time for which membership changes are batched before they are announced (s)."""


def broadcast(instance, message, excluded_link=None):
    """Sends a message on every open stream except one."""
    for link in list(instance.streams):
        if link is not excluded_link:
            send_message(link, message)


def announce(instance):
    """Sends a heartbeat on every stream at once, to announce a change."""
    for link in list(instance.streams):
        send_heartbeat(instance, link)


def suspect_peer(instance, name, incarnation):
    """Marks a peer that does not answer as suspect, and announces it."""
    if mark_suspect(instance.view, name, incarnation, instance.clock.now()):
        logger.info("peer_suspected", extra={"peer": name})
        announce_soon(instance)


def announce_soon(instance):
    """Announces changes after `ANNOUNCE_DELAY_S`, in one heartbeat for many changes."""
    if instance.announcing is None or instance.announcing.done():
        instance.announcing = start_task(instance, _announce_after_delay(instance))


async def _announce_after_delay(instance):
    await asyncio.sleep(ANNOUNCE_DELAY_S)
    announce(instance)


async def run_heartbeats(instance):
    """Sends heartbeats, and closes streams on which no frame came in time.

    Runs until cancelled.
    """
    cfg = instance.cfg
    while True:
        await asyncio.sleep(cfg.heartbeat_interval_s)
        now = instance.clock.now()
        for link in list(instance.streams):
            if now - link.heard_at > cfg.heartbeat_timeout_s:
                count(instance.metrics, "peer.silent_streams")
                close_link(link)
                suspect_peer(instance, link.remote_id, link.remote_incarnation)
                continue
            send_heartbeat(instance, link)
            count(instance.metrics, "peer.sent_bytes", link.sent_bytes)
            link.sent_bytes = 0


async def maintain_peer_streams(instance):
    """Runs one task for each peer that the topology asks for, until cancelled."""
    tasks = {}
    cfg = instance.cfg
    while True:
        changed = instance.changed
        own_entry = instance.view.entries.get(cfg.instance_id)
        wanted = set()
        if own_entry is not None:
            candidates = {**instance.serving, cfg.instance_id: own_entry}
            wanted = desired_peers(
                candidates, own_entry, cfg.relays_per_domain, cfg.ring_peers
            )
        for name in set(tasks) - wanted:
            tasks.pop(name).cancel()
        for name in wanted - set(tasks):
            tasks[name] = start_task(instance, _maintain_peer_stream(instance, name))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(cfg.heartbeat_interval_s * 5):
                await changed.wait()


async def _maintain_peer_stream(instance, name):
    """Keeps a stream to one peer open; marks the peer suspect when that fails."""
    interval_s = instance.cfg.heartbeat_interval_s
    while True:
        entry = instance.view.entries.get(name)
        if entry is None:
            return
        known = instance.view.members.get(name)
        incarnation = known.incarnation if known else 0
        link_result = await get_link(instance, entry)
        if link_result.is_ok():
            await asyncio.wait([link_result.ok.closed])
            continue
        suspect_peer(instance, name, incarnation)
        await asyncio.sleep(interval_s)
