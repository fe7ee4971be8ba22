"""Encoding of view updates between instances.

A document is packed and compressed once, whatever the number of peers that get it. An
update that is larger than the peer asked for is announced instead of sent.
"""

import zlib

import msgpack
from flamingolift_model import from_plain, to_plain
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy
from flamingolift_model.viewupdate import PackedChange, PackedUpdate

from flamingolift_front.state import PackedDocument, ViewChange

__all__ = ["ViewUpdate", "decode_update", "encode_update"]

MAX_DOCUMENT_BYTES = 1 << 24
"""Largest msgpack form of one document (bytes): a value of the store, limited to 1 MB,
grows several times when its column names are repeated."""
COMPRESS_FROM_BYTES = 2048
"""Size from which a document is compressed (bytes)."""
COMPRESSION_LEVEL = 1
"""zlib level: the fastest, since instances have little processor time."""
ROW_OVERHEAD_BYTES = 64
"""Size of a change in an update beyond its key and body (bytes)."""
_DOCUMENT_CLASSES = {
    cls.__name__: cls
    for cls in (RoutingPolicy, Evacuation, BackendEntry, InstanceEntry)
}


class ViewUpdate:
    """Changes of a peer's view since a revision.

    Attributes:
        revision: Revision of the peer's view.
        is_snapshot: Whether `changes` holds the whole view instead of the difference.
        announced_bytes: Size of the changes when they were left out (bytes), else 0.
        changes: List of ViewChange.
    """

    __slots__ = ("announced_bytes", "changes", "is_snapshot", "revision")

    def __init__(self, revision, is_snapshot, announced_bytes, changes):
        self.revision = revision
        self.is_snapshot = is_snapshot
        self.announced_bytes = announced_bytes
        self.changes = changes


def encode_update(view, after, max_bytes):
    """Encodes the changes of a view since a revision.

    Args:
        view: View.
        after: Revision of the peer's view.
        max_bytes: Size of the changes from which they are only announced (bytes); 0
            for no limit.

    Returns:
        msgpack form of a PackedUpdate (bytes).
    """
    if view.revision is None:
        return _pack_update(PackedUpdate(revision=-1))
    is_snapshot = view.recent_after is None or view.recent_after > after
    if is_snapshot:
        changes = [
            ViewChange(key, document, view.revision)
            for key, document in view.documents.items()
        ]
    else:
        changes = [c for c in view.recent_changes if c.revision > after]
    packed = [_pack_change(view, change) for change in changes]
    size = sum(len(c.key) + len(c.body) + ROW_OVERHEAD_BYTES for c in packed)
    announced_bytes = size if max_bytes and size > max_bytes else 0
    update = PackedUpdate(
        revision=view.revision,
        is_snapshot=is_snapshot,
        announced_bytes=announced_bytes,
        changes=[] if announced_bytes else packed,
    )
    return _pack_update(update)


def _pack_update(update):
    return msgpack.packb(to_plain(update))


def _pack_change(view, change):
    key, document = change.key, change.document
    if document is None:
        return PackedChange(key=key, revision=change.revision, body=b"")
    packed = view.packed.get(key)
    if packed is None or packed.document is not document:
        packed = _pack_document(document)
        if view.documents.get(key) is document:
            view.packed[key] = packed
    return PackedChange(
        key=key,
        kind=type(document).__name__,
        revision=change.revision,
        compressed=packed.compressed,
        body=packed.body,
    )


def _pack_document(document):
    body = msgpack.packb(to_plain(document))
    compressed = len(body) >= COMPRESS_FROM_BYTES
    if compressed:
        body = zlib.compress(body, COMPRESSION_LEVEL)
    return PackedDocument(document, compressed, body)


def decode_update(data, own_revision):
    """Decodes an update.

    Args:
        data: msgpack form of a PackedUpdate (bytes).
        own_revision: Revision of the receiver's view, or None. Changes up to it are
            left out, and so are all changes of an update that is not newer.

    Returns:
        ViewUpdate.

    Raises:
        ValueError: The update or a document in it is malformed or too large.
    """
    built = from_plain(PackedUpdate, msgpack.unpackb(data))
    if built.is_error():
        raise ValueError(f"malformed update: {built.error[0].detail}")
    update = built.ok
    known = -1 if own_revision is None else own_revision
    changes = []
    if update.revision > known:
        changes = [
            _unpack_change(change)
            for change in update.changes
            if update.is_snapshot or change.revision > known
        ]
    return ViewUpdate(
        update.revision, update.is_snapshot, update.announced_bytes, changes
    )


def _unpack_change(change):
    if not change.kind:
        return ViewChange(change.key, None, change.revision)
    cls = _DOCUMENT_CLASSES.get(change.kind)
    if cls is None:
        raise ValueError(f"{change.key!r:.80} has an unknown class")
    body = _decompress(change.body) if change.compressed else change.body
    built = from_plain(cls, msgpack.unpackb(body))
    if built.is_error():
        raise ValueError(f"{change.key!r:.80} is malformed: {built.error[0].detail}")
    return ViewChange(change.key, built.ok, change.revision)


def _decompress(body):
    """Decompresses a document without allocating more than its size limit."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"not zlib data: {exc}") from exc
    if not decompressor.eof:
        raise ValueError("a compressed document is cut short or too large")
    return data
