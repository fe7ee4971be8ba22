"""Watches for the return of lost paths to the backend servers, and asks for helpers."""

import asyncio
import contextlib
import math
import time

from flamingolift_decisions import availability, backends, serverpaths

from flamingolift_front import bytestream, helperlist
from flamingolift_front.pathrecords import lost_services, note_connected

__all__ = ["watch_paths"]

PROBE_INTERVAL_S = 0.3
"""Mean interval between connects to the servers of a service that is cut off (s)."""
PROBE_TIMEOUT_S = 0.3
"""Longest time for such a connect (s)."""
MIN_PAUSE_S = 0.05
"""Shortest pause between such connects (s)."""
ASK_INTERVAL_S = 1.0
"""Mean interval between rounds of questions to other instances (s)."""
MAX_PROBED_SERVICES = 4
"""Services that are tried at the same time."""


async def watch_paths(front):
    """Tries a server of each service that is cut off until one is reached.

    Meanwhile it also asks other instances which services they serve.

    Args:
        front: Front.
    """
    while True:
        await front.helpers.wake.wait()
        front.helpers.wake.clear()
        try:
            await _watch_while_wanted(front)
        finally:
            helperlist.forget_all(front)


async def _watch_while_wanted(front):
    asked_at, probed = -math.inf, set()
    while helperlist.is_wanted(front):
        started = time.monotonic()
        services = lost_services(front)
        count = min(len(services), MAX_PROBED_SERVICES)
        steps = [
            _probe(front, service, probed)
            for service in front.rng.sample(services, count)
        ]
        if started >= asked_at + ASK_INTERVAL_S * front.rng.uniform(0.8, 1.2):
            asked_at = started
            steps.append(helperlist.ask_peers(front))
        await asyncio.gather(*steps)
        pause_s = PROBE_INTERVAL_S * front.rng.uniform(0.8, 1.2)
        if len(lost_services(front)) < len(services):
            # The other services have probably returned too.
            pause_s = MIN_PAUSE_S
        elapsed_s = time.monotonic() - started
        await asyncio.sleep(max(MIN_PAUSE_S, pause_s - elapsed_s))


async def _probe(front, service, probed):
    """Connects to a server of a service and closes the connection."""
    backend = _pick_server(front, service, probed)
    if backend is None:
        # The service was removed, or all its servers are leaving.
        for paths in (front.paths, front.connects):
            serverpaths.end_cut(paths, service)
        return
    entry = backend.entry
    with contextlib.suppress(OSError, TimeoutError):
        stream = await bytestream.connect(entry.host, entry.port, PROBE_TIMEOUT_S)
        front.pool.opened += 1
        bytestream.close(stream)
        note_connected(front, service)


def _pick_server(front, service, probed):
    """Returns a random Backend of a service, a cold one last; None for none.

    Args:
        front: Front.
        service: Service name.
        probed: Set of the ids of the servers tried in turn, which is updated.
    """
    view, now = front.view.backends, time.monotonic()
    usable = [
        backend
        for backend in view.by_service.get(service, ())
        if not availability.is_leaving(backend)
        and backend.entry.failure_domain not in view.evacuations
    ]
    warm = [backend for backend in usable if not backends.is_cold(backend, now)]
    candidates = warm or usable
    if not candidates:
        return None
    untried = [b for b in candidates if b.entry.server_id not in probed]
    if not untried:
        probed.difference_update(b.entry.server_id for b in candidates)
    backend = front.rng.choice(untried or candidates)
    probed.add(backend.entry.server_id)
    return backend
