"""Watches for the return of paths to the backend servers while there is none."""

import asyncio
import contextlib
import time

from flamingolift_decisions import backends, serverpaths

from flamingolift_front import bytestream
from flamingolift_front.pathrecords import note_reached

__all__ = ["watch_paths"]

PROBE_INTERVAL_S = 0.3
"""Mean interval between connects to the servers of a service that is cut off (s)."""
PROBE_TIMEOUT_S = 0.3
"""Longest time for such a connect (s)."""
MIN_PAUSE_S = 0.05
"""Shortest pause between such connects (s)."""
MAX_PROBED_SERVICES = 4
"""Services that are tried at the same time."""


async def watch_paths(front):
    """Tries a server of each service that is cut off until one is reached.

    Args:
        front: Front.
    """
    while True:
        await front.cut_off.wait()
        front.cut_off.clear()
        while services := serverpaths.cut_off_services(front.paths):
            started = time.monotonic()
            count = min(len(services), MAX_PROBED_SERVICES)
            probed = front.rng.sample(services, count)
            await asyncio.gather(*(_probe(front, service) for service in probed))
            pause_s = PROBE_INTERVAL_S * front.rng.uniform(0.8, 1.2)
            elapsed_s = time.monotonic() - started
            await asyncio.sleep(max(MIN_PAUSE_S, pause_s - elapsed_s))


async def _probe(front, service):
    """Connects to a server of a service and closes the connection."""
    backend = _pick_server(front, service)
    if backend is None:
        # The service was removed, or all its servers are leaving.
        front.paths.cut_off_at.pop(service, None)
        return
    entry = backend.entry
    with contextlib.suppress(OSError, TimeoutError):
        stream = await bytestream.connect(entry.host, entry.port, PROBE_TIMEOUT_S)
        front.pool.opened += 1
        bytestream.close(stream)
        note_reached(front, service)


def _pick_server(front, service):
    """Returns a random Backend of a service, a cold one last; None for none."""
    view, now = front.view.backends, time.monotonic()
    usable = [
        backend
        for backend in view.by_service.get(service, ())
        if backend.entry.state != "leaving"
        and backend.entry.failure_domain not in view.evacuations
    ]
    warm = [backend for backend in usable if not backends.is_cold(backend, now)]
    candidates = warm or usable
    return front.rng.choice(candidates) if candidates else None
