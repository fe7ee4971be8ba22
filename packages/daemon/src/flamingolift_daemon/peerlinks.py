"""Authenticated streams between instances: one task for each stream."""

import asyncio
import contextlib

from expression import Error, Ok, Result
from flamingolift_decisions.documents import versions
from flamingolift_decisions.membership import changes_since, record_contact
from flamingolift_model import Fault, ResultCode
from flamingolift_model.peer import Heartbeat, Refusal
from flamingolift_wire.codec import decode_message
from flamingolift_wire.frames import (
    MAX_FRAME_BYTES,
    FrameState,
    read_frame,
)
from flamingolift_wire.keys import derive_session_key

from flamingolift_daemon.handshake import (
    make_hello,
    read_hello,
    refusal_bytes,
    write_hello,
)
from flamingolift_daemon.instance import refresh_view, start_task
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peercalls import (
    PeerLink,
    call_peer,
    close_link,
    send_message,
)

__all__ = [
    "PeerLink",
    "accept_peer",
    "call_peer",
    "close_link",
    "get_link",
    "refuse_failed_call",
    "send_heartbeat",
    "send_message",
]

MEMBERS_PER_HEARTBEAT = 64
HANDSHAKE_TIMEOUT_S = 1.0
PEER_BACKOFF_S = 2.0
"""Back-off from a peer that did not answer (s)."""


async def _open_stream(instance, entry) -> Result:
    """Opens a stream to an instance; Ok holds the PeerLink."""
    cfg = instance.cfg
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(
                entry.host,
                entry.peer_port,
                limit=MAX_FRAME_BYTES,
                local_addr=(cfg.host, 0),
            ),
            cfg.connect_timeout_s,
        )
        key = instance.peer_keys.keys[instance.peer_keys.signing_id]
        own_hello = make_hello(instance, instance.peer_keys.signing_id)
        write_hello(writer, key, b"c", own_hello)
        answer = await asyncio.wait_for(
            read_hello(instance, reader, b"s", own_hello.nonce), HANDSHAKE_TIMEOUT_S
        )
    except (TimeoutError, OSError, EOFError) as exc:
        if writer is not None:
            writer.transport.abort()
        detail = f"{entry.instance_id}: {type(exc).__name__}"
        return Error(Fault(ResultCode.PEER_UNREACHABLE, detail))
    if answer.is_error():
        writer.transport.abort()
        logger.warning("peer_handshake_failed", extra={"peer": entry.instance_id})
        return answer
    hello, key = answer.ok
    shared = derive_session_key(key, own_hello.nonce, hello.nonce)
    return Ok(_make_link(instance, hello, reader, writer, shared, b"c", b"s"))


def _make_link(
    instance, hello, reader, writer, shared, send_direction, receive_direction
):
    link = PeerLink(
        hello,
        reader,
        writer,
        FrameState(shared, send_direction, MAX_FRAME_BYTES),
        FrameState(shared, receive_direction, MAX_FRAME_BYTES),
        instance.clock.now(),
    )
    current_link = instance.links.get(link.remote_id)
    if (
        current_link is None
        or current_link.remote_incarnation <= link.remote_incarnation
    ):
        instance.links[link.remote_id] = link
    instance.streams.add(link)
    if record_contact(
        instance.view, link.remote_id, link.remote_incarnation, link.heard_at
    ):
        refresh_view(instance)
    send_heartbeat(instance, link)
    return link


async def accept_peer(instance, reader, writer):
    """Serves a stream that another instance opened, until it closes.

    Args:
        instance: Instance.
        reader: asyncio.StreamReader.
        writer: asyncio.StreamWriter.
    """
    try:
        hello_result = await asyncio.wait_for(
            read_hello(instance, reader, b"c"), HANDSHAKE_TIMEOUT_S
        )
    except (TimeoutError, OSError, EOFError):
        writer.transport.abort()
        return
    if hello_result.is_error():
        count(instance.metrics, f"peer.refused.{hello_result.error.code.value}")
        writer.write(refusal_bytes(hello_result.error))
        with contextlib.suppress(OSError):
            await writer.drain()
        writer.close()
        return
    hello, key = hello_result.ok
    own_hello = make_hello(instance, hello.key_id)
    write_hello(writer, key, b"s", own_hello, hello.nonce)
    shared = derive_session_key(key, hello.nonce, own_hello.nonce)
    link = _make_link(instance, hello, reader, writer, shared, b"s", b"c")
    await run_link(instance, link)


