"""Exchange of view updates between instances.

An instance sends its peers the changes since a given revision of the store. An
update is applied only when its revision is newer than that of the instance's view.
"""

import asyncio
import contextlib
import math
import time
import urllib.parse

from flamingolift_model import Fault, ResultCode

from flamingolift_front import bytestream, httpcall, peerlink
from flamingolift_front.eventlog import LARGE_MESSAGE_BYTES, log_event
from flamingolift_front.responses import binary_response, problem_response
from flamingolift_front.viewsync import apply_changes, apply_snapshot
from flamingolift_front.viewupdates import decode_update, encode_update

__all__ = [
    "RELAY_GRACE_S",
    "apply_update",
    "fetch_update",
    "serve_view",
]

RELAY_GRACE_S = 0.6
"""Time for which an instance that lost the store keeps the peers that wait for its
updates (s): a watch that was cut is repeated and the view read within that time. All
relays lose their watches at once when the store does, and all followers of a region
would read the store instead."""
RESPONSE_TIMEOUT_S = 0.8
"""Longest time for a peer's response beyond the wait that it was granted (s)."""
TRANSFER_IDLE_S = 1.0
"""Longest pause within a peer's response (s): several retransmissions."""
TRANSFER_TIMEOUT_S = 10.0
"""Longest time for a peer's response in all, beyond the wait that it was granted (s):
the largest update on a slow link that also carries callers' requests."""
MAX_WAIT_S = 15.0
"""Longest time for which a peer's request waits for changes (s), below the idle
timeout of its connection."""
MAX_UPDATE_BYTES = 4 << 20
"""Largest update that is accepted (bytes). It is compressed, and four peers may send
one at the same time, while each is held twice."""


async def serve_view(front, target):
    """Answers a peer's request for the changes since a revision.

    Args:
        front: Front.
        target: Request target with the peer's revision in `after`, the time for which
            it waits in `wait_ms`, and in `max_bytes` the size from which changes are
            only announced.

    Returns:
        HttpResponse with the update; status 503 to a peer that long-polls while the
        store has been unavailable to this instance for `RELAY_GRACE_S`, or the
        instance is stopping.
    """
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    after = _int_parameter(query, "after", -1)
    wait_s = min(MAX_WAIT_S, _int_parameter(query, "wait_ms", 0) / 1000.0)
    view = front.view
    if wait_s and view.revision is not None and view.revision <= after:
        await _wait_for_change(view, after, wait_s)
    if wait_s and (_grace_left(view) <= 0.0 or front.stopping):
        return problem_response(
            Fault(ResultCode.STORE_UNAVAILABLE, "no updates to relay")
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
            encode_ms=_elapsed_ms(started),
        )
    return body


def _elapsed_ms(started):
    return round((time.monotonic() - started) * 1000.0, 1)


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


async def fetch_update(
    front, link, wait_s, max_bytes=0, on_progress=None, margin_s=RESPONSE_TIMEOUT_S
):
    """Requests an update from a peer.

    Args:
        front: Front.
        link: PeerLink.
        wait_s: Time for which the peer may wait for changes (s).
        max_bytes: Size of the changes from which the peer only announces them
            (bytes); 0 for no limit.
        on_progress: Function called with the number of bytes of the response that
            arrived, or None.
        margin_s: Longest time for the response to begin beyond that wait (s).

    Returns:
        ViewUpdate.

    Raises:
        PeerError: There is no usable response.
    """
    with peerlink.failures_as_peer_errors(link):
        async with asyncio.timeout(wait_s + margin_s) as timer:
            stream = await peerlink.open_link(link)
            bytestream.extend_while_receiving(
                stream, timer, TRANSFER_IDLE_S, wait_s + TRANSFER_TIMEOUT_S, on_progress
            )
            try:
                return await _exchange(front, link, wait_s, max_bytes)
            finally:
                stream.on_data = None


async def _exchange(front, link, wait_s, max_bytes):
    known = front.view.revision
    after = "" if known is None else known
    query = f"after={after}&wait_ms={int(wait_s * 1000)}&max_bytes={max_bytes}"
    call = peerlink.open_get(link, f"/view?{query}")
    await bytestream.wait_readable(link.stream)
    began = time.monotonic()
    response = await httpcall.read_response(call, httpcall.accept_any, MAX_UPDATE_BYTES)
    if not response.complete:
        limit = f"an update of more than {MAX_UPDATE_BYTES} bytes"
        raise httpcall.InvalidResponseError(limit)
    if response.status != 200:
        raise httpcall.InvalidResponseError(f"status {response.status}")
    if not httpcall.is_reusable(call):
        peerlink.close_link(link)
    received = time.monotonic()
    update = decode_update(response.body, front.view.revision)
    front.metrics.peer_bytes.labels("received").inc(len(response.body))
    if len(response.body) >= LARGE_MESSAGE_BYTES:
        log_event(
            front.log,
            "update_received",
            peer=peerlink.link_name(link),
            revision=update.revision,
            before=known,
            bytes=len(response.body),
            transfer_ms=round((received - began) * 1000.0, 1),
            decode_ms=_elapsed_ms(received),
        )
    return update


def apply_update(front, update, peer):
    """Applies a peer's update when it is newer than the instance's own view.

    Args:
        front: Front.
        update: ViewUpdate.
        peer: Address of the peer as host:port, for the log.

    Returns:
        Whether the view changed.
    """
    view, own_revision = front.view, front.view.revision
    if own_revision is not None and update.revision <= own_revision:
        return False
    if own_revision is None and not update.is_snapshot:
        return False
    for key, revision, detail in update.malformed:
        log_event(
            front.log, "item_malformed", key=key, revision=revision, detail=detail
        )
    if update.is_snapshot:
        apply_snapshot(front, update.changes, update.revision, peer)
    else:
        fresh = [change for change in update.changes if change.revision > own_revision]
        apply_changes(front, fresh, update.revision, peer)
    if update.is_snapshot or view.store_failed_at is not None:
        log_event(
            front.log,
            "view_pulled",
            peer=peer,
            revision=update.revision,
            before=own_revision,
        )
    return True
