"""Transfers of documents between peers, in parts and from one peer at a time."""

import asyncio
import functools
import hashlib

from flamingolift_decisions.documents import is_newer
from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_model import peer

from flamingolift_daemon.instance import start_task
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import send_message

__all__ = ["Transfer", "handle_pull", "receive_document", "request_document"]

PART_BYTES = 65_536
"""Longest part of a document in one frame (bytes). The next heartbeat on a stream
waits behind at most one part of each kind of document."""
PART_TIMEOUT_S = 2.0
"""Time after which another peer is asked for the next part, and after which an upload
ends whose receiver asks for no further part (s)."""
_NOT_PULLING = (-1, 0)
CACHED_DIGESTS = 3
"""Digests kept: one for each kind of document."""


class Transfer:
    """A document that is being received.

    Attributes:
        kind: Document kind.
        number: Number of the document; -1 before the first request.
        size: Size of the whole document (bytes); 0 before its first part.
        digest: Digest of the whole document.
        data: Parts received so far (bytearray).
        link: PeerLink that was asked last for a part, or None.
        changed: Future that completes when the next step is to be decided.
    """

    __slots__ = ("changed", "data", "digest", "kind", "link", "number", "size")

    def __init__(self, kind):
        self.kind = kind
        self.link = None
        self.changed = asyncio.get_running_loop().create_future()
        _restart(self, -1)


class Upload:
    """A document that is being sent to a peer.

    Attributes:
        pull: Last Pull of the peer.
        asked: Future that completes when the peer asks for a part.
    """

    __slots__ = ("asked", "pull")

    def __init__(self, pull):
        self.pull = pull
        self.asked = asyncio.get_running_loop().create_future()


def _restart(transfer, number):
    transfer.number = number
    transfer.size = 0
    transfer.digest = ""
    transfer.data = bytearray()


def _complete(future):
    if not future.done():
        future.set_result(None)


def _held_number(instance, kind):
    held = instance.latest_documents.held.get(kind)
    return held.number if held else -1


def request_document(instance, link, kind):
    """Starts to receive a document of which a peer announced a newer number.

    While a document of this kind is being received, only a higher number, or a source
    when there is none, changes the transfer.
    """
    transfer = instance.transfers.get(kind)
    if transfer is None:
        transfer = instance.transfers[kind] = Transfer(kind)
        start_task(instance, _run_transfer(instance, transfer))
    elif transfer.link is None or link.remote_versions[kind] > transfer.number:
        _complete(transfer.changed)


def _find_sources(instance, kind):
    """Returns the newest number that peers announced, and the streams to them.

    The list is empty when no peer has a newer document than this instance.
    """
    numbers = {
        link: link.remote_versions.get(kind, -1)
        for link in instance.streams
        if not link.closed.done()
    }
    offered = {
        link: number
        for link, number in numbers.items()
        if is_newer(instance.latest_documents, kind, number)
        and number > link.refused_numbers.get(kind, -1)
    }
    newest = max(offered.values(), default=-1)
    return newest, [link for link, number in offered.items() if number == newest]


def _choose_source(instance, transfer, sources):
    """Returns the stream on which to ask for the next part, or None.

    A stream on which an answer is outstanding is not asked again: it delivers in order
    or it closes. The present source is kept while it answers.
    """
    held_number = _held_number(instance, transfer.kind)
    idle = [
        link
        for link in sources
        if link.pulling.get(transfer.kind, _NOT_PULLING)[0] <= held_number
    ]
    if transfer.link in idle:
        return transfer.link
    by_name = {link.remote_id: link for link in idle}
    names = rendezvous_order(f"pull|{instance.cfg.instance_id}", list(by_name))
    return by_name[names[0]] if names else None


def _withdraw_pulls(instance, transfer, source, former):
    """Ends the uploads of all peers but the source, so that they can serve others.

    Args:
        instance: Instance.
        transfer: Transfer.
        source: PeerLink that is asked next, or None.
        former: PeerLink that was asked last and sends more when asked, or None.
    """
    # A peer ends an upload when nothing newer than its document is asked for.
    withdrawal = peer.Pull(
        kind=transfer.kind,
        above=max(transfer.number, _held_number(instance, transfer.kind)),
        part_bytes=PART_BYTES,
    )
    for link in list(instance.streams):
        if link is source:
            continue
        if link.pulling.pop(transfer.kind, None) or link is former:
            send_message(link, withdrawal)


def _send_pull(instance, transfer, link):
    pull = peer.Pull(
        kind=transfer.kind,
        above=_held_number(instance, transfer.kind),
        part_bytes=PART_BYTES,
        number=transfer.number,
        offset=len(transfer.data),
    )
    link.pulling[transfer.kind] = (pull.number, pull.offset)
    send_message(link, pull)


