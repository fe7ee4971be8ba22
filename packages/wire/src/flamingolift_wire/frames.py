"""Authenticated frames on a stream between two instances.

A frame is a length (4 bytes, big endian), an authentication tag (16 bytes) and a
body. The tag covers the direction, the frame's sequence number and the body, so
frames cannot be forged, reordered, replayed or reflected.
"""

import asyncio

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_wire.codec import MAX_DOCUMENT_BYTES
from flamingolift_wire.keys import (
    AUTH_TAG_BYTES,
    compute_auth_tag,
    equal_in_constant_time,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_HELLO_BYTES",
    "FrameState",
    "encode_frame",
    "read_frame",
]

MAX_FRAME_BYTES = MAX_DOCUMENT_BYTES + 65_536
"""Size limit of a frame's body on an authenticated stream (bytes)."""
MAX_HELLO_BYTES = 1_024
"""Size limit of a frame's body before the stream is authenticated (bytes)."""
LENGTH_BYTES = 4
SEQUENCE_NUMBER_BYTES = 8


class FrameState:
    """Key and sequence number of one direction of a stream.

    Attributes:
        key: Key of the stream (bytes).
        direction: b"c" from the client, b"s" from the server.
        sequence_number: Sequence number of the next frame.
        max_bytes: Size limit of a frame's body (bytes).
    """

    __slots__ = ("direction", "key", "max_bytes", "sequence_number")

    def __init__(self, key, direction, max_bytes):
        self.key = key
        self.direction = direction
        self.sequence_number = 0
        self.max_bytes = max_bytes


def _next_auth_tag(state, body):
    sequence_number = state.sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES, "big")
    state.sequence_number += 1
    return compute_auth_tag(state.key, state.direction, sequence_number, body)


def encode_frame(state, body):
    """Encodes the next frame of a stream.

    Args:
        state: FrameState of the sending direction.
        body: Body (bytes).

    Returns:
        Length, authentication tag and body (bytes).
    """
    return len(body).to_bytes(LENGTH_BYTES, "big") + _next_auth_tag(state, body) + body


async def read_frame(reader, state) -> Result:
    """Reads and verifies the next frame.

    Args:
        reader: asyncio.StreamReader.
        state: FrameState of the receiving direction. With an empty key, the tag
            is not verified: a hello message names the key that its own tag is
            made with, so the handshake verifies that tag.

    Returns:
        Ok with the tuple (body, tag), or Error with a Fault. The length is
        checked before anything is allocated for the body.

    Raises:
        EOFError: The stream ended between two frames.
        OSError: The connection broke.
    """
    try:
        head = await reader.readexactly(LENGTH_BYTES + AUTH_TAG_BYTES)
        length = int.from_bytes(head[:LENGTH_BYTES], "big")
        if length > state.max_bytes:
            detail = f"frame of {length} bytes; at most {state.max_bytes} are allowed"
            return Error(Fault(ResultCode.PEER_FRAME, detail))
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise EOFError("the peer closed the stream") from exc
    tag = head[LENGTH_BYTES:]
    if state.key and not equal_in_constant_time(_next_auth_tag(state, body), tag):
        return Error(
            Fault(
                ResultCode.PEER_AUTH,
                "the authentication tag of a frame does not verify",
            )
        )
    return Ok((body, tag))
