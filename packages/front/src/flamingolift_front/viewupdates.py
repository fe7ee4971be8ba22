"""Encoding of view updates between instances.

A document is packed and compressed once, whatever the number of peers that get it. An
update that is larger than the peer asked for is announced instead of sent.
"""

import math
import zlib

import msgpack
from flamingolift_model import from_plain, to_plain
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy
from flamingolift_model.viewupdate import PackedChange, PackedUpdate

from flamingolift_front.state import EncodedUpdate, PackedDocument, ViewChange
from flamingolift_front.viewage import view_age_ms
from flamingolift_front.viewsync import UNREADABLE

__all__ = ["ViewUpdate", "decode_update", "encode_update"]

MAX_UNPACKED_BYTES = 8 << 20
"""Largest sum of the msgpack forms that are decompressed for one update (bytes). A
value of the store, limited to 1 MB, grows several times when its column names are
repeated; an update holds one such value and the entries of the fleet."""
MAX_VALUES_BYTES = 40_000_000
"""Estimated memory of the values of one update (bytes), a quarter of the memory of the
smallest instances; twice that of a policy of 9,000 routes and 6,400 entries."""
CONTAINER_BYTES = 80
"""Estimated memory of a list or map without its elements (bytes)."""
ELEMENT_BYTES = 40
"""Estimated memory of an element of a list or map (bytes)."""
MAX_CONTAINER_VALUES = 1 << 16
"""Most values of one list or map, whose memory is allocated before they are read."""
COMPRESS_FROM_BYTES = 2048
"""Size from which a document, or the documents of an update, are compressed (bytes)."""
COMPRESSION_LEVEL = 1
"""zlib level: the fastest, since instances have little processor time."""
_DOCUMENT_CLASSES = {
    cls.__name__: cls
    for cls in (RoutingPolicy, Evacuation, BackendEntry, InstanceEntry)
}


class ViewUpdate:
    """Changes of a peer's view since a revision.

    Attributes:
        revision: Revision of the peer's view.
        is_snapshot: Whether `changes` holds the whole view instead of the difference.
        proof_age_s: Age of the peer's proof that its view lacked nothing (s), or None.
        announced_bytes: Size of the changes when they were left out (bytes), else 0.
        changes: List of ViewChange. The document of one that cannot be used is None
            for a server; otherwise it is `UNREADABLE` in a snapshot, and the change is
            left out of a difference.
        malformed: List of (key, revision, detail) of the changes that cannot be used.
    """

    __slots__ = (
        "announced_bytes",
        "changes",
        "is_snapshot",
        "malformed",
        "proof_age_s",
        "revision",
    )

    def __init__(
        self, revision, proof_age_s, is_snapshot, announced_bytes, changes, malformed
    ):
        self.revision = revision
        self.proof_age_s = proof_age_s
        self.is_snapshot = is_snapshot
        self.announced_bytes = announced_bytes
        self.changes = changes
        self.malformed = malformed


class _Allowance:
    """What may still be unpacked for one update.

    Attributes:
        size: Bytes that may still be decompressed.
        values_bytes: Estimated memory that the values may still take (bytes).
    """

    __slots__ = ("size", "values_bytes")

    def __init__(self):
        self.size = MAX_UNPACKED_BYTES
        self.values_bytes = MAX_VALUES_BYTES


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
        return _pack_record(PackedUpdate(revision=-1, changes=b""))
    if view.encoded is None or view.encoded.after != after:
        view.encoded = EncodedUpdate(after, _build_update(view, after))
    built = view.encoded.update
    size = len(built.changes)
    is_announced = bool(max_bytes) and size > max_bytes
    update = PackedUpdate(
        revision=built.revision,
        proof_age_ms=math.ceil(view_age_ms(view)),
        is_snapshot=built.is_snapshot,
        announced_bytes=size if is_announced else 0,
        compressed=built.compressed and not is_announced,
        changes=b"" if is_announced else built.changes,
    )
    return _pack_record(update)


