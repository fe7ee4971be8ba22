"""How a front's view follows changes and faults of store, servers and peers."""

import asyncio
import signal
import sys

import pytest
from flamingolift_decisions.relays import relays_of_region
from flamingolift_model.plan import InstanceEntry
from flamingolift_standins.platformstore import (
    compact_history,
    open_port,
    put_item,
    remove_item,
    stall_watches,
)
from platformfleet import (
    HOST,
    ROUTES,
    add_known_server,
    add_server,
    call,
    events,
    has_policy,
    is_ready,
    lists_both,
    make_platform,
    put_policy,
    put_server,
    received_requests,
    send,
    start_front,
    stop_platform,
    store_is_lost,
    wait_until,
)


async def test_draining_server_gets_no_new_requests(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    leaving = platform.servers["i-read-1"]
    put_server(platform, leaving, "reads", state="draining")
    await wait_until(
        lambda: any(e["change"] == "leaving" for e in events(front, "server_changed"))
    )
    before = len(leaving.requests)
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await send(front, "GET", "/read/a", headers=cookie)).status == 200
    assert len(leaving.requests) == before


async def test_server_whose_entry_is_removed_gets_no_new_requests(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    remove_item(platform.store, "servers/i-read-1")
    await wait_until(lambda: events(front, "server_gone"))
    before = len(received_requests(platform, "i-read-1"))
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await send(front, "GET", "/read/a", headers=cookie)).status == 200
    assert len(received_requests(platform, "i-read-1")) == before


async def test_evacuated_domain_gets_no_requests_and_refusals_give_the_reason(
    platform, front
):
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(front, "evacuation_started"))
    reply = await send(front, "GET", "/read/a")
    assert reply.status == 503
    assert b"emptying north" in reply.body
    remove_item(platform.store, "op/evacuate/north")
    await wait_until(lambda: events(front, "evacuation_ended"))


async def test_configuration_takes_effect_and_never_reverts(platform, front):
    moved = [["r-new", HOST, "/new/", "safe", "900ms", "reads", 1, True, [], None]]
    put_policy(platform.store, 12, ROUTES + moved)
    await wait_until(lambda: len(events(front, "policy_in_force")) == 2)
    assert (await send(front, "GET", "/new/a")).status == 200
    put_policy(platform.store, 11, ROUTES)
    put_item(platform.store, "op/config", b"{ cut short")
    put_item(platform.store, "servers/i-odd", {"address": 7})
    await wait_until(lambda: len(events(front, "item_malformed")) == 2)
    assert (await send(front, "GET", "/new/a")).status == 200


async def test_malformed_entry_does_not_affect_the_others(platform, front):
    put_item(platform.store, "servers/i-book-1", b"\xff\x00")
    await wait_until(lambda: events(front, "server_gone"))
    assert (await send(front, "POST", "/book/a", body=b"x")).status == 503
    assert (await send(front, "GET", "/read/a")).status == 200


async def test_view_is_read_again_after_the_history_was_compacted(platform, front):
    platform.store.mode = "reset"
    await wait_until(lambda: events(front, "store_lost"))
    await add_server(platform, "i-read-2", "reads")
    compact_history(platform.store)
    platform.store.mode = "up"
    await wait_until(lambda: len(events(front, "server_changed")) >= 3)


async def test_requests_are_served_during_a_store_outage(platform, front):
    for mode in ("busy", "reset", "silent"):
        platform.store.mode = mode
        await wait_until(lambda: store_is_lost(front))
        assert (await send(front, "GET", "/read/a")).status == 200
        assert (await send(front, "POST", "/book/a", body=b"x")).status == 200
        platform.store.mode = "up"
        await wait_until(lambda: not store_is_lost(front))


async def test_watch_that_hangs_after_an_outage_is_abandoned(platform, front):
    platform.store.mode = "silent"
    stall_watches(platform.store)
    await wait_until(lambda: store_is_lost(front))
    # Long enough that the next watch hangs too.
    await asyncio.sleep(1.0)
    platform.store.mode = "up"
    await wait_until(lambda: not store_is_lost(front))
    put_policy(platform.store, 30)
    # A configuration must take effect within 2.5 s.
    await wait_until(lambda: has_policy(front, 30), 2.5)


async def test_changes_missed_by_a_new_watch_are_noticed(platform, front):
    platform.store.mode = "reset"
    await wait_until(lambda: store_is_lost(front))
    put_policy(platform.store, 31)
    platform.store.missed_by_new_watches = True
    platform.store.mode = "up"
    await wait_until(lambda: not store_is_lost(front))
    # By now a watch is waiting that missed the change and will not receive it.
    await asyncio.sleep(0.3)
    compact_history(platform.store)
    platform.store.missed_by_new_watches = False
    await wait_until(lambda: has_policy(front, 31), 2.5)


async def test_entries_that_expire_together_in_an_outage_are_kept(platform, front):
    platform.store.mode = "busy"
    await wait_until(lambda: store_is_lost(front))
    for server_id in ("i-read-1", "i-book-1"):
        remove_item(platform.store, f"servers/{server_id}")
    remove_item(platform.store, "instances/front-1")
    platform.store.mode = "up"
    await wait_until(lambda: not store_is_lost(front))
    assert (await send(front, "GET", "/read/a")).status == 200
    put_server(platform, platform.servers["i-read-1"], "reads")
    gone = await wait_until(lambda: events(front, "server_gone"))
    assert [line["server"] for line in gone] == ["i-book-1"]
    assert (await send(front, "GET", "/read/a")).status == 200


