"""Removals of entries that expired in an outage of the store, and are deferred."""

import asyncio
import time

from flamingolift_front import viewsync
from frontviews import make_entry

ENTRIES = 12


def key_of(entry):
    return f"instances/{entry.instance_id}"


# Guards against an entry whose removal was deferred and which is removed at once later:
# the deferred removal failed, and evacuations were not applied.
async def test_entry_that_is_removed_again_ends_its_deferred_removal(
    new_front, change, monkeypatch
):
    monkeypatch.setattr(viewsync, "REMOVAL_GRACE_S", 0.1)
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: failures.append(context))
    entries = [make_entry(n) for n in range(ENTRIES)]
    front = new_front([change(key_of(e), e, 10) for e in entries])
    view = front.view
    view.store_failed_at = time.monotonic()
    gone = entries[1:]
    viewsync.apply_changes(front, [change(key_of(e), None, 11) for e in gone], 11)
    assert len(view.pending_removals) == len(gone)
    view.store_failed_at, view.store_recovered_at = None, time.monotonic() - 60.0
    back = [change(key_of(e), e, 12) for e in gone[1:]]
    viewsync.apply_changes(front, back, 12)
    viewsync.apply_changes(front, [change(key_of(gone[0]), None, 13)], 13)
    assert not view.pending_removals
    await asyncio.sleep(0.3)
    assert not failures
    assert len(view.instances) == ENTRIES - 1
