"""Composition root of a front: listeners, background tasks and graceful shutdown."""

import asyncio
import gc
import signal
import time

from flamingolift_front import (
    callers,
    crashsync,
    limitgrants,
    lookups,
    loopwatch,
    pathwatch,
    serverpool,
)
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.bytestream import ByteStream
from flamingolift_front.eventlog import flush_log, log_event
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.registration import maintain_registration
from flamingolift_front.viewproof import keep_proven
from flamingolift_front.viewsource import pull_from_peers, sync_view

__all__ = ["run_front"]

BACKLOG = 1024
"""Largest number of connections that wait to be accepted on a listener."""
ACCEPT_SHARE = 0.5
"""Part of the grace time in which new connections are still accepted, so that callers
with a cached look-up are served (ratio)."""
EXIT_MARGIN_S = 0.4
"""Part of the grace time that is reserved for the last answers and the exit of the
process (s)."""
LAST_ANSWERS_S = 0.2
"""Time of that in which the callers of unfinished requests are answered (s)."""
POOL_SWEEP_INTERVAL_S = 2.0
"""Interval at which expired idle connections are closed (s)."""
RESTART_PAUSE_S = 0.5
"""Pause before a background task that failed is started again (s)."""
DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which the requests in flight are checked during a shutdown (s)."""


async def run_front(front, lookup_handler, ready_handler, reload_settings, early=()):
    """Runs a front until SIGTERM or SIGINT, then drains its connections.

    Args:
        front: Front.
        lookup_handler: Coroutine function of the front and a request target that
            returns the HttpResponse to a look-up.
        ready_handler: The same for a readiness check.
        reload_settings: Function without arguments, called on SIGHUP.
        early: Set of the signals that arrived before; more may be added to it until
            this function takes them.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    handlers = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGHUP: reload_settings,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
        if number in early:
            handler()
    listeners = await _listen(front, lookup_handler, ready_handler)
    for function in (
        sync_view,
        pull_from_peers,
        keep_proven,
        _close_idle_connections,
        loopwatch.watch_loop,
        pathwatch.watch_paths,
        crashsync.spread_crashes,
        crashsync.pull_crashes,
    ):
        start_task(front, _run_forever(front, function))
    registration_task = start_task(front, maintain_registration(front))
    gc.collect()
    gc.freeze()
    log_event(front.log, "started", incarnation=front.incarnation)
    await stop.wait()
    await shut_down(front, listeners, registration_task)


async def _run_forever(front, function):
    """Runs a coroutine function of the front, and again when it fails."""
    while True:
        try:
            await function(front)
        except Exception as exc:
            log_event(front.log, "task_failed", task=function.__name__, cause=repr(exc))
        await asyncio.sleep(RESTART_PAUSE_S)


async def _listen(front, lookup_handler, ready_handler):
    cfg = front.cfg
    openers = {
        cfg.ready_port: _control_opener(front, ready_handler),
        cfg.lookup_port: _control_opener(front, lookup_handler),
        cfg.peer_port: _control_opener(
            front, handle_internal, crashsync.MAX_REPORT_BYTES
        ),
        cfg.metrics_port: _control_opener(front, lookups.serve_metrics),
    }
    listeners = [await _open_listener(cfg, cfg.caller_port, _caller_opener(front))]
    for port, opener in openers.items():
        if port:
            listeners.append(await _open_listener(cfg, port, opener))
    if cfg.handover_port:
        opener = _caller_opener(front, from_instance=True)
        listeners.append(await _open_listener(cfg, cfg.handover_port, opener))
    return listeners


def _caller_opener(front, from_instance=False):
    return lambda stream: callers.accept_caller(front, stream, from_instance)


def _control_opener(front, handler, max_body_bytes=0):
    return lambda stream: start_task(
        front, lookups.serve_control(front, stream, handler, max_body_bytes)
    )


async def _open_listener(cfg, port, on_open):
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ByteStream(on_open), cfg.host, port, backlog=BACKLOG
    )


async def _close_idle_connections(front):
    while True:
        await asyncio.sleep(POOL_SWEEP_INTERVAL_S)
        for pool in (front.pool, front.helper_pool):
            serverpool.close_expired(pool, time.monotonic())
        limitgrants.close_ended_links(front)


async def shut_down(front, listeners, registration_task):
    """Deregisters the instance, closes the listeners and drains the connections.

    Args:
        front: Front.
        listeners: List of asyncio servers.
        registration_task: Task of the registration.
    """
    started = time.monotonic()
    front.stopping = True
    front.exit_at = started + front.cfg.grace_s - EXIT_MARGIN_S
    log_event(front.log, "stopping", connections=len(front.connections))
    registration_task.cancel()
    await asyncio.sleep(front.cfg.grace_s * ACCEPT_SHARE)
    for listener in listeners:
        listener.close()
    callers.drain_connections(front)
    while front.connections and time.monotonic() < front.exit_at:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        callers.close_idle(front)
    unfinished = sum(conn.req is not None for conn in front.connections)
    callers.end_requests(front)
    while front.connections and time.monotonic() < front.exit_at + LAST_ANSWERS_S:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        callers.close_idle(front)
    if front.connections:
        log_event(front.log, "answers_unsent", connections=len(front.connections))
    log_event(front.log, "stopped", unfinished=unfinished)
    flush_log(front.log)
