"""What an instance says of the age of its view, and when it asks the store for it."""

import asyncio
import time

import pytest
from flamingolift_front import viewage, viewproof, viewupdates
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.viewage import note_position, view_time
from frontviews import make_current_store


# Guards against an instance that was suspended and passes an old proof on as a new one:
# the clock of its timers stood still meanwhile.
async def test_age_of_a_view_counts_a_suspension(new_front, monkeypatch):
    front = new_front()
    note_position(front.view, 10, view_time(), view_time())
    assert viewage.view_age_ms(front.view) < 1000.0
    resumed_at = view_time() + 5.0
    monkeypatch.setattr(time, "clock_gettime", lambda _clock: resumed_at)
    update = viewupdates.decode_update(viewupdates.encode_update(front.view, 10, 0), 10)
    assert update.proof_age_s >= 5.0


# Guards against proofs that multiply the calls of a store that is away.
@pytest.mark.parametrize("is_lost", [False, True])
async def test_store_that_fails_is_not_asked_for_proofs(new_front, is_lost):
    front = new_front()
    front.store = make_current_store(front)
    if is_lost:
        front.view.store_failed_at = time.monotonic() - viewproof.RELAY_GRACE_S
    assert await viewproof.renew_proof(front, 0.5) is not is_lost


# Guards against instances that each ask the store when many are asked at a time.
async def test_renewal_in_progress_is_joined(new_front):
    front = new_front()
    front.store = make_current_store(front)
    calls = []
    read_position = front.store.read_position

    async def count(timeout_s):
        calls.append(timeout_s)
        return await read_position(timeout_s)

    front.store.read_position = count
    renewals = [viewproof.renew_proof(front, 0.5) for _ in range(20)]
    assert all(await asyncio.gather(*renewals))
    assert len(calls) == 1


# Guards against a relay that keeps a change to itself because it cannot prove that
# there is no newer one.
async def test_changes_are_told_without_a_proof(new_front):
    front = new_front()
    front.view.store_failed_at = time.monotonic() - viewproof.RELAY_GRACE_S
    answers = [
        await handle_internal(front, f"/view?after={after}&wait_ms=0&max_age_ms=500")
        for after in (9, 10)
    ]
    assert [answer.status for answer in answers] == [200, 503]
