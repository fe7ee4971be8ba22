"""Fronts beside odd entries of the store: they stay, and use the good ones."""

import json

import pytest
from flamingolift_front.viewupdates import decode_update
from flamingolift_standins.platformstore import open_port, put_item
from platformfleet import (
    ROUTES,
    add_known_server,
    call,
    events,
    has_policy,
    is_ready,
    late_route,
    put_policy,
    received_requests,
    send,
    start_front,
    store_is_lost,
    wait_until,
)

START_TIMEOUT_S = 30.0
LOG_LINES_PER_S = 60
"""Lines of one event that a front writes within a second (1/s)."""
ODD_ROW = 500
GOOD = {
    "address": "127.0.0.1:9",
    "info": {"service": "reads", "version": "v1", "zone": "north", "slots": 3},
    "status": {"state": "ready", "seq": 1, "cold_left": "0ms"},
    "born": 1,
}


def changed(before, after):
    text = json.dumps(GOOD)
    assert before in text
    return text.replace(before, after).encode()


ODD_SERVERS = {
    "nested": b"[" * 100_000,
    "nested-field": changed('"v1"', "[" * 5000 + "]" * 5000),
    "large": changed('"seq": 1', f'"seq": {2**64}'),
    "endless": changed('"slots": 3', '"slots": 1e999'),
    "digits": changed('"born": 1', '"born": ' + "9" * 5000),
    "port": changed("127.0.0.1:9", "127.0.0.1:70000"),
    "host": changed("127.0.0.1:9", "server.example:9"),
    "text": changed('"reads"', '"\\ud800"'),
    "long-time": changed('"0ms"', '"' + "9" * 400 + 's"'),
    "bytes": b"\xff\x00",
    "id\r\nwith: header": json.dumps(GOOD).encode(),
}
ODD_OTHERS = {
    "op/config": b"[" * 100_000,
    "op/evacuate/": b"{}",
    "op/evacuate/" + "z" * 150: b"{}",
    "instances/nested": b"\x91" * 2000,
    "instances/bytes": b"\xff",
}


def put_odd_entries(store, name):
    """Writes each kind of odd entry; returns the keys of those to be reported."""
    entries = {f"servers/{name}-{kind}": data for kind, data in ODD_SERVERS.items()}
    for key, value in (entries | ODD_OTHERS).items():
        put_item(store, key, value)
    # Items that are odd themselves, whatever their value.
    for odd in (5, "a", None):
        key = f"servers/{name}-item-{odd}"
        put_item(store, key, GOOD)
        store.items[key]["value"] = odd
        entries[key] = odd
    return {*entries, *ODD_OTHERS}


def reported(front, name=""):
    """Returns the keys that a front reported as malformed, with repetitions."""
    return [e["key"] for e in events(front, "item_malformed") if name in e["key"]]


async def read_view(front):
    """Returns the documents that a front sends to a peer, by their keys."""
    reply = await call(front.ports["control"], "GET", "/view?after=&wait_ms=0")
    update = decode_update(reply.body, None)
    assert update.malformed == []
    return {change.key: change.document for change in update.changes}


async def serves(front):
    replies = [await send(front, "GET", "/read/a") for _ in range(4)]
    book = await send(front, "POST", "/book/a", body=b"x")
    return all(reply.status == 200 for reply in [*replies, book])


# Guards against odd entries at the start and through the watch that end an instance, or
# keep it or its peers from what was written beside and after them.
@pytest.mark.parametrize("before_start", [True, False])
async def test_odd_entries_hide_nothing(platform, before_start):
    policy = dict(platform.store.items["op/config"])
    odd = put_odd_entries(platform.store, "first") if before_start else set()
    if before_start:
        # The store holds one value for a key; the first policy has to be a good one.
        platform.store.items["op/config"] = policy
        odd.remove("op/config")
    fronts = [await start_front(platform, "front-0")]
    port = await open_port(platform.store)
    fronts.append(await start_front(platform, "front-1", port))
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    # Each reads the store once before it serves; a watch follows.
    odd_later = put_odd_entries(platform.store, "later")
    for front in fronts:
        await wait_until(lambda f=front: odd_later <= set(reported(f)))
        assert odd <= set(reported(front))
        assert len(reported(front, "-nested")) == len(set(reported(front, "-nested")))
        assert await serves(front)
    put_policy(platform.store, 5, [*ROUTES, late_route(1)])
    for front in fronts:
        await wait_until(lambda f=front: has_policy(f, 5), 2.5)
        assert (await send(front, "GET", "/late1/a")).status == 200
        assert not events(front, "task_failed")
        assert front.process.returncode is None
    good = {"op/config", "servers/i-read-1", "servers/i-book-1"}
    good |= {"instances/front-0", "instances/front-1"}
    assert set(await read_view(fronts[0])) >= good
    # A peer without a path to the store gets what is written then.
    platform.store.port_modes[port] = "reset"
    await wait_until(lambda: store_is_lost(fronts[1]))
    put_odd_entries(platform.store, "last")
    put_policy(platform.store, 6, [*ROUTES, late_route(2)])
    await wait_until(lambda: has_policy(fronts[1], 6), START_TIMEOUT_S)
    assert events(fronts[1], "view_pulled")
    assert await serves(fronts[1])
    assert not any(events(front, "task_failed") for front in fronts)


# Guards against a flood of lines, and against later entries that wait behind odd ones.
async def test_row_of_odd_entries_floods_no_log(platform, front):
    for number in range(ODD_ROW):
        put_item(platform.store, f"servers/odd-{number:03}", b"[" * 5000)
    await add_known_server(platform, front, "i-read-2", "reads")

    async def reports_dropped_lines():
        # The count is written with the first line of a later second.
        await send(front, "GET", "/read/a")
        return events(front, "log_lines_dropped")

    await wait_until(reports_dropped_lines)
    seconds = {int(e["mono"]) for e in events(front, "item_malformed")}
    keys = reported(front)
    assert len(keys) == len(set(keys))
    assert LOG_LINES_PER_S <= len(keys) <= LOG_LINES_PER_S * max(2, len(seconds))
    dropped = sum(
        e["counts"].get("item_malformed", 0) for e in events(front, "log_lines_dropped")
    )
    assert len(keys) + dropped == ODD_ROW
    assert await serves(front)


async def test_server_whose_entry_turns_odd_is_no_longer_used(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    put_item(platform.store, "servers/i-read-2", ODD_SERVERS["nested"])
    await wait_until(lambda: events(front, "server_gone"))
    before = len(received_requests(platform, "i-read-2"))
    for number in range(12):
        cookie = [f"Cookie: Affinity-Key={number}"]
        assert (await send(front, "GET", "/read/a", headers=cookie)).status == 200
    assert len(received_requests(platform, "i-read-2")) == before
    assert reported(front) == ["servers/i-read-2"]
