"""Reads the policy in the store and changes it by compare-and-swap."""

import asyncio
import secrets
import time

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.policy import HistoryEntry, PolicyHead
from flamingolift_wire.codec import decode_document, encode_document
from flamingolift_wire.storeclient import get_value, put_value

__all__ = ["StoredHead", "read_policy_head", "write_policy_head"]

POLICY_KEY = "config/policy"
MAX_HISTORY = 32
READ_BACK_TIMEOUT_S = 30.0
"""Longest time for which the outcome of an unconfirmed write is queried (s)."""
READ_BACK_INTERVAL_S = 0.2


class StoredHead:
    """The policy head in the store, with its revision.

    Attributes:
        head: PolicyHead; number 0 when none was applied yet.
        revision: Revision in the store.
    """

    __slots__ = ("head", "revision")

    def __init__(self, head, revision):
        self.head = head
        self.revision = revision


async def read_policy_head(store) -> Result:
    """Reads the policy head; Ok holds a StoredHead."""
    stored = await get_value(store, POLICY_KEY)
    if stored.is_error():
        return stored
    if stored.ok.revision == 0:
        return Ok(StoredHead(PolicyHead(number=0, text=""), 0))
    decoded = decode_document(PolicyHead, stored.ok.body)
    return decoded.map(lambda head: StoredHead(head, stored.ok.revision))


async def write_policy_head(store, base, *, text, drains, author, summary) -> Result:
    """Replaces the policy in the store by compare-and-swap.

    Args:
        store: StoreClient.
        base: StoredHead that the change was made from.
        text: Policy document (TOML).
        drains: Drained targets, as kind:name.
        author: Operator.
        summary: What was changed.

    Returns:
        Ok with the new PolicyHead; Error with POLICY_CONFLICT when the policy
        changed after it was read, or with STORE_UNAVAILABLE. A write whose answer
        was lost is looked up by its change id in the history: its outcome is never
        assumed, and the change is stored at most once.
    """
    change_id = secrets.token_hex(12)
    number = base.head.number + 1
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
        history=[entry, *base.head.history][:MAX_HISTORY],
    )
    head.unknown = base.head.unknown
    body = encode_document(head)
    deadline = time.monotonic() + READ_BACK_TIMEOUT_S
    while True:
        written = await put_value(store, POLICY_KEY, body, base.revision)
        if written.is_ok():
            return Ok(head)
        write_state = await _read_back(store, base, change_id, deadline)
        if write_state == "taken":
            return Ok(head)
        if write_state == "conflict":
            detail = "the policy changed after it was read"
            return Error(Fault(ResultCode.POLICY_CONFLICT, detail))
        if write_state == "unknown":
            detail = "the store did not answer whether the change was stored"
            return Error(Fault(ResultCode.STORE_UNAVAILABLE, detail))


async def _read_back(store, base, change_id, deadline):
    """Reads the store to determine the outcome of an unconfirmed write.

    Returns:
        "taken" when the change was stored, "untouched" when the store still has the
        revision of `base`, "conflict" when another change was stored, or "unknown"
        when the store did not answer before the deadline.
    """
    while time.monotonic() < deadline:
        current = await read_policy_head(store)
        if current.is_ok():
            ids = {entry.change_id for entry in current.ok.head.history}
            if change_id in ids:
                return "taken"
            same = current.ok.revision == base.revision
            return "untouched" if same else "conflict"
        await asyncio.sleep(READ_BACK_INTERVAL_S)
    return "unknown"
