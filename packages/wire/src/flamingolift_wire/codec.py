"""Msgpack encoding of messages and documents.

Decoding checks the size limits before it allocates memory.
"""

import msgpack
from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.peer import MESSAGES_BY_TAG

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "decode_document",
    "decode_message",
    "encode_document",
    "encode_message",
]

MAX_DOCUMENT_BYTES = 1_048_576
"""Size limit of a value in the store, and therefore of a document (bytes)."""
MAX_CONTAINER_ENTRIES = 65_536
"""Size limit of one list or map in a message or document (entries)."""


def encode_document(record):
    """Returns a record's msgpack form (bytes)."""
    return msgpack.packb(to_plain(record))


def _unpack(data, max_bytes):
    return msgpack.unpackb(
        data,
        raw=False,
        strict_map_key=True,
        max_str_len=max_bytes,
        max_bin_len=max_bytes,
        max_array_len=MAX_CONTAINER_ENTRIES,
        max_map_len=MAX_CONTAINER_ENTRIES,
        max_ext_len=0,
    )


def decode_document(cls, data) -> Result:
    """Decodes and checks a document.

    Args:
        cls: Generated class of the document.
        data: msgpack form (bytes).

    Returns:
        Ok with the record, or Error with a Fault.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return Error(
            Fault(
                ResultCode.TOO_LARGE,
                f"document of {len(data)} bytes exceeds the size limit",
            )
        )
    try:
        value = _unpack(data, MAX_DOCUMENT_BYTES)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        return Error(Fault(ResultCode.PEER_FRAME, f"not msgpack: {exc}"))
    return from_plain(cls, value).map_error(
        lambda faults: Fault(ResultCode.PEER_FRAME, faults[0].detail)
    )


def encode_message(message, call_id=0, reply_to=0):
    """Encodes a message between instances.

    Args:
        message: Record with a TAG.
        call_id: Id that the reply has to carry; 0 when no reply is expected.
        reply_to: Id of the call that this message answers; 0 for none.

    Returns:
        Frame body (bytes).
    """
    return msgpack.packb([message.TAG, call_id, reply_to, to_plain(message)])


def decode_message(data) -> Result:
    """Decodes and checks a message between instances.

    Args:
        data: Frame body (bytes), whose size the frame reader has checked.

    Returns:
        Ok with the tuple (message, call_id, reply_to), or Error with a Fault.
    """
    try:
        parts = _unpack(data, len(data))
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        return Error(Fault(ResultCode.PEER_FRAME, f"not msgpack: {exc}"))
    if not isinstance(parts, list) or len(parts) != 4:
        return Error(
            Fault(
                ResultCode.PEER_FRAME,
                "message is not a list of tag, call id, reply id and fields",
            )
        )
    tag, call_id, reply_to, value = parts
    cls = MESSAGES_BY_TAG.get(tag) if isinstance(tag, int) else None
    if cls is None or not isinstance(call_id, int) or not isinstance(reply_to, int):
        return Error(
            Fault(
                ResultCode.PEER_FRAME,
                f"unknown message tag or malformed id; tag {tag!r:.20}",
            )
        )
    built = from_plain(cls, value)
    if built.is_error():
        return Error(Fault(ResultCode.PEER_FRAME, built.error[0].detail))
    return Ok((built.ok, call_id, reply_to))