async def run_link(instance, link):
    """Reads a stream until it closes, handling its messages in order.

    Args:
        instance: Instance.
        link: PeerLink.
    """
    try:
        while not link.closed.done():
            frame = await read_frame(link.reader, link.receiving)
            if frame.is_error():
                _report_bad_frame(instance, link, frame.error)
                break
            decoded = decode_message(frame.ok[0])
            if decoded.is_error():
                _report_bad_frame(instance, link, decoded.error)
                break
            link.heard_at = instance.clock.now()
            await _handle_message(instance, link, *decoded.ok)
    except (OSError, EOFError):
        pass
    finally:
        close_link(link)
        instance.streams.discard(link)
        if instance.links.get(link.remote_id) is link:
            del instance.links[link.remote_id]


def _report_bad_frame(instance, link, fault):
    count(instance.metrics, f"peer.refused.{fault.code.value}")
    logger.warning(
        "peer_stream_refused",
        extra={"peer": link.remote_id, "code": fault.code, "detail": fault.detail},
    )


async def _handle_message(instance, link, message, call_id, reply_to):
    """Passes a message to the call that awaits it, or to the handler of its class."""
    if reply_to:
        future = link.calls.pop(reply_to, None)
        if future is None or future.done():
            count(instance.metrics, "peer.late_answers")
            on_late = link.late.pop(reply_to, None)
            if on_late is not None:
                on_late(message)
        else:
            future.set_result(message)
        return
    handler = instance.handlers.get(type(message))
    if handler is None:
        return
    try:
        answer = handler(instance, link, message, call_id)
    except Exception as exc:
        if not call_id:
            raise
        answer = refuse_failed_call(instance, link, message, exc)
    if asyncio.iscoroutine(answer):
        start_task(instance, answer)
    elif answer is not None and call_id:
        send_message(link, answer, reply_to=call_id)


def refuse_failed_call(instance, link, message, exc):
    """Logs an exception that a peer's call raised; returns its Refusal.

    The peer goes on as if this instance had not answered, since it is unknown how far
    the call came. The stream stays open for the other calls on it.
    """
    count(instance.metrics, "tasks.failed")
    name = type(message).__name__
    logger.error(
        "peer_call_failed",
        extra={"peer": link.remote_id, "call": name},
        exc_info=exc,
    )
    return Refusal(code=ResultCode.PEER_UNREACHABLE, detail=f"{name} failed")


async def get_link(instance, entry) -> Result:
    """Returns an open stream to an instance, opening one if there is none.

    Args:
        instance: Instance.
        entry: InstanceEntry of the peer.

    Returns:
        Ok with a PeerLink, or Error with PEER_UNREACHABLE or PEER_AUTH.
    """
    name = entry.instance_id
    link = instance.links.get(name)
    if link is not None and not link.closed.done():
        return Ok(link)
    pending = instance.dialing.get(name)
    if pending is None:
        pending = start_task(instance, _open_link(instance, entry))
        instance.dialing[name] = pending
    return await asyncio.shield(pending)


async def _open_link(instance, entry):
    try:
        stream_result = await _open_stream(instance, entry)
    finally:
        instance.dialing.pop(entry.instance_id, None)
    if stream_result.is_ok():
        start_task(instance, run_link(instance, stream_result.ok))
    else:
        instance.backoff_until[entry.instance_id] = (
            instance.clock.now() + PEER_BACKOFF_S
        )
    return stream_result


def send_heartbeat(instance, link):
    """Sends a peer the document numbers and the membership changes since the last one.

    Args:
        instance: Instance.
        link: PeerLink.
    """
    states, cursor = changes_since(instance.view, link.cursor, MEMBERS_PER_HEARTBEAT)
    heartbeat = Heartbeat(versions=versions(instance.latest_documents), members=states)
    if send_message(link, heartbeat):
        link.cursor = cursor
