"""Stand-in for the managed platform's store, with leases, watches and faults.

It runs in the event loop of a test, which reads and changes its state directly.
"""

import asyncio
import base64
import itertools
import json
import time

from aiohttp import web

__all__ = [
    "PlatformStore",
    "compact_history",
    "open_port",
    "put_item",
    "remove_item",
    "restore_copy",
    "stall_watches",
    "start_store",
    "stop_store",
    "take_copy",
]

SLOW_S = 0.4
"""Delay of each response in the mode "slow" (s)."""
EXPIRY_CHECK_INTERVAL_S = 0.05
"""Time between checks for expired leases (s)."""
PAGE_ITEMS = 50
"""Items in a page; low, so that tests read several pages."""


class PlatformStore:
    """Items, leases, history and faults of the store.

    Attributes:
        items: Map of key to the item as responses contain it.
        era: Number of restored copies, plus one.
        revision: Revision of the last change.
        history: List of change events, oldest first.
        first_revision: Revision after which the history is complete.
        leases: Map of lease id to [time to live (s), expiry (s, monotonic clock)].
        lease_ids: Counter of lease ids.
        mode: "up", "slow" (responds late), "busy" (responds 503), "reset" (resets
            connections) or "silent" (does not respond).
        port_modes: Map of an additional port to its own mode.
        stalls: Number of calls of `stall_watches`.
        missed_by_new_watches: Whether a new watch misses the changes made between the
            revision it asks for and its start.
        translate: Function of a key and a value (bytes) that returns the value to store
            for a client's write, as a network address translation would make it appear.
        calls: Map of the kind of call ("range", "watch", ...) to its count.
        changed: Event that is set and replaced at each change.
        runner: aiohttp application runner.
        expiry_task: Task that ends expired leases.
        port: First TCP port.
    """

    __slots__ = (
        "calls",
        "changed",
        "era",
        "expiry_task",
        "first_revision",
        "history",
        "items",
        "lease_ids",
        "leases",
        "missed_by_new_watches",
        "mode",
        "port",
        "port_modes",
        "revision",
        "runner",
        "stalls",
        "translate",
    )

    def __init__(self):
        self.items = {}
        self.era = 1
        self.revision = 1
        self.history = []
        self.first_revision = 0
        self.leases = {}
        self.lease_ids = itertools.count(77)
        self.mode = "up"
        self.port_modes = {}
        self.stalls = 0
        self.missed_by_new_watches = False
        self.translate = lambda _key, value: value
        self.calls = {}
        self.changed = asyncio.Event()
        self.runner = None
        self.expiry_task = None
        self.port = 0


def _record(store, event):
    store.history.append(event)
    store.changed.set()
    store.changed = asyncio.Event()


def put_item(store, key, value, lease=0):
    """Writes an item; `value` is encoded as JSON unless it is bytes."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    store.revision += 1
    created = store.items.get(key, {}).get("created", store.revision)
    item = {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": store.revision,
        "created": created,
        "lease": lease,
    }
    store.items[key] = item
    _record(store, item)


def remove_item(store, key):
    """Removes an item, if it exists."""
    if store.items.pop(key, None) is None:
        return
    store.revision += 1
    _record(store, {"key": key, "revision": store.revision, "deleted": True})


def compact_history(store):
    """Discards the history: a watch from an earlier revision gets status 410."""
    store.history.clear()
    store.first_revision = store.revision


def take_copy(store):
    """Returns a copy of the store's items, leases and revision."""
    leases = {lease: list(held) for lease, held in store.leases.items()}
    return dict(store.items), leases, store.revision


def restore_copy(store, copy):
    """Restores the store from a copy: what was written since is gone, leases too."""
    items, leases, store.revision = copy
    store.items, store.leases = dict(items), dict(leases)
    for held in store.leases.values():
        held[1] = time.monotonic() + held[0]
    store.lease_ids = itertools.count(max(leases, default=76) + 1)
    store.era += 1
    compact_history(store)
    store.changed.set()
    store.changed = asyncio.Event()


def stall_watches(store):
    """Makes the waiting watches never respond, as on a path that drops packets."""
    store.stalls += 1


