"""Answers the requests of other instances for the changes of the view.

An instance sends its peers the changes since a given revision of the store, and says
how old its own view may be.
"""

import asyncio
import contextlib
import math
import time
import urllib.parse

from flamingolift_model import Fault, ResultCode

from flamingolift_front import httpcall
from flamingolift_front.eventlog import LARGE_MESSAGE_BYTES, log_event
from flamingolift_front.peersync import MAX_WAIT_S
from flamingolift_front.responses import binary_response, problem_response
from flamingolift_front.viewage import note_claim
from flamingolift_front.viewproof import RELAY_GRACE_S, renew_proof
from flamingolift_front.viewupdates import encode_update

__all__ = ["serve_view"]


async def serve_view(front, target):
    """Answers a peer's request for the changes since a revision.

    Args:
        front: Front.
        target: Request target with the peer's revision in `after`, the time for which
            it waits in `wait_ms`, in `max_bytes` the size from which changes are only
            announced, and in `max_age_ms` the largest age that the view may have.

    Returns:
        HttpResponse with the update; status 503 when the view has no changes, is older
        and cannot be proven to be recent, and to a peer that long-polls while the store
        has been unavailable to this instance for `RELAY_GRACE_S`, or the instance is
        stopping.
    """
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    after = _int_parameter(query, "after", -1)
    wait_s = min(MAX_WAIT_S, _int_parameter(query, "wait_ms", 0) / 1000.0)
    view = front.view
    if view.revision is not None and after > view.revision:
        note_claim(view, after)
    if wait_s and view.revision is not None and view.revision <= after:
        await _wait_for_change(view, after, wait_s)
    if wait_s and (_grace_left(view) <= 0.0 or front.stopping):
        return problem_response(
            Fault(ResultCode.STORE_UNAVAILABLE, "no updates to relay")
        )
    max_age_ms = _int_parameter(query, "max_age_ms", None)
    # Changes are worth telling whatever their age.
    needs_proof = max_age_ms is not None and (view.revision or -1) <= after
    if needs_proof and not await renew_proof(front, max_age_ms / 1000.0):
        return problem_response(
            Fault(ResultCode.STORE_UNAVAILABLE, "the view may be out of date")
        )
    max_bytes = _int_parameter(query, "max_bytes", 0)
    return binary_response(200, _encode_response(front, after, max_bytes))


def _encode_response(front, after, max_bytes):
    started = time.monotonic()
    body = encode_update(front.view, after, max_bytes)
    front.metrics.peer_bytes.labels("sent").inc(len(body))
    if len(body) >= LARGE_MESSAGE_BYTES:
        log_event(
            front.log,
            "update_encoded",
            revision=front.view.revision,
            after=after,
            bytes=len(body),
            encode_ms=round((time.monotonic() - started) * 1000.0, 1),
        )
    return body


def _int_parameter(query, name, default):
    value = httpcall.parse_count(query.get(name, ""))
    return default if value is None else value


async def _wait_for_change(view, after, wait_s):
    deadline = time.monotonic() + wait_s
    while view.revision is not None and view.revision <= after:
        remaining_s = min(deadline - time.monotonic(), _grace_left(view))
        if remaining_s <= 0.0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                await view.changed.wait()


def _grace_left(view):
    """Returns for how long peers are still kept without the store (s)."""
    if view.store_failed_at is None:
        return math.inf
    return view.store_failed_at + RELAY_GRACE_S - time.monotonic()
