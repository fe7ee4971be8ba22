"""Exchange of view updates between instances.

An instance sends its peers the changes since a given revision of the store. An
update is applied only when its revision is newer than that of the instance's view.
"""

import asyncio
import time
import urllib.parse

import msgpack
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy
from flamingolift_wire.codec import MAX_DOCUMENT_BYTES

from flamingolift_front import bytestream, httpcall
from flamingolift_front.eventlog import LARGE_MESSAGE_BYTES, log_event
from flamingolift_front.responses import binary_response, problem_response
from flamingolift_front.state import ViewChange
from flamingolift_front.viewsync import apply_changes, apply_snapshot

__all__ = [
    "PeerError",
    "PeerLink",
    "ViewUpdate",
    "apply_update",
    "close_link",
    "fetch_update",
    "link_name",
    "serve_view",
]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a peer (s)."""
RESPONSE_TIMEOUT_S = 0.8
"""Longest time for a peer's response beyond the wait that it was granted (s)."""
MAX_WAIT_S = 15.0
"""Longest time for which a peer's request waits for changes (s), below the idle
timeout of its connection."""
MAX_UPDATE_BYTES = 16 * MAX_DOCUMENT_BYTES
"""Largest update that is accepted (bytes)."""
_DOCUMENT_CLASSES = {
    cls.__name__: cls
    for cls in (RoutingPolicy, Evacuation, BackendEntry, InstanceEntry)
}


class PeerError(Exception):
    """A peer did not respond, sent an invalid response, or has no update to offer."""


class PeerLink:
    """Connection to a peer.

    Attributes:
        address: (host, port) of the peer.
        stream: ByteStream, or None while there is none.
    """

    __slots__ = ("address", "stream")

    def __init__(self, address):
        self.address = address
        self.stream = None


class ViewUpdate:
    """Changes of a peer's view since a revision.

    Attributes:
        revision: Revision of the peer's view.
        is_snapshot: Whether `changes` holds the whole view instead of the difference.
        changes: List of ViewChange.
    """

    __slots__ = ("changes", "is_snapshot", "revision")

    def __init__(self, revision, is_snapshot, changes):
        self.revision = revision
        self.is_snapshot = is_snapshot
        self.changes = changes


async def serve_view(front, target):
    """Answers a peer's request for the changes since a revision.

    Args:
        front: Front.
        target: Request target with the peer's revision in `after` and the time for
            which it waits in `wait_ms`.

    Returns:
        HttpResponse with the update; status 503 to a peer that long-polls while the
        store is unavailable to this instance or the instance is stopping.
    """
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    after = _int_parameter(query, "after", -1)
    wait_s = min(MAX_WAIT_S, _int_parameter(query, "wait_ms", 0) / 1000.0)
    view = front.view
    if wait_s and view.revision is not None and view.revision <= after:
        await _wait_for_change(view, after, wait_s)
    if wait_s and (view.store_failed_at is not None or front.stopping):
        return problem_response(
            Fault(ResultCode.STORE_UNAVAILABLE, "no updates to relay")
        )
    return binary_response(200, _pack_update(front, after))


def _pack_update(front, after):
    started = time.monotonic()
    body = msgpack.packb(_encode_update(front.view, after))
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
    text = query.get(name, "")
    return int(text) if text.isdigit() else default


async def _wait_for_change(view, after, wait_s):
    try:
        async with asyncio.timeout(wait_s):
            while view.revision is not None and view.revision <= after:
                if view.store_failed_at is not None:
                    return
                await view.changed.wait()
    except TimeoutError:
        return


def _encode_update(view, after):
    if view.revision is None:
        return [-1, False, []]
    if view.recent_after is not None and view.recent_after <= after:
        rows = [_encode_change(c) for c in view.recent_changes if c.revision > after]
        return [view.revision, False, rows]
    rows = [
        _encode_change(ViewChange(key, document, view.revision))
        for key, document in view.documents.items()
    ]
    return [view.revision, True, rows]


def _encode_change(change):
    document = change.document
    name = "" if document is None else type(document).__name__
    return [change.key, name, to_plain(document), change.revision]


async def fetch_update(front, link, wait_s):
    """Requests an update from a peer.

    Args:
        front: Front.
        link: PeerLink.
        wait_s: Time for which the peer may wait for changes (s).

    Returns:
        ViewUpdate.

    Raises:
        PeerError: There is no usable response.
    """
    try:
        async with asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S):
            if link.stream is None or link.stream.ended:
                link.stream = await bytestream.connect(
                    *link.address, CONNECT_TIMEOUT_S, keepalive=True
                )
            return await _exchange(front, link, wait_s)
    except (
        OSError,
        TimeoutError,
        ValueError,
        TypeError,
        msgpack.UnpackException,
        httpcall.InvalidResponseError,
    ) as exc:
        close_link(link)
        raise PeerError(f"{type(exc).__name__} {exc}") from exc
    except asyncio.CancelledError:
        close_link(link)
        raise


def link_name(link):
    """Returns the address of a peer as host:port."""
    return f"{link.address[0]}:{link.address[1]}"


def close_link(link):
    """Closes the connection to a peer."""
    if link.stream is not None:
        bytestream.abort(link.stream)
        link.stream = None


async def _exchange(front, link, wait_s):
    known = front.view.revision
    after = "" if known is None else known
    target = f"/view?after={after}&wait_ms={int(wait_s * 1000)}".encode()
    headers = [(b"Host", link.address[0].encode())]
    call = httpcall.open_call(link.stream, b"GET", target, headers, b"")
    await bytestream.wait_readable(link.stream)
    began = time.monotonic()
    response = await httpcall.read_response(
        call, lambda _status, _headers: True, MAX_UPDATE_BYTES
    )
    if response.status != 200 or not response.complete:
        raise httpcall.InvalidResponseError(f"status {response.status}")
    if not httpcall.is_reusable(call):
        close_link(link)
    received = time.monotonic()
    revision, is_snapshot, rows = msgpack.unpackb(response.body)
    update = ViewUpdate(revision, is_snapshot, [_decode_change(row) for row in rows])
    front.metrics.peer_bytes.labels("received").inc(len(response.body))
    if len(response.body) >= LARGE_MESSAGE_BYTES:
        log_event(
            front.log,
            "update_received",
            peer=link_name(link),
            revision=revision,
            before=known,
            bytes=len(response.body),
            transfer_ms=round((received - began) * 1000.0, 1),
            decode_ms=_elapsed_ms(received),
        )
    return update


def _decode_change(row):
    key, name, plain, revision = row
    if not name:
        return ViewChange(key, None, revision)
    built = (
        from_plain(_DOCUMENT_CLASSES[name], plain)
        if name in _DOCUMENT_CLASSES
        else None
    )
    if built is None or built.is_error():
        raise ValueError(f"{key!r:.80} is malformed")
    return ViewChange(key, built.ok, revision)


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
    if update.is_snapshot:
        apply_snapshot(front, update.changes, update.revision, peer)
    elif own_revision is None:
        return False
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