async def _run_transfer(instance, transfer):
    """Asks for one part after the other until no peer has a newer document.

    Another peer is asked when a part does not arrive within `PART_TIMEOUT_S` or the
    stream closes.
    """
    try:
        while True:
            number, sources = _find_sources(instance, transfer.kind)
            if not sources:
                former = transfer.link if transfer.data else None
                _withdraw_pulls(instance, transfer, None, former)
                return
            if number != transfer.number:
                _restart(transfer, number)
            former = transfer.link
            transfer.link = _choose_source(instance, transfer, sources)
            transfer.changed = asyncio.get_running_loop().create_future()
            if transfer.link is not None:
                _withdraw_pulls(instance, transfer, transfer.link, former)
                _send_pull(instance, transfer, transfer.link)
                sources = [transfer.link]
            done, _ = await asyncio.wait(
                [transfer.changed, *(link.closed for link in sources)],
                timeout=PART_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and transfer.link is not None:
                _report_overdue(instance, transfer)
    finally:
        del instance.transfers[transfer.kind]


def _report_overdue(instance, transfer):
    count(instance.metrics, "documents.overdue")
    logger.warning(
        "document_overdue",
        extra={
            "kind": transfer.kind,
            "number": transfer.number,
            "peer": transfer.link.remote_id,
            "received": len(transfer.data),
            "size": transfer.size,
        },
    )


def receive_document(instance, link, message):
    """Takes a document or a part of one from a peer.

    Args:
        instance: Instance.
        link: PeerLink.
        message: Document.

    Returns:
        Encoded form of the whole document (bytes), or None while parts are missing.
    """
    asked = link.pulling.get(message.kind, _NOT_PULLING)
    is_answer = message.number > asked[0] or (message.number, message.offset) == asked
    if is_answer:
        link.pulling.pop(message.kind, None)
    transfer = instance.transfers.get(message.kind)
    body = None
    if message.size == 0:
        body = message.body
    elif transfer is not None:
        body = _add_part(transfer, link, message)
    if transfer is not None and (body or (is_answer and transfer.link in (link, None))):
        _complete(transfer.changed)
    return body


def _add_part(transfer, link, message):
    """Adds a part that continues the data received, whichever peer sent it."""
    if not 0 < len(message.body) <= message.size - message.offset:
        link.refused_numbers[message.kind] = message.number
        return None
    if message.number < transfer.number:
        return None
    is_same = (message.number, message.size, message.digest) == (
        transfer.number,
        transfer.size,
        transfer.digest,
    )
    if not is_same:
        _restart(transfer, message.number)
        transfer.size, transfer.digest = message.size, message.digest
        link.remote_versions[message.kind] = message.number
    if message.offset != len(transfer.data):
        return None
    transfer.data += message.body
    if len(transfer.data) < transfer.size:
        return None
    body = bytes(transfer.data)
    _restart(transfer, transfer.number)
    return body


def handle_pull(instance, link, message, call_id):
    """Sends a peer the document that it asked for, or starts to send its parts.

    A peer that does not take parts gets a document once on a stream, however often it
    asks: the stream delivers it or closes.
    """
    upload = link.uploads.get(message.kind)
    if upload is not None:
        upload.pull = message
        _complete(upload.asked)
        return
    held = instance.latest_documents.held.get(message.kind)
    if held is None or held.number <= message.above:
        return
    if message.part_bytes and len(held.body) > message.part_bytes:
        upload = link.uploads[message.kind] = Upload(message)
        start_task(instance, _run_upload(instance, link, upload))
        return
    if message.part_bytes:
        document = _make_part(held, message)
    elif held.number <= link.sent_numbers.get(message.kind, -1):
        return
    else:
        document = peer.Document(kind=message.kind, number=held.number, body=held.body)
        link.sent_numbers[message.kind] = held.number
    count(instance.metrics, "documents.sent")
    send_message(link, document)


async def _run_upload(instance, link, upload):
    """Sends a peer one part after the other as it asks for them.

    Ends with the last part, when the peer has the document from elsewhere or asks for
    no further part within `PART_TIMEOUT_S`, or when the stream closes.
    """
    kind = upload.pull.kind
    try:
        async with instance.upload_slots:
            while not link.closed.done():
                held = instance.latest_documents.held[kind]
                above = max(upload.pull.above, link.remote_versions.get(kind, -1))
                if held.number <= above:
                    return
                part = _make_part(held, upload.pull)
                upload.asked = asyncio.get_running_loop().create_future()
                send_message(link, part)
                if part.offset + len(part.body) >= part.size:
                    count(instance.metrics, "documents.sent")
                    return
                await asyncio.wait(
                    [upload.asked, link.closed],
                    timeout=PART_TIMEOUT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not upload.asked.done():
                    return
    finally:
        del link.uploads[kind]


def _make_part(held, message):
    """Returns the part that a peer asked for, or the first one of a newer document."""
    offset = message.offset if message.number == held.number else 0
    return peer.Document(
        kind=message.kind,
        number=held.number,
        body=held.body[offset : offset + message.part_bytes],
        offset=offset,
        size=len(held.body),
        digest=_compute_digest(held.body),
    )


@functools.lru_cache(maxsize=CACHED_DIGESTS)
def _compute_digest(body):
    return hashlib.sha256(body).hexdigest()
