"""Keeps callers waiting while an instance reads its first view."""

import asyncio
import contextlib
import time

from flamingolift_decisions.fleetreturn import first_lookup_wait, first_request_wait

__all__ = ["wait_for_instances", "wait_for_policy"]


async def wait_for_policy(front, req):
    """Waits until a policy is in force, as long as the request may wait for it.

    Args:
        front: Front.
        req: CallerRequest.

    Returns:
        Whether a policy is in force.
    """
    wait_s = first_request_wait(front.started_at, req.deadline_at, time.monotonic())
    return await _wait_for(front.view, lambda: front.view.table is not None, wait_s)


async def wait_for_instances(front):
    """Waits until live instances are known, as long as a look-up may wait for them.

    Args:
        front: Front.

    Returns:
        Whether live instances are known.
    """
    wait_s = first_lookup_wait(front.started_at, time.monotonic())
    return await _wait_for(front.view, lambda: _has_live_instance(front.view), wait_s)


def _has_live_instance(view):
    return any(entry.state == "live" for entry in view.instances.values())


async def _wait_for(view, is_known, wait_s):
    """Waits for changes of a view until a function returns a true value."""
    if not is_known() and wait_s > 0.0:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not is_known():
                    await view.changed.wait()
    return is_known()
