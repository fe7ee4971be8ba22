"""Heartbeats, announcements, and one task for each peer that is kept."""

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
"""Time for which changes of membership are gathered before they are told (s)."""


def broadcast(instance, message, except_link=None):
    """Sends a message on every open stream but one."""
    for link in list(instance.streams):
        if link is not except_link:
            send_message(link, message)


def announce(instance):
    """Sends a heartbeat at once on every stream, after a change."""
    for link in list(instance.streams):
        send_heartbeat(instance, link)


def suspect_peer(instance, name, incarnation):
    """Suspects a peer that does not answer, and tells the others."""
    if mark_suspect(instance.view, name, incarnation, instance.clock.now()):
        logger.info("peer_suspected", extra={"peer": name})
        announce_soon(instance)


def announce_soon(instance):
    """Sends a heartbeat on every stream after a moment, once for many changes."""
    if instance.announcing is None or instance.announcing.done():
        instance.announcing = start_task(instance, _announce_later(instance))


async def _announce_later(instance):
    await asyncio.sleep(ANNOUNCE_DELAY_S)
    announce(instance)


async def run_heartbeats(instance):
    """Sends heartbeats and closes the streams that went silent, for ever."""
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
    """Keeps one task for each peer that the topology asks for, for ever."""
    kept = {}
    cfg = instance.cfg
    while True:
        changed = instance.changed
        me = instance.view.entries.get(cfg.instance_id)
        wanted = set()
        if me is not None:
            everyone = {**instance.serving, cfg.instance_id: me}
            wanted = desired_peers(everyone, me, cfg.relays_per_domain, cfg.ring_peers)
        for name in set(kept) - wanted:
            kept.pop(name).cancel()
        for name in wanted - set(kept):
            kept[name] = start_task(instance, _keep_peer(instance, name))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(cfg.heartbeat_interval_s * 5):
                await changed.wait()


async def _keep_peer(instance, name):
    """Keeps a stream to one peer open and reports it when that fails."""
    interval_s = instance.cfg.heartbeat_interval_s
    while True:
        entry = instance.view.entries.get(name)
        if entry is None:
            return
        known = instance.view.members.get(name)
        incarnation = known.incarnation if known else 0
        opened = await get_link(instance, entry)
        if opened.is_ok():
            await asyncio.wait([opened.ok.closed])
            continue
        suspect_peer(instance, name, incarnation)
        await asyncio.sleep(interval_s)