def _build_update(view, after):
    is_snapshot = view.recent_after is None or view.recent_after > after
    if is_snapshot:
        changes = [
            ViewChange(key, document, view.revision)
            for key, document in view.documents.items()
            if key not in view.pending_removals
        ]
    else:
        changes = [c for c in view.recent_changes if c.revision > after]
    packed = [_pack_change(view, change) for change in changes]
    body = msgpack.packb(to_plain(packed))
    compressible = sum(len(c.body) for c in packed if not c.compressed)
    compressed = compressible >= COMPRESS_FROM_BYTES
    if compressed:
        body = zlib.compress(body, COMPRESSION_LEVEL)
    return PackedUpdate(
        revision=view.revision,
        is_snapshot=is_snapshot,
        compressed=compressed,
        changes=body,
    )


def _pack_record(record):
    return msgpack.packb(to_plain(record))


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
        ValueError: The update is malformed, or a document in it is damaged or too
            large. A document that breaks a rule of its class fails only its change.
    """
    allowance = _Allowance()
    update = _build(PackedUpdate, _unpack(data, allowance))
    known = -1 if own_revision is None else own_revision
    changes, malformed = [], []
    if update.revision > known and update.changes:
        body = update.changes
        if update.compressed:
            body = _decompress(body, allowance)
        packed = [_build(PackedChange, row) for row in _unpack(body, allowance)]
        changes = [
            _unpack_change(change, allowance, malformed)
            for change in packed
            if update.is_snapshot or change.revision > known
        ]
        if not update.is_snapshot:
            changes = [c for c in changes if c.document is not UNREADABLE]
    proof_age_s = None if update.proof_age_ms < 0 else update.proof_age_ms / 1000.0
    return ViewUpdate(
        update.revision,
        proof_age_s,
        update.is_snapshot,
        update.announced_bytes,
        changes,
        malformed,
    )


def _build(cls, plain):
    built = from_plain(cls, plain)
    if built.is_error():
        raise ValueError(f"malformed {cls.__name__}: {built.error[0].detail}")
    return built.ok


def _unpack_change(change, allowance, malformed):
    """Returns the ViewChange of a PackedChange, and records one that cannot be used."""
    key, revision = change.key, change.revision
    if not change.kind:
        return ViewChange(key, None, revision)
    cls = _DOCUMENT_CLASSES.get(change.kind)
    if cls is None:
        malformed.append((key, revision, f"unknown class {change.kind}"))
        return ViewChange(key, UNREADABLE, revision)
    body = change.body
    if change.compressed:
        body = _decompress(body, allowance)
    built = from_plain(cls, _unpack(body, allowance))
    if built.is_ok():
        return ViewChange(key, built.ok, revision)
    malformed.append((key, revision, built.error[0].detail))
    return ViewChange(key, None if cls is BackendEntry else UNREADABLE, revision)


def _decompress(body, allowance):
    """Decompresses data without allocating more than is allowed."""
    decompressor = zlib.decompressobj()
    try:
        # A size of 0 stands for no limit.
        data = decompressor.decompress(body, max(1, allowance.size))
    except zlib.error as exc:
        raise ValueError(f"not zlib data: {exc}") from exc
    if not decompressor.eof:
        raise ValueError("compressed data is cut short or too large")
    allowance.size -= len(data)
    return data


def _unpack(data, allowance):
    """Decodes msgpack data without building more values than are allowed."""

    def count(container):
        allowance.values_bytes -= CONTAINER_BYTES + ELEMENT_BYTES * len(container)
        if allowance.values_bytes < 0:
            raise ValueError(f"values of more than {MAX_VALUES_BYTES} bytes")
        return container

    return msgpack.unpackb(
        data,
        list_hook=count,
        object_hook=count,
        max_array_len=MAX_CONTAINER_VALUES,
        max_map_len=MAX_CONTAINER_VALUES,
    )
