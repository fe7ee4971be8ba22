"""News of the view, passed between instances.

An instance tells others what changed since a revision of the store. News are
taken over only when they are newer than the own view, by the store's revision.
"""

import asyncio
import urllib.parse

import msgpack
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy
from flamingolift_wire.codec import MAX_DOCUMENT_BYTES

from flamingolift_front import bytestream, httpcall
from flamingolift_front.eventlog import log_event
from flamingolift_front.responses import binary_answer, problem_response
from flamingolift_front.state import ViewChange
from flamingolift_front.viewsync import apply_changes, apply_snapshot

__all__ = [
    "News",
    "PeerError",
    "PeerLink",
    "answer_peer",
    "ask_peer",
    "close_link",
    "take_news",
]

CONNECT_TIMEOUT_S = 0.4
"""Longest time for a connection to a peer (s)."""
ANSWER_TIMEOUT_S = 0.8
"""Longest time for a peer's answer beyond the time that it may wait (s)."""
MAX_WAIT_S = 15.0
"""Longest time for which a peer's question waits for news (s), below the idle
timeout of its connection."""
MAX_NEWS_BYTES = 16 * MAX_DOCUMENT_BYTES
"""Largest news that are taken (bytes)."""
_CLASSES = {
    cls.__name__: cls
    for cls in (RoutingPolicy, Evacuation, BackendEntry, InstanceEntry)
}


class PeerError(Exception):
    """A peer did not answer, answered wrongly, or has no news to give."""


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


class News:
    """What a peer knows beyond a revision.

    Attributes:
        revision: Revision of the peer's view.
        whole: Whether `changes` is the whole view instead of the difference.
        changes: List of ViewChange.
    """

    __slots__ = ("changes", "revision", "whole")

    def __init__(self, revision, whole, changes):
        self.revision = revision
        self.whole = whole
        self.changes = changes


async def answer_peer(front, target):
    """Answers a peer's question for what is newer than a revision.

    Args:
        front: Front.
        target: Request target with the peer's revision in `after` and the time for
            which it waits in `wait_ms`.

    Returns:
        HttpResponse with the news; status 503 to a peer that would wait while the store
        does not answer this instance.
    """
    query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    after = _number(query, "after", -1)
    wait_s = min(MAX_WAIT_S, _number(query, "wait_ms", 0) / 1000.0)
    view = front.view
    if wait_s and view.revision is not None and view.revision <= after:
        await _wait_for_news(view, after, wait_s)
    if wait_s and (view.lost_at is not None or front.stopping):
        return problem_response(Fault(ResultCode.STORE_UNAVAILABLE, "no news to relay"))
    return binary_answer(200, msgpack.packb(_encode_news(view, after)))


def _number(query, name, default):
    text = query.get(name, "")
    return int(text) if text.isdigit() else default


async def _wait_for_news(view, after, wait_s):
    try:
        async with asyncio.timeout(wait_s):
            while view.revision is not None and view.revision <= after:
                if view.lost_at is not None:
                    return
                await view.changed.wait()
    except TimeoutError:
        return


def _encode_news(view, after):
    if view.revision is None:
        return [-1, False, []]
    if view.recent_from is not None and view.recent_from <= after:
        rows = [_encode_change(c) for c in view.recent if c.revision > after]
        return [view.revision, False, rows]
    rows = [
        _encode_change(ViewChange(key, document, view.revision))
        for key, document in view.keys.items()
    ]
    return [view.revision, True, rows]


def _encode_change(change):
    document = change.document
    name = "" if document is None else type(document).__name__
    return [change.key, name, to_plain(document), change.revision]


async def ask_peer(front, link, wait_s):
    """Asks a peer for news.

    Args:
        front: Front.
        link: PeerLink.
        wait_s: Time for which the peer may wait for news (s).

    Returns:
        News.

    Raises:
        PeerError: There is no usable answer.
    """
    try:
        async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S):
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
    answer = await httpcall.read_response(
        call, lambda _status, _headers: True, MAX_NEWS_BYTES
    )
    if answer.status != 200 or not answer.complete:
        raise httpcall.InvalidResponseError(f"status {answer.status}")
    if not httpcall.is_reusable(call):
        close_link(link)
    revision, whole, rows = msgpack.unpackb(answer.body)
    return News(revision, whole, [_decode_change(row) for row in rows])


def _decode_change(row):
    key, name, plain, revision = row
    if not name:
        return ViewChange(key, None, revision)
    built = from_plain(_CLASSES[name], plain) if name in _CLASSES else None
    if built is None or built.is_error():
        raise ValueError(f"{key!r:.80} is malformed")
    return ViewChange(key, built.ok, revision)


def take_news(front, news, peer):
    """Takes over a peer's news when they are newer than the own view.

    Args:
        front: Front.
        news: News.
        peer: Address of the peer, for the log.

    Returns:
        Whether the view changed.
    """
    view, own = front.view, front.view.revision
    if own is not None and news.revision <= own:
        return False
    if news.whole:
        apply_snapshot(front, news.changes, news.revision)
    elif own is None:
        return False
    else:
        fresh = [change for change in news.changes if change.revision > own]
        apply_changes(front, fresh, news.revision)
    if news.whole or view.lost_at is not None:
        log_event(
            front.log,
            "view_pulled",
            peer=f"{peer[0]}:{peer[1]}",
            revision=news.revision,
            before=own,
        )
    return True
