"""Messages and calls on an open stream between two instances."""

import asyncio
import itertools

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.peer import Refusal
from flamingolift_wire.codec import encode_message
from flamingolift_wire.frames import encode_frame

__all__ = ["PeerLink", "call_peer", "close_link", "send_message"]

MAX_WRITE_BACKLOG = 4_194_304
"""Unsent bytes above which a stream is closed because the peer does not read."""


class PeerLink:
    """One authenticated stream to another instance.

    Attributes:
        remote_id: Instance at the other end.
        remote_incarnation: Its incarnation.
        reader: asyncio.StreamReader.
        writer: asyncio.StreamWriter.
        sending: FrameState of the sending direction.
        receiving: FrameState of the receiving direction.
        calls: Map of call id to the future of its answer.
        late: Map of the id of a call that timed out or was cancelled to the function
            that handles its answer.
        call_ids: Iterator of call ids.
        cursor: Sequence up to which membership changes were sent to the peer.
        remote_versions: Document numbers that the peer announced.
        pulling: Map of document kind to the (number, offset) that the peer was asked
            for and has not yet sent.
        refused_numbers: Map of document kind to the number of the last document from
            this peer that could not be applied; it is not asked for again.
        uploads: Map of document kind to the Upload to this peer.
        sent_numbers: Map of document kind to the number of the last document that was
            sent whole.
        heard_at: Time of its last frame (s, monotonic).
        sent_bytes: Bytes sent and not yet counted.
        closed: Future that completes when the stream is closed.
    """

    __slots__ = (
        "call_ids",
        "calls",
        "closed",
        "cursor",
        "heard_at",
        "late",
        "pulling",
        "reader",
        "receiving",
        "refused_numbers",
        "remote_id",
        "remote_incarnation",
        "remote_versions",
        "sending",
        "sent_bytes",
        "sent_numbers",
        "uploads",
        "writer",
    )

    def __init__(self, hello, reader, writer, sending, receiving, now):
        self.remote_id = hello.instance_id
        self.remote_incarnation = hello.incarnation
        self.reader = reader
        self.writer = writer
        self.sending = sending
        self.receiving = receiving
        self.calls = {}
        self.late = {}
        self.call_ids = itertools.count(1)
        self.cursor = 0
        self.remote_versions = {}
        self.pulling = {}
        self.uploads = {}
        self.refused_numbers = {}
        self.sent_numbers = {}
        self.heard_at = now
        self.sent_bytes = 0
        self.closed = asyncio.get_running_loop().create_future()


def send_message(link, message, call_id=0, reply_to=0):
    """Sends a message without waiting.

    Args:
        link: PeerLink.
        message: Message of the schema.
        call_id: Id under which an answer is awaited; 0 for none.
        reply_to: Id of the call that this answers; 0 for none.

    Returns:
        Whether the message was handed to the stream.
    """
    if link.closed.done():
        return False
    if link.writer.transport.get_write_buffer_size() > MAX_WRITE_BACKLOG:
        close_link(link)
        return False
    frame = encode_frame(link.sending, encode_message(message, call_id, reply_to))
    link.writer.write(frame)
    link.sent_bytes += len(frame)
    return True


def close_link(link):
    """Closes a stream, and fails the calls that await an answer on it."""
    if link.closed.done():
        return
    link.closed.set_result(None)
    link.writer.transport.abort()
    for future in link.calls.values():
        if not future.done():
            future.set_result(
                Error(
                    Fault(
                        ResultCode.PEER_UNREACHABLE,
                        "the stream was closed before the answer",
                    )
                )
            )
    link.calls.clear()


async def call_peer(link, message, timeout_s, on_late=None) -> Result:
    """Sends a message and waits for its answer.

    Args:
        link: PeerLink.
        message: Message of the schema.
        timeout_s: Longest wait (s).
        on_late: Function that is called with an answer that comes after the wait, or
            None to drop it.

    Returns:
        Ok with the answering message; Error with a Fault when the peer refused,
        or with PEER_UNREACHABLE when no answer came in time. A late answer cannot
        reach another call, since a call id is used only once on a stream.
    """
    call_id = next(link.call_ids)
    future = asyncio.get_running_loop().create_future()
    link.calls[call_id] = future
    if not send_message(link, message, call_id=call_id):
        link.calls.pop(call_id, None)
        return Error(Fault(ResultCode.PEER_UNREACHABLE, "the stream is closed"))
    try:
        answer = await asyncio.wait_for(future, timeout_s)
    except TimeoutError:
        return Error(Fault(ResultCode.PEER_UNREACHABLE, "no answer in time"))
    finally:
        if link.calls.pop(call_id, None) is not None and on_late is not None:
            link.late[call_id] = on_late
    if isinstance(answer, Result):
        return answer
    if isinstance(answer, Refusal):
        return Error(Fault(answer.code, answer.detail, answer.retry_after_ms))
    return Ok(answer)
