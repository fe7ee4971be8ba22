"""The store is restored from a copy that lacks its last writes."""

import asyncio

import pytest
from flamingolift_standins.platformstore import (
    put_item,
    remove_item,
    restore_copy,
    take_copy,
)
from platformfleet import (
    ROUTES,
    add_server,
    events,
    has_policy,
    is_ready,
    late_route,
    put_policy,
    put_server,
    received_requests,
    send,
    start_front,
    store_is_lost,
    wait_until,
)

START_TIMEOUT_S = 30.0
IN_FORCE_S = 2.5 + 6.0
"""Time in which a change must be in force after an impairment of the store (s)."""
REWRITE_S = 2.0
"""Time after the store's return in which live servers have written again (s)."""
FOLLOWERS_FROM = 6
"""Instances of a region from which most of them follow relays."""


async def start_fronts(platform, count):
    fronts = [await start_front(platform, f"front-{n}") for n in range(count)]
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    await wait_until(lambda: all(knows_all(front, count) for front in fronts))
    return fronts


def knows_all(front, count):
    return len({e["peer"] for e in events(front, "instance_changed")}) >= count


async def restore(platform, fronts, copy, rewrites=lambda: None, seen=True):
    """Brings back the copy; the fronts see that the store is away if `seen`."""
    if seen:
        platform.store.mode = "reset"
        await wait_until(lambda: all(store_is_lost(front) for front in fronts))
    restore_copy(platform.store, copy)
    rewrites()
    platform.store.mode = "up"


async def serves(front, path):
    return (await send(front, "GET", path)).status == 200


async def all_serve(fronts, path):
    for front in fronts:
        await wait_until(lambda front=front: serves(front, path), IN_FORCE_S)


# Guards against changes that are hidden by revisions given out twice.
async def test_change_at_a_reused_revision_is_in_force(platform):
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    put_policy(platform.store, 2)
    await wait_until(lambda: has_policy(fronts[0], 2))

    def rewrite():
        put_policy(platform.store, 4, [*ROUTES, late_route(1)])
        for number in range(20):
            put_item(platform.store, f"other/{number}", {})

    await restore(platform, fronts, copy, rewrite)
    await all_serve(fronts, "/late1/a")
    assert any(e["era"] == 2 for e in events(fronts[0], "store_era_changed"))


# Guards against instances that keep to the revisions of their relays' former era.
@pytest.mark.parametrize(("restorations", "seen"), [(1, True), (2, True), (1, False)])
async def test_change_after_a_restored_copy_is_in_force_on_all_instances(
    platform, restorations, seen
):
    fronts = await start_fronts(platform, FOLLOWERS_FROM + 1)
    copy = take_copy(platform.store)
    for number in range(60):
        put_item(platform.store, f"servers/i-odd-{number}", {})
    put_policy(platform.store, 2, [*ROUTES, late_route(1)])
    await all_serve(fronts, "/late1/a")
    for number in range(restorations):
        await restore(platform, fronts, copy, seen=seen)
        put_policy(platform.store, 3 + number, [*ROUTES, late_route(1), late_route(2)])
        await all_serve(fronts, "/late2/a")
    for front in fronts:
        numbers = [e["policy"] for e in events(front, "policy_in_force")]
        assert numbers == sorted(numbers)


# Guards against a drain that the restored copy undoes.
async def test_leaving_server_gets_nothing_after_a_restored_copy(platform):
    leaving = await add_server(platform, "i-read-2", "reads")
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    put_server(platform, leaving, "reads", state="draining", sequence=2)
    await wait_until(
        lambda: any(
            e["change"] == "leaving" for e in events(fronts[0], "server_changed")
        )
    )
    await restore(platform, fronts, copy)
    await wait_until(lambda: not store_is_lost(fronts[0]))
    before = len(received_requests(platform, "i-read-2"))
    for number in range(40):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await send(fronts[0], "GET", "/read/a", headers=cookie)).status == 200
    assert len(received_requests(platform, "i-read-2")) == before
    # It is used again once it says so itself.
    put_server(platform, leaving, "reads", sequence=3)
    await wait_until(
        lambda: any(
            e["change"] == "returned" for e in events(fronts[0], "server_changed")
        )
    )