async def start_store():
    """Returns a running PlatformStore on a free port."""
    store = PlatformStore()
    app = web.Application(middlewares=[_inject_faults(store)], client_max_size=1 << 24)
    app.router.add_get("/api/kv-range", _handler(store, _range))
    app.router.add_get("/api/kv-watch", _handler(store, _watch))
    app.router.add_post("/api/kv-txn", _handler(store, _transact))
    app.router.add_post("/api/kv-lease", _handler(store, _grant))
    app.router.add_post("/api/kv-keep/{lease}", _handler(store, _keep))
    app.router.add_delete("/api/kv-lease-end/{lease}", _handler(store, _end))
    store.runner = web.AppRunner(app, shutdown_timeout=0.1)
    await store.runner.setup()
    store.port = await _listen(store)
    store.expiry_task = asyncio.create_task(_expire_leases(store))
    return store


async def _listen(store):
    site = web.TCPSite(store.runner, "127.0.0.1", 0)
    await site.start()
    return site._server.sockets[0].getsockname()[1]


async def open_port(store):
    """Opens an additional port, so that a fault can be limited to its clients.

    Returns:
        TCP port; its mode is `store.port_modes[port]`.
    """
    port = await _listen(store)
    store.port_modes[port] = "up"
    return port


async def stop_store(store):
    """Stops a store."""
    store.expiry_task.cancel()
    await store.runner.cleanup()


def _handler(store, function):
    async def handle(request):
        kind = function.__name__.strip("_")
        store.calls[kind] = store.calls.get(kind, 0) + 1
        return await function(store, request)

    return handle


def _inject_faults(store):
    @web.middleware
    async def middleware(request, handler):
        port = request.transport.get_extra_info("sockname")[1]
        mode = store.port_modes.get(port, store.mode)
        if mode == "busy":
            return web.json_response({"error": "busy"}, status=503)
        if mode == "reset":
            request.transport.abort()
            return web.Response(status=500)
        if mode == "silent":
            await asyncio.sleep(3600.0)
        if mode == "slow":
            await asyncio.sleep(SLOW_S)
        response = await handler(request)
        response.headers["Store-Era"] = str(store.era)
        return response

    return middleware


async def _range(store, request):
    prefix, after = request.query["prefix"], request.query.get("after", "")
    keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
    page = [store.items[key] for key in keys[:PAGE_ITEMS]]
    return web.json_response(
        {
            "items": page,
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": store.revision,
        }
    )


async def _watch(store, request):
    after = int(request.query["after"])
    if after > store.revision:
        return web.json_response({"error": "gone"}, status=410)
    deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000.0
    stalls = store.stalls
    visible_after = store.revision if store.missed_by_new_watches else after
    while True:
        if stalls != store.stalls:
            await asyncio.sleep(3600.0)
        if after < store.first_revision and not _misses_changes(
            store, visible_after, after
        ):
            return web.json_response({"error": "gone"}, status=410)
        events = [e for e in store.history if e["revision"] > visible_after]
        remaining_s = deadline - time.monotonic()
        if events or remaining_s <= 0.0:
            missed = not events and _misses_changes(store, visible_after, after)
            revision = after if missed else store.revision
            body = {"events": events, "store_revision": revision}
            return web.json_response(body)
        try:
            await asyncio.wait_for(store.changed.wait(), remaining_s)
        except TimeoutError:
            continue


def _misses_changes(store, visible_after, after):
    """Returns whether a watch missed changes and no later change has occurred."""
    return visible_after != after and store.revision <= visible_after


async def _transact(store, request):
    body = await request.json()
    for write in body["set_keys"]:
        if write.get("lease") and write["lease"] not in store.leases:
            return web.json_response({"error": "no such lease"}, status=404)
    for write in body["set_keys"]:
        value = store.translate(write["key"], base64.b64decode(write["value"]))
        put_item(store, write["key"], value, write.get("lease", 0))
    return web.json_response({"revision": store.revision})


async def _grant(store, request):
    body = await request.json()
    ttl_s = float(body["ttl_time"].removesuffix("ms")) / 1000.0
    lease = next(store.lease_ids)
    store.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
    return web.json_response({"lease": lease, "ttl_time": body["ttl_time"]})


async def _keep(store, request):
    held = store.leases.get(int(request.match_info["lease"]))
    if held is None:
        return web.json_response({"error": "no such lease"}, status=404)
    held[1] = time.monotonic() + held[0]
    return web.json_response({"ttl_time": f"{int(held[0] * 1000)}ms"})


async def _end(store, request):
    _end_lease(store, int(request.match_info["lease"]))
    return web.json_response({})


def _end_lease(store, lease):
    store.leases.pop(lease, None)
    for key in [k for k, item in store.items.items() if item["lease"] == lease]:
        remove_item(store, key)


async def _expire_leases(store):
    while True:
        await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
        now = time.monotonic()
        for lease in [i for i, held in store.leases.items() if held[1] < now]:
            _end_lease(store, lease)
