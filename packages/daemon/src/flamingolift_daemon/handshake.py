"""First messages on a stream between instances, which authenticate both ends."""

import secrets

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.peer import Hello, Refusal
from flamingolift_wire.codec import decode_message, encode_message
from flamingolift_wire.frames import MAX_HELLO_BYTES, FrameState, read_frame
from flamingolift_wire.keys import compute_auth_tag, equal_in_constant_time

__all__ = ["make_hello", "read_hello", "refusal_bytes", "write_hello"]


def make_hello(instance, key_id):
    """Returns the Hello of this instance with a new nonce."""
    return Hello(
        instance_id=instance.cfg.instance_id,
        incarnation=instance.incarnation,
        key_id=key_id,
        nonce=secrets.token_bytes(16),
    )


def write_hello(writer, key, direction, hello, prefix=b""):
    """Sends a hello with its authentication tag.

    The tag also covers the prefix; in a reply that is the nonce of the first hello.
    """
    body = encode_message(hello)
    tag = compute_auth_tag(key, b"hello", direction, prefix, body)
    writer.write(len(body).to_bytes(4, "big") + tag + body)


async def read_hello(instance, reader, direction, prefix=b"") -> Result:
    """Reads and verifies the other side's hello."""
    state = FrameState(b"", direction, MAX_HELLO_BYTES)
    frame = await read_frame(reader, state)
    if frame.is_error():
        return frame
    body, tag = frame.ok
    decoded = decode_message(body)
    if decoded.is_error():
        return decoded
    hello = decoded.ok[0]
    if not isinstance(hello, Hello):
        return Error(Fault(ResultCode.PEER_FRAME, "the first message is not a hello"))
    key = instance.peer_keys.keys.get(hello.key_id)
    if key is None or not equal_in_constant_time(
        compute_auth_tag(key, b"hello", direction, prefix, body), tag
    ):
        return Error(
            Fault(
                ResultCode.PEER_AUTH, "the hello's authentication tag does not verify"
            )
        )
    return Ok((hello, key))


def refusal_bytes(fault):
    """Returns an unauthenticated frame with the result code of a failed handshake."""
    body = encode_message(Refusal(code=fault.code, detail=fault.detail[:200]))
    return len(body).to_bytes(4, "big") + bytes(16) + body
