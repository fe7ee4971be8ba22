"""Authenticated frames on a stream between two instances.

A frame is a length (4 bytes, big endian), a tag (16 bytes) and a body. The tag
covers the direction, the frame's position in the stream and the body, so frames
cannot be forged, reordered, repeated or sent back.
"""

import asyncio

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_wire.codec import MAX_DOCUMENT_BYTES
from flamingolift_wire.keys import TAG_BYTES, compute_auth_tag, equal_in_constant_time

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_HELLO_BYTES",
    "FrameState",
    "encode_frame",
    "read_frame",
]

MAX_FRAME_BYTES = MAX_DOCUMENT_BYTES + 65_536
"""Largest body of a frame on an authenticated stream (bytes)."""
MAX_HELLO_BYTES = 1_024
"""Largest body of a frame before the stream is authenticated (bytes)."""
LENGTH_BYTES = 4
POSITION_BYTES = 8


class FrameState:
    """Key and position of one direction of a stream.

    Attributes:
        key: Key of the stream (bytes).
        direction: b"c" from the client, b"s" from the server.
        position: Number of the next frame.
        max_bytes: Largest body accepted (bytes).
    """

    __slots__ = ("direction", "key", "max_bytes", "position")

    def __init__(self, key, direction, max_bytes):
        self.key = key
        self.direction = direction
        self.position = 0
        self.max_bytes = max_bytes


def _next_tag(state, body):
    position = state.position.to_bytes(POSITION_BYTES, "big")
    state.position += 1
    return compute_auth_tag(state.key, state.direction, position, body)


def encode_frame(state, body):
    """Returns the bytes of the next frame.

    Args:
        state: FrameState of the sending direction.
        body: Body (bytes).
    """
    return len(body).to_bytes(LENGTH_BYTES, "big") + _next_tag(state, body) + body


async def read_frame(reader, state) -> Result:
    """Reads and verifies the next frame.

    Args:
        reader: asyncio.StreamReader.
        state: FrameState of the receiving direction. A state without a key
            accepts any tag, for the hello that names the key.

    Returns:
        Ok with the tuple (body, tag), or Error with a Fault. The length is
        checked before anything is allocated for the body.

    Raises:
        EOFError: The stream ended between two frames.
        OSError: The connection broke.
    """
    try:
        head = await reader.readexactly(LENGTH_BYTES + TAG_BYTES)
        length = int.from_bytes(head[:LENGTH_BYTES], "big")
        if length > state.max_bytes:
            detail = f"frame of {length} bytes; at most {state.max_bytes} are allowed"
            return Error(Fault(ResultCode.PEER_FRAME, detail))
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise EOFError("the peer closed the stream") from exc
    tag = head[LENGTH_BYTES:]
    if state.key and not equal_in_constant_time(_next_tag(state, body), tag):
        return Error(Fault(ResultCode.PEER_AUTH, "a frame's tag does not verify"))
    return Ok((body, tag))
