"""Encoding between processes: frames, keys, idempotency keys, policy text."""

from flamingolift_wire.codec import (
    decode_document,
    decode_message,
    encode_document,
    encode_message,
)
from flamingolift_wire.frames import FrameState, encode_frame, read_frame
from flamingolift_wire.idempotency import issue_idempotency_key, parse_idempotency_key
from flamingolift_wire.keys import KeyRing, parse_key_ring
from flamingolift_wire.policytext import TextFault, parse_policy

__all__ = [
    "FrameState",
    "KeyRing",
    "TextFault",
    "decode_document",
    "decode_message",
    "encode_document",
    "encode_frame",
    "encode_message",
    "issue_idempotency_key",
    "parse_idempotency_key",
    "parse_key_ring",
    "parse_policy",
    "read_frame",
]
