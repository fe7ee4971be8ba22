"""What fronts believe, as the store, servers and peers change or fail."""

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
    add_server,
    arrivals,
    ask,
    both,
    call,
    events,
    in_force,
    is_ready,
    join,
    lost_now,
    make_platform,
    put_policy,
    put_server,
    start_front,
    stop_platform,
    wait_until,
)


async def test_leaving_server_gets_nothing_new(platform, front):
    await join(platform, front, "i-read-2", "reads")
    leaving = platform.servers["i-read-1"]
    put_server(platform, leaving, "reads", state="draining")
    await wait_until(
        lambda: any(e["change"] == "leaving" for e in events(front, "server_changed"))
    )
    before = len(leaving.requests)
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await ask(front, "GET", "/read/a", headers=cookie)).status == 200
    assert len(leaving.requests) == before


async def test_entry_that_vanishes_is_gone_at_once(platform, front):
    await join(platform, front, "i-read-2", "reads")
    remove_item(platform.store, "servers/i-read-1")
    await wait_until(lambda: events(front, "server_gone"))
    before = len(arrivals(platform, "i-read-1"))
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await ask(front, "GET", "/read/a", headers=cookie)).status == 200
    assert len(arrivals(platform, "i-read-1")) == before


async def test_evacuated_domain_gets_nothing_and_the_reason_is_told(platform, front):
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(front, "evacuation_started"))
    reply = await ask(front, "GET", "/read/a")
    assert reply.status == 503
    assert b"emptying north" in reply.body
    remove_item(platform.store, "op/evacuate/north")
    await wait_until(lambda: events(front, "evacuation_ended"))


async def test_configuration_comes_into_force_and_never_goes_back(platform, front):
    moved = [["r-new", HOST, "/new/", "safe", "900ms", "reads", 1, True, [], None]]
    put_policy(platform.store, 12, ROUTES + moved)
    await wait_until(lambda: len(events(front, "policy_in_force")) == 2)
    assert (await ask(front, "GET", "/new/a")).status == 200
    put_policy(platform.store, 11, ROUTES)
    put_item(platform.store, "op/config", b"{ cut short")
    put_item(platform.store, "servers/i-odd", {"address": 7})
    await wait_until(lambda: len(events(front, "item_malformed")) == 2)
    assert (await ask(front, "GET", "/new/a")).status == 200


async def test_malformed_entry_leaves_the_others(platform, front):
    put_item(platform.store, "servers/i-book-1", b"\xff\x00")
    await wait_until(lambda: events(front, "server_gone"))
    assert (await ask(front, "POST", "/book/a", body=b"x")).status == 503
    assert (await ask(front, "GET", "/read/a")).status == 200


async def test_history_that_is_gone_is_read_anew(platform, front):
    platform.store.mode = "reset"
    await wait_until(lambda: events(front, "store_lost"))
    await add_server(platform, "i-read-2", "reads")
    compact_history(platform.store)
    platform.store.mode = "up"
    await wait_until(lambda: len(events(front, "server_changed")) >= 3)


async def test_requests_go_on_while_the_store_is_away(platform, front):
    for mode in ("busy", "reset", "silent"):
        platform.store.mode = mode
        await wait_until(lambda: lost_now(front))
        assert (await ask(front, "GET", "/read/a")).status == 200
        assert (await ask(front, "POST", "/book/a", body=b"x")).status == 200
        platform.store.mode = "up"
        await wait_until(lambda: not lost_now(front))


async def test_watch_that_hangs_since_an_outage_is_given_up(platform, front):
    platform.store.mode = "silent"
    stall_watches(platform.store)
    await wait_until(lambda: lost_now(front))
    # Long enough for the next watch to hang too.
    await asyncio.sleep(1.0)
    platform.store.mode = "up"
    await wait_until(lambda: not lost_now(front))
    put_policy(platform.store, 30)
    # The time for a configuration.
    await wait_until(lambda: in_force(front, 30), 2.5)


async def test_watch_that_begins_deaf_is_not_trusted(platform, front):
    platform.store.mode = "reset"
    await wait_until(lambda: lost_now(front))
    put_policy(platform.store, 31)
    platform.store.missed_by_new_watches = True
    platform.store.mode = "up"
    await wait_until(lambda: not lost_now(front))
    # A watch is waiting by now that has missed the change and will not hear of it.
    await asyncio.sleep(0.3)
    compact_history(platform.store)
    platform.store.missed_by_new_watches = False
    await wait_until(lambda: in_force(front, 31), 2.5)


