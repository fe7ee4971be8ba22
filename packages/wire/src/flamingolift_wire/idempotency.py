"""Signed idempotency keys that name the home and the witness of a booking."""

import base64
import binascii
import secrets

import msgpack
from expression import Error, Ok, Result
from flamingolift_decisions.bookings import KeyFacts
from flamingolift_model import Fault, ResultCode

from flamingolift_wire.keys import TAG_BYTES, compute_auth_tag, equal_in_constant_time

__all__ = ["issue_idempotency_key", "parse_idempotency_key"]

KEY_VERSION = 1
MAX_KEY_CHARS = 512
RANDOM_BYTES = 9


def issue_idempotency_key(ring, facts):
    """Issues an idempotency key.

    Args:
        ring: KeyRing for idempotency keys.
        facts: KeyFacts to put in.

    Returns:
        Key as URL-safe text.
    """
    body = msgpack.packb(
        [
            KEY_VERSION,
            ring.signing_id,
            facts.home_id,
            facts.home_incarnation,
            facts.witness_id,
            facts.witness_incarnation,
            int(facts.expires_at),
            facts.service,
            secrets.token_bytes(RANDOM_BYTES),
        ]
    )
    tag = compute_auth_tag(ring.keys[ring.signing_id], b"idempotency", body)
    return base64.urlsafe_b64encode(tag + body).decode().rstrip("=")


def parse_idempotency_key(ring, text) -> Result:
    """Verifies an idempotency key.

    Args:
        ring: KeyRing for idempotency keys.
        text: Key as the caller sent it.

    Returns:
        Ok with its KeyFacts, or Error with KEY_INVALID.
    """
    if len(text) > MAX_KEY_CHARS:
        return Error(Fault(ResultCode.KEY_INVALID, "the key is too long"))
    try:
        raw = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
        tag, body = raw[:TAG_BYTES], raw[TAG_BYTES:]
        version, key_id, *rest = msgpack.unpackb(body, max_array_len=16)
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException):
        return Error(Fault(ResultCode.KEY_INVALID, "the key is malformed"))
    key = ring.keys.get(key_id) if isinstance(key_id, str) else None
    if key is None or not equal_in_constant_time(
        compute_auth_tag(key, b"idempotency", body), tag
    ):
        return Error(Fault(ResultCode.KEY_INVALID, "the key's signature is wrong"))
    if version != KEY_VERSION or len(rest) < 6:
        return Error(Fault(ResultCode.KEY_INVALID, "the key's version is unknown"))
    if base64.urlsafe_b64encode(raw).decode().rstrip("=") != text:
        return Error(Fault(ResultCode.KEY_INVALID, "the key is not canonical"))
    home_id, home_inc, witness_id, witness_inc, expires_at, service = rest[:6]
    return Ok(
        KeyFacts(home_id, home_inc, witness_id, witness_inc, float(expires_at), service)
    )
