"""Requests for view updates to other instances.

An update is applied only when its revision is newer than that of the instance's view.
"""

import asyncio
import time

from flamingolift_front import bytestream, httpcall, peerlink
from flamingolift_front.eventlog import LARGE_MESSAGE_BYTES, log_event
from flamingolift_front.viewage import note_proof, view_time
from flamingolift_front.viewsync import apply_changes, apply_snapshot
from flamingolift_front.viewupdates import decode_update

__all__ = [
    "INLINE_BYTES",
    "MAX_WAIT_S",
    "apply_update",
    "fetch_update",
]

INLINE_BYTES = 8192
"""Size of the changes from which a relay only announces them (bytes): smaller ones take
less time than a second request."""
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


async def fetch_update(
    front,
    link,
    wait_s,
    max_bytes=0,
    on_progress=None,
    margin_s=RESPONSE_TIMEOUT_S,
    max_age_s=None,
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
        max_age_s: Largest age that the peer's view may have (s), or None for any.

    Returns:
        ViewUpdate. What it proves about the store is recorded.

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
                return await _exchange(front, link, wait_s, max_bytes, max_age_s)
            finally:
                stream.on_data = None


def _elapsed_ms(started):
    return round((time.monotonic() - started) * 1000.0, 1)


async def _exchange(front, link, wait_s, max_bytes, max_age_s):
    known = front.view.revision
    after = "" if known is None else known
    query = f"after={after}&wait_ms={int(wait_s * 1000)}&max_bytes={max_bytes}"
    if max_age_s is not None:
        query += f"&max_age_ms={int(max_age_s * 1000)}"
    sent_at = view_time()
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
    if update.proof_age_s is not None:
        # The response may have been held up on its way.
        now = view_time()
        written_at = min(now, sent_at + wait_s)
        note_proof(front.view, update.revision, written_at - update.proof_age_s, now)
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
