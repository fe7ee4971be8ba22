"""Composition root of a front: listeners, tasks and the planned stop."""

import asyncio
import gc
import signal
import time

from flamingolift_front import callers, lookups, serverpool
from flamingolift_front.bytestream import ByteStream
from flamingolift_front.eventlog import flush_log, log_event
from flamingolift_front.internalapi import answer_inner
from flamingolift_front.registration import keep_registered
from flamingolift_front.viewsource import follow_fleet, follow_peers

__all__ = ["run_front"]

BACKLOG = 1024
"""Connections that wait to be accepted on a listener."""
ACCEPT_SHARE = 0.5
"""Part of the grace time in which new requests are still taken, so that callers
with a cached look-up are served (ratio)."""
EXIT_MARGIN_S = 0.4
"""Part of the grace time that is left for the exit itself (s)."""
HOUSEKEEPING_S = 2.0
"""Time between looks for idle connections that have expired (s)."""
POLL_S = 0.05
"""Time between looks at the requests in flight during a stop (s)."""


async def run_front(front, answer_lookup, answer_ready, reload_settings):
    """Runs a front until it is told to stop.

    Args:
        front: Front.
        answer_lookup: Coroutine function of the front and a request target that
            returns the HttpResponse to a look-up.
        answer_ready: The same for a readiness check.
        reload_settings: Function without arguments, called when the settings
            changed.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings)
    listeners = await _listen(front, answer_lookup, answer_ready)
    for coroutine in (follow_fleet(front), follow_peers(front), _keep_house(front)):
        _start(front, coroutine)
    registering = _start(front, keep_registered(front))
    gc.collect()
    gc.freeze()
    log_event(front.log, "started", incarnation=front.incarnation)
    await stop.wait()
    await _stop(front, listeners, registering)


def _start(front, coroutine):
    task = asyncio.get_running_loop().create_task(coroutine)
    front.tasks.add(task)
    task.add_done_callback(lambda done: _note_end(front, done))
    return task


def _note_end(front, task):
    front.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        cause = repr(task.exception())
        log_event(front.log, "task_failed", task=task.get_name(), cause=cause)


async def _listen(front, answer_lookup, answer_ready):
    cfg = front.cfg
    handlers = {
        cfg.ready_port: answer_ready,
        cfg.lookup_port: answer_lookup,
        cfg.peer_port: answer_inner,
        cfg.metrics_port: lookups.serve_metrics,
    }
    listeners = [await _open_listener(cfg, cfg.caller_port, _caller_opener(front))]
    for port, answer_for in handlers.items():
        if port:
            opener = _control_opener(front, answer_for)
            listeners.append(await _open_listener(cfg, port, opener))
    return listeners


def _caller_opener(front):
    return lambda stream: callers.accept_caller(front, stream)


def _control_opener(front, answer_for):
    return lambda stream: _start(
        front, lookups.serve_control(front, stream, answer_for)
    )


async def _open_listener(cfg, port, on_open):
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ByteStream(on_open), cfg.host, port, backlog=BACKLOG
    )


async def _keep_house(front):
    while True:
        await asyncio.sleep(HOUSEKEEPING_S)
        serverpool.close_expired(front.pool, time.monotonic())


async def _stop(front, listeners, registering):
    """Leaves the fleet, serves what is still coming in and ends what runs."""
    began = time.monotonic()
    front.stopping = True
    log_event(front.log, "stopping", connections=len(front.connections))
    registering.cancel()
    grace_s = front.cfg.grace_s
    await asyncio.sleep(grace_s * ACCEPT_SHARE)
    for listener in listeners:
        listener.close()
    callers.close_idle(front)
    while front.connections and time.monotonic() - began < grace_s - EXIT_MARGIN_S:
        await asyncio.sleep(POLL_S)
        callers.close_idle(front)
    log_event(front.log, "stopped", unfinished=len(front.connections))
    flush_log(front.log)