async def test_request_before_the_first_configuration_is_refused_as_not_ready(tmp_path):
    fleet = await make_platform(tmp_path, policy=False)
    try:
        front = await start_front(fleet, "early")
        await wait_until(lambda: events(front, "view_read"))
        assert not await is_ready(front)
        reply = await send(front, "GET", "/read/a")
        assert reply.status == 503
        assert reply.headers["result-code"] == "2005"
        put_policy(fleet.store, 1)
        await wait_until(lambda: is_ready(front))
    finally:
        await stop_platform(fleet)


async def test_front_starts_while_the_store_is_down(tmp_path):
    fleet = await make_platform(tmp_path)
    fleet.store.mode = "reset"
    try:
        front = await start_front(fleet, "late")
        await wait_until(lambda: events(front, "store_lost"))
        assert not await is_ready(front)
        fleet.store.mode = "up"
        await wait_until(lambda: is_ready(front))
    finally:
        await stop_platform(fleet)


async def test_lookup_lists_running_instances_only(platform, front):
    other = await start_front(platform, "front-2")
    await wait_until(lambda: is_ready(other))
    lookup = "/api/resolve?name=shop.example&region=upland&zone=north"

    async def addresses():
        reply = await call(front.ports["directory"], "GET", lookup)
        return reply.body if reply.status == 200 else b""

    def contains(front, body):
        return str(front.ports["front"]).encode() in body

    await wait_until(lambda: lists_both(addresses, front, other, contains))
    other.process.kill()

    async def lists_only_front():
        body = await addresses()
        return contains(front, body) and not contains(other, body)

    await wait_until(lists_only_front)


async def test_invalid_settings_are_rejected_with_every_fault(platform, tmp_path):
    front = await start_front(platform, "odd")
    await wait_until(lambda: is_ready(front))
    text = front.settings_path.read_text()
    text = text.replace('ip = "127.0.0.1"', "ip = 7").replace('"3s"', '"soon"')
    front.settings_path.write_text(text)
    front.process.send_signal(signal.SIGHUP)
    await wait_until(lambda: events(front, "settings_rejected"))
    assert await is_ready(front)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "flamingolift_platform",
        "--check",
        "--settings",
        str(front.settings_path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode == 78
    assert b"4101 SETTING_INVALID: terms.bounds.grace" in output
    assert b"host: must be of type str" in output


@pytest.mark.parametrize("mode", ["busy", "reset", "silent"])
async def test_instance_without_the_store_gets_changes_from_peers(
    platform, front, mode
):
    port = await open_port(platform.store)
    other = await start_front(platform, "front-2", port)
    await wait_until(lambda: is_ready(other))
    await wait_until(lambda: len(events(other, "instance_changed")) == 2)
    platform.store.port_modes[port] = mode
    await wait_until(lambda: store_is_lost(other))
    route = ["r-late", HOST, "/late/", "safe", "900ms", "reads", 1, True, [], None]
    put_policy(platform.store, 20, [*ROUTES, route])
    # The bound for a configuration is longer while the store is unreachable.
    await wait_until(lambda: has_policy(other, 20), 7.5)
    assert (await send(other, "GET", "/late/a")).status == 200


async def test_large_region_follows_relays_and_tolerates_two_that_are_suspended(
    platform,
):
    fronts = [await start_front(platform, f"front-{n}") for n in range(10)]
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), 30.0)
    await wait_until(
        lambda: all(len(events(f, "instance_changed")) == 10 for f in fronts)
    )
    names = {f"front-{n}": front for n, front in enumerate(fronts)}
    entries = [
        InstanceEntry(
            instance_id=name,
            region="upland",
            failure_domain="north",
            host="127.0.0.1",
            caller_port=1,
            peer_port=1,
            operator_port=1,
        )
        for name in names
    ]
    relays = [e.instance_id for e in relays_of_region(entries, "upland")]
    # Longer than the pause after a change and one round of the watch loop.
    await asyncio.sleep(2.0)
    before = platform.store.calls["watch"]
    put_policy(platform.store, 40)
    await wait_until(lambda: all(has_policy(f, 40) for f in fronts), 2.5)
    assert platform.store.calls["watch"] - before <= 2 * len(relays)
    for name in relays[:2]:
        names[name].process.send_signal(signal.SIGSTOP)
    others = [front for name, front in names.items() if name not in relays[:2]]
    put_policy(platform.store, 41)
    await wait_until(lambda: all(has_policy(f, 41) for f in others), 2.5)
    names[relays[2]].process.kill()
    await asyncio.sleep(0.2)
    put_policy(platform.store, 42)
    others.remove(names[relays[2]])
    await wait_until(lambda: all(has_policy(f, 42) for f in others), 2.5)


async def test_front_explains_the_policy_and_its_exceptions(platform, front):
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(front, "evacuation_started"))
    command = [sys.executable, "-m", "flamingolift_cli.main", "explain-path"]
    command += [f"127.0.0.1:{inner_port(front)}", HOST, "/read/a", "--object", "21"]
    process = await asyncio.create_subprocess_exec(*command, stdout=-1)
    lines = (await process.communicate())[0].decode().splitlines()
    assert process.returncode == 0
    assert lines[0].startswith("By policy 1, the default for all callers, ")
    assert "goes to reads (weight 1)." in lines[0]
    assert "Exception: the operator is emptying north." in lines
    assert "reads has 1 servers, 0 of them in use." in lines
    assert "Object 21 prefers i-read-1 (out of service)." in lines
    unknown = await call(inner_port(front), "GET", "/other")
    assert unknown.status == 404


def inner_port(front):
    """Returns the control port, which other instances and the command line use."""
    return front.ports["control"]
