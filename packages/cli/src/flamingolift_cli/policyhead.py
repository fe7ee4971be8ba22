"""Changes to the policy in the store, by compare-and-swap and reading back."""

import asyncio
import secrets
import time

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.policy import HistoryEntry, PolicyHead
from flamingolift_wire.codec import decode_document, encode_document
from flamingolift_wire.storeclient import get_value, put_value

__all__ = ["HeldHead", "change_head", "read_head"]

POLICY_KEY = "config/policy"
MAX_HISTORY = 32
READ_BACK_S = 30.0
"""Longest time for finding out what became of a write whose answer was lost (s)."""
READ_BACK_INTERVAL_S = 0.2


class HeldHead:
    """The policy in the store with its revision.

    Attributes:
        head: PolicyHead; number 0 when none was applied yet.
        revision: Revision in the store.
    """

    __slots__ = ("head", "revision")

    def __init__(self, head, revision):
        self.head = head
        self.revision = revision


async def read_head(store) -> Result:
    """Reads the policy in force; Ok holds a HeldHead."""
    stored = await get_value(store, POLICY_KEY)
    if stored.is_error():
        return stored
    if stored.ok.revision == 0:
        return Ok(HeldHead(PolicyHead(number=0, text=""), 0))
    decoded = decode_document(PolicyHead, stored.ok.body)
    return decoded.map(lambda head: HeldHead(head, stored.ok.revision))


async def change_head(store, held, *, text, drains, author, summary) -> Result:
    """Replaces the policy in the store by compare-and-swap.

    Args:
        store: StoreClient.
        held: HeldHead that the change was made from.
        text: Policy document (TOML).
        drains: Drained targets, as kind:name.
        author: Operator.
        summary: What was changed.

    Returns:
        Ok with the new PolicyHead; Error with POLICY_CONFLICT when another
        operator was first, or with STORE_UNAVAILABLE. A write whose answer was
        lost is looked up by its change id, never guessed and never counted twice.
    """
    change_id = secrets.token_hex(12)
    number = held.head.number + 1
    entry = HistoryEntry(
        number=number,
        author=author[:128],
        accepted_at=time.time(),
        summary=summary[:500],
        change_id=change_id,
    )
    head = PolicyHead(
        number=number,
        text=text,
        drains=drains,
        change_id=change_id,
        history=[entry, *held.head.history][:MAX_HISTORY],
    )
    head.unknown = held.head.unknown
    body = encode_document(head)
    ends_at = time.monotonic() + READ_BACK_S
    while True:
        written = await put_value(store, POLICY_KEY, body, held.revision)
        if written.is_ok():
            return Ok(head)
        fate = await _read_back(store, held, change_id, ends_at)
        if fate == "taken":
            return Ok(head)
        if fate == "conflict":
            detail = "the policy changed after it was read"
            return Error(Fault(ResultCode.POLICY_CONFLICT, detail))
        if fate == "unknown":
            detail = "the store does not say whether the change was taken"
            return Error(Fault(ResultCode.STORE_UNAVAILABLE, detail))


async def _read_back(store, held, change_id, ends_at):
    """Returns "taken", "conflict", "untouched" or "unknown" for a change."""
    while time.monotonic() < ends_at:
        current = await read_head(store)
        if current.is_ok():
            ids = {entry.change_id for entry in current.ok.head.history}
            if change_id in ids:
                return "taken"
            same = current.ok.revision == held.revision
            return "untouched" if same else "conflict"
        await asyncio.sleep(READ_BACK_INTERVAL_S)
    return "unknown"