async def test_entries_that_lapse_together_in_an_outage_are_held(platform, front):
    platform.store.mode = "busy"
    await wait_until(lambda: lost_now(front))
    for server_id in ("i-read-1", "i-book-1"):
        remove_item(platform.store, f"servers/{server_id}")
    remove_item(platform.store, "instances/front-1")
    platform.store.mode = "up"
    await wait_until(lambda: not lost_now(front))
    assert (await ask(front, "GET", "/read/a")).status == 200
    put_server(platform, platform.servers["i-read-1"], "reads")
    gone = await wait_until(lambda: events(front, "server_gone"))
    assert [line["server"] for line in gone] == ["i-book-1"]
    assert (await ask(front, "GET", "/read/a")).status == 200


async def test_request_before_the_first_configuration_is_refused_truthfully(tmp_path):
    fleet = await make_platform(tmp_path, policy=False)
    try:
        front = await start_front(fleet, "early")
        await wait_until(lambda: events(front, "view_read"))
        assert not await is_ready(front)
        reply = await ask(front, "GET", "/read/a")
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


async def test_look_up_names_running_instances_only(platform, front):
    other = await start_front(platform, "front-2")
    await wait_until(lambda: is_ready(other))
    lookup = "/api/resolve?name=shop.example&region=upland&zone=north"

    async def addresses():
        reply = await call(front.ports["directory"], "GET", lookup)
        return reply.body if reply.status == 200 else b""

    def names(front, body):
        return str(front.ports["front"]).encode() in body

    await wait_until(lambda: both(addresses, front, other, names))
    other.process.kill()

    async def alone():
        body = await addresses()
        return names(front, body) and not names(other, body)

    await wait_until(alone)


async def test_faulty_settings_list_every_fault(platform, tmp_path):
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
async def test_instance_that_the_store_rejects_hears_changes_from_peers(
    platform, front, mode
):
    port = await open_port(platform.store)
    other = await start_front(platform, "front-2", port)
    await wait_until(lambda: is_ready(other))
    await wait_until(lambda: len(events(other, "instance_changed")) == 2)
    platform.store.port_modes[port] = mode
    await wait_until(lambda: lost_now(other))
    route = ["r-late", HOST, "/late/", "safe", "900ms", "reads", 1, True, [], None]
    put_policy(platform.store, 20, [*ROUTES, route])
    # The time for a configuration and its stretch while the store is away.
    await wait_until(lambda: in_force(other, 20), 7.5)
    assert (await ask(other, "GET", "/late/a")).status == 200


async def test_large_region_follows_relays_and_bears_two_that_stand_still(platform):
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
    # The pause after the last change, and once around the loop.
    await asyncio.sleep(2.0)
    before = platform.store.calls["watch"]
    put_policy(platform.store, 40)
    await wait_until(lambda: all(in_force(f, 40) for f in fronts), 2.5)
    assert platform.store.calls["watch"] - before <= 2 * len(relays)
    for name in relays[:2]:
        names[name].process.send_signal(signal.SIGSTOP)
    others = [front for name, front in names.items() if name not in relays[:2]]
    put_policy(platform.store, 41)
    await wait_until(lambda: all(in_force(f, 41) for f in others), 2.5)
    names[relays[2]].process.kill()
    await asyncio.sleep(0.2)
    put_policy(platform.store, 42)
    others.remove(names[relays[2]])
    await wait_until(lambda: all(in_force(f, 42) for f in others), 2.5)


async def test_front_explains_the_policy_and_its_exceptions(platform, front):
    put_item(platform.store, "op/evacuate/north", {})
    await wait_until(lambda: events(front, "evacuation_started"))
    command = [sys.executable, "-m", "flamingolift_cli.main", "explain-path"]
    command += [f"127.0.0.1:{inner_port(front)}", HOST, "/read/a", "--object", "21"]
    process = await asyncio.create_subprocess_exec(*command, stdout=-1)
    told = (await process.communicate())[0].decode().splitlines()
    assert process.returncode == 0
    assert told[0].startswith("By policy 1, the default for all callers, ")
    assert "goes to reads (weight 1)." in told[0]
    assert "Exception: the operator is emptying north." in told
    assert "reads has 1 servers, 0 of them in use." in told
    assert "Object 21 prefers i-read-1 (out of service)." in told
    unknown = await call(inner_port(front), "GET", "/other")
    assert unknown.status == 404


def inner_port(front):
    """Returns the port that other instances and the command line use."""
    return front.ports["control"]
