"""Secret keys from the settings, with rotation, and the codes made with them."""

import hashlib
import hmac

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

__all__ = [
    "KeyRing",
    "compute_auth_tag",
    "derive_session_key",
    "equal_in_constant_time",
    "parse_key_ring",
]

TAG_BYTES = 16
MIN_KEY_BYTES = 16
MAX_KEYS = 8


class KeyRing:
    """Keys by id; the first one signs, all of them verify.

    Attributes:
        signing_id: Id of the signing key.
        keys: Map of key id to key (bytes).
    """

    __slots__ = ("keys", "signing_id")

    def __init__(self, signing_id, keys):
        self.signing_id = signing_id
        self.keys = keys


def parse_key_ring(text) -> Result:
    """Parses keys as they stand in the settings.

    Args:
        text: ``id:hex`` pairs separated by commas, the signing key first.

    Returns:
        Ok with a KeyRing, or Error with a Fault that does not show the key.
    """
    keys = {}
    for position, item in enumerate(text.split(","), start=1):
        key_id, colon, digits = item.strip().partition(":")
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            key = b""
        if not key_id or not colon or not MIN_KEY_BYTES <= len(key) <= 64:
            detail = f"key {position} is not id:hex with 16 to 64 bytes"
            return Error(Fault(ResultCode.SETTING_INVALID, detail))
        keys[key_id] = key
    if len(keys) > MAX_KEYS:
        return Error(Fault(ResultCode.SETTING_INVALID, f"more than {MAX_KEYS} keys"))
    return Ok(KeyRing(next(iter(keys)), keys))


def compute_auth_tag(key, *parts):
    """Returns an authentication tag of 16 bytes.

    Args:
        key: Secret key (bytes).
        *parts: Byte strings; their boundaries are authenticated too.
    """
    digest = hashlib.blake2b(key=key[:64], digest_size=TAG_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def derive_session_key(key, client_nonce, server_nonce):
    """Derives the key of one peer stream (32 bytes) from both nonces."""
    digest = hashlib.blake2b(key=key[:64], digest_size=32, person=b"peer-session")
    digest.update(client_nonce)
    digest.update(server_nonce)
    return digest.digest()


def equal_in_constant_time(one, other):
    """Compares two tags in constant time."""
    return hmac.compare_digest(one, other)