# Guards against a server that left and comes back with the restored copy.
async def test_server_that_left_is_not_used_after_a_restored_copy(platform):
    left = await add_server(platform, "i-read-2", "reads")
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    remove_item(platform.store, "servers/i-read-2")
    await wait_until(lambda: events(fronts[0], "server_gone"))
    await restore(platform, fronts, copy)
    await wait_until(lambda: not store_is_lost(fronts[0]))
    before = len(left.requests)
    for number in range(40):
        cookie = [f"Cookie: Affinity-Key={number}"]
        await send(fronts[0], "GET", "/read/a", headers=cookie)
    assert len(left.requests) == before


# Guards against servers that the copy lacks: dropped at once, or kept for ever.
async def test_server_that_the_copy_lacks_is_kept_until_it_can_write_again(platform):
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    back = await add_server(platform, "i-read-2", "reads")
    await add_server(platform, "i-read-3", "reads")
    await wait_until(lambda: len(events(fronts[0], "server_changed")) >= 4)
    await restore(platform, fronts, copy)
    await wait_until(lambda: not store_is_lost(fronts[0]))
    await asyncio.sleep(REWRITE_S / 2.0)
    assert not events(fronts[0], "server_gone")
    put_server(platform, back, "reads", sequence=2)
    gone = await wait_until(lambda: events(fronts[0], "server_gone"))
    await asyncio.sleep(REWRITE_S)
    assert {e["server"] for e in gone} == {"i-read-3"}
    assert len(events(fronts[0], "server_gone")) == 1


# Guards against a server in use that is dropped because the copy holds an older report.
async def test_server_with_an_older_report_stays_in_use(platform):
    server = await add_server(platform, "i-read-2", "reads")
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    put_server(platform, server, "reads", sequence=2)
    await asyncio.sleep(REWRITE_S / 2.0)
    await restore(platform, fronts, copy)
    await wait_until(lambda: not store_is_lost(fronts[0]))
    await asyncio.sleep(2.0 * REWRITE_S)
    assert events(fronts[0], "entry_obsolete")
    assert not events(fronts[0], "server_gone")
    # The store ends its entry in the end.
    remove_item(platform.store, "servers/i-read-2")
    await wait_until(lambda: events(fronts[0], "server_gone"))


# Guards against an evacuation that the restored copy undoes.
async def test_evacuation_outlasts_a_restored_copy(platform):
    fronts = await start_fronts(platform, 1)
    copy = take_copy(platform.store)
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(fronts[0], "evacuation_started"))
    await restore(platform, fronts, copy)
    await wait_until(lambda: not store_is_lost(fronts[0]))
    await asyncio.sleep(REWRITE_S)
    assert not events(fronts[0], "evacuation_ended")
    put_item(platform.store, "op/evacuate/north", {})
    await asyncio.sleep(IN_FORCE_S - REWRITE_S)
    assert not events(fronts[0], "evacuation_ended")
    remove_item(platform.store, "op/evacuate/north")
    await wait_until(lambda: events(fronts[0], "evacuation_ended"))


# Guards against leases whose ids the restored store has given to other instances.
async def test_all_instances_are_registered_again_after_a_restored_copy(platform):
    empty = take_copy(platform.store)
    fronts = await start_fronts(platform, 3)
    await restore(platform, fronts, empty)
    names = {f"instances/front-{n}" for n in range(3)}
    await wait_until(lambda: names <= set(platform.store.items), REWRITE_S)
    leases = {platform.store.items[name]["lease"] for name in names}
    assert len(leases) == len(names)
    await asyncio.sleep(REWRITE_S)
    assert names <= set(platform.store.items)
    assert not any(events(front, "instance_gone") for front in fronts)
