import asyncio
import time
import zlib

import msgpack
import pytest
from flamingolift_front import viewupdates
from flamingolift_front.viewsync import apply_changes, apply_snapshot
from flamingolift_front.viewupdates import decode_update, encode_update
from frontviews import make_entry, make_policy
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st


async def test_update_carries_the_changes_since_a_revision(new_front, change):
    front = new_front([change("instances/front-1", make_entry(1), 10)])
    policy = make_policy(3, 500)
    apply_changes(front, [change("policy", policy, 11)], 11)
    apply_changes(front, [change("instances/front-1", None, 12)], 12)
    update = decode_update(encode_update(front.view, 10, 0), 10)
    assert (update.revision, update.is_snapshot) == (12, False)
    assert [(c.key, c.revision) for c in update.changes] == [
        ("policy", 11),
        ("instances/front-1", 12),
    ]
    assert update.changes[0].document == policy
    assert update.changes[1].document is None


async def test_peer_without_a_known_revision_gets_a_snapshot(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(3)]
    front = new_front(entries)
    update = decode_update(encode_update(front.view, -1, 0), None)
    assert update.is_snapshot
    assert {c.document.instance_id for c in update.changes} == {
        "front-0",
        "front-1",
        "front-2",
    }


# Guards against a policy that is encoded anew for each follower of a relay.
async def test_document_is_encoded_once_for_all_peers(new_front, change, monkeypatch):
    front = new_front()
    apply_changes(front, [change("policy", make_policy(3, 50), 11)], 11)
    packed = []
    pack_document = viewupdates._pack_document

    def record(document):
        packed.append(document)
        return pack_document(document)

    monkeypatch.setattr(viewupdates, "_pack_document", record)
    for after in (-1, 9, 10) * 10:
        encode_update(front.view, after, 0)
    assert len(packed) == 1
    apply_changes(front, [change("policy", make_policy(4, 50), 12)], 12)
    update = decode_update(encode_update(front.view, 11, 0), 11)
    assert update.changes[0].document.number == 4


async def test_large_update_is_announced_with_its_size(new_front, change):
    front = new_front()
    apply_changes(front, [change("policy", make_policy(3, 5000), 11)], 11)
    whole = encode_update(front.view, 10, 0)
    announced = encode_update(front.view, 10, 4096)
    update = decode_update(announced, 10)
    assert len(announced) < 200
    assert (update.revision, update.changes) == (11, [])
    assert 4096 < update.announced_bytes < 2 * len(whole)
    assert decode_update(encode_update(front.view, 10, 1 << 20), 10).changes


# Guards against followers that receive each version of a series of policies.
async def test_only_the_newest_policy_is_sent(new_front, change):
    front = new_front([change("policy", make_policy(1, 5), 10)])
    for number in range(2, 9):
        policy = change("policy", make_policy(number, 5), 10 + 2 * number)
        entry = change("instances/front-1", make_entry(1), 11 + 2 * number)
        apply_changes(front, [policy, entry], 11 + 2 * number)
    update = decode_update(encode_update(front.view, 10, 0), 10)
    numbers = [c.document.number for c in update.changes if c.key == "policy"]
    assert numbers == [8]
    assert len(update.changes) == 8


async def test_update_that_is_not_newer_is_not_decoded(new_front, change):
    front = new_front()
    apply_changes(front, [change("policy", make_policy(3, 5), 11)], 11)
    update = decode_update(encode_update(front.view, 10, 0), 11)
    assert (update.revision, update.changes) == (11, [])


async def test_compressed_document_beyond_the_limit_is_refused(
    new_front, change, monkeypatch
):
    front = new_front()
    apply_changes(front, [change("policy", make_policy(3, 500), 11)], 11)
    data = encode_update(front.view, 10, 0)
    monkeypatch.setattr(viewupdates, "MAX_UNPACKED_BYTES", 10_000)
    with pytest.raises(ValueError, match="too large"):
        decode_update(data, 10)


@pytest.fixture
async def encoded(new_front, change):
    front = new_front([change("instances/front-1", make_entry(1), 10)])
    apply_changes(front, [change("policy", make_policy(3, 20), 11)], 11)
    return encode_update(front.view, 10, 0)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
@given(st.data())
def test_damaged_update_is_refused_or_read(encoded, data):
    body = bytearray(encoded)
    index = data.draw(st.integers(0, len(body) - 1))
    body[index] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(body)))
    try:
        decode_update(bytes(body[:end]), 10)
    except (ValueError, TypeError, msgpack.UnpackException):
        return


# Guards against followers that transfer the whole view after the store has lost its
# history, although their relay knows what changed.
async def test_relay_that_reads_a_snapshot_sends_the_difference(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(300)]
    front = new_front([*entries, change("policy", make_policy(3, 500), 10)])
    read_again = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(299)]
    apply_snapshot(front, [*read_again, change("policy", make_policy(3, 500), 10)], 14)
    update = decode_update(encode_update(front.view, 10, 0), 10)
    assert not update.is_snapshot
    assert [c.key for c in update.changes] == ["instances/front-299"]


# Guards against whole views that are sent uncompressed: each entry is small.
async def test_snapshot_of_many_small_documents_is_compressed(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(2400)]
    front = new_front(entries)
    body = encode_update(front.view, -1, 0)
    assert len(body) < 3 * len(zlib.compress(body, 1))


# Guards against encoded forms of entries that are gone.
async def test_no_encoded_form_is_kept_of_a_removed_document(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(4)]
    front = new_front(entries)
    front.view.store_failed_at = time.monotonic()
    removals = [change(f"instances/front-{n}", None, 11) for n in range(4)]
    apply_changes(front, removals, 11)
    encode_update(front.view, -1, 0)
    async with asyncio.timeout(5.0):
        while front.view.documents:
            await asyncio.sleep(0.05)
    assert front.view.packed == {}


# Guards against removing a server that the store has again, as it was before.
async def test_deferred_removal_ends_when_a_snapshot_has_the_entry(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(4)]
    front = new_front(entries)
    front.view.store_failed_at = time.monotonic()
    removals = [change(f"instances/front-{n}", None, 11) for n in range(4)]
    apply_changes(front, removals, 11)
    assert len(front.view.pending_removals) == 4
    apply_snapshot(front, entries, 12)
    assert front.view.pending_removals == {}
    assert len(front.view.documents) == 4


# Guards against bounds of updates that refuse the view of a large fleet.
async def test_snapshot_of_a_large_fleet_is_read(new_front, change):
    entries = [change(f"instances/front-{n}", make_entry(n), 10) for n in range(6400)]
    policy = make_policy(3, 9000)
    front = new_front([*entries, change("policy", policy, 9)])
    update = decode_update(encode_update(front.view, -1, 0), None)
    assert len(update.changes) == 6401
    assert update.malformed == []
    assert update.changes[-1].document == policy
