"""Stand-in for the managed platform's store: items, watches, leases and faults.

It runs in the event loop of a test, so that a test reads and changes its state
directly.
"""

import asyncio
import base64
import itertools
import json
import time

from aiohttp import web

__all__ = [
    "PlatformStore",
    "forget_history",
    "open_door",
    "put_item",
    "remove_item",
    "stall_watches",
    "start_store",
    "stop_store",
]

LEASE_SWEEP_S = 0.05
PAGE_ITEMS = 50
"""Items of one page; small, so that tests read several pages."""


class PlatformStore:
    """Items, leases, history and faults of the store.

    Attributes:
        items: Map of key to item as the store returns it.
        revision: Revision of the last change.
        history: List of events, oldest first.
        first_revision: Revision from which the history is complete.
        leases: Map of lease id to [time to live, expiry] (s, monotonic).
        mode: "up", "busy" (503), "reset" or "silent".
        door_modes: Map of a further port to its own mode.
        stalls: Number of times that the waiting watches were left hanging.
        deaf: Whether watches begin without hearing of any change so far.
        calls: Map of call kind to its count.
        changed: Event that is replaced at each change.
        runner: aiohttp runner.
        sweeper: Task that ends leases.
        port: TCP port.
    """

    __slots__ = (
        "calls",
        "changed",
        "deaf",
        "door_modes",
        "first_revision",
        "history",
        "items",
        "lease_ids",
        "leases",
        "mode",
        "port",
        "revision",
        "runner",
        "stalls",
        "sweeper",
    )

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.first_revision = 0
        self.leases = {}
        self.lease_ids = itertools.count(77)
        self.mode = "up"
        self.door_modes = {}
        self.stalls = 0
        self.deaf = False
        self.calls = {}
        self.changed = asyncio.Event()
        self.runner = None
        self.sweeper = None
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
    """Removes an item."""
    if store.items.pop(key, None) is None:
        return
    store.revision += 1
    _record(store, {"key": key, "revision": store.revision, "deleted": True})


def forget_history(store):
    """Drops the history, so that watches from before are told so."""
    store.history.clear()
    store.first_revision = store.revision


def stall_watches(store):
    """Leaves the waiting watches hanging for good, as a lost path does."""
    store.stalls += 1


async def start_store():
    """Returns a running PlatformStore on a free port."""
    store = PlatformStore()
    app = web.Application(middlewares=[_faults(store)], client_max_size=1 << 24)
    app.router.add_get("/api/kv-range", _handler(store, _range))
    app.router.add_get("/api/kv-watch", _handler(store, _watch))
    app.router.add_post("/api/kv-txn", _handler(store, _transact))
    app.router.add_post("/api/kv-lease", _handler(store, _grant))
    app.router.add_post("/api/kv-keep/{lease}", _handler(store, _keep))
    app.router.add_delete("/api/kv-lease-end/{lease}", _handler(store, _end))
    store.runner = web.AppRunner(app, shutdown_timeout=0.1)
    await store.runner.setup()
    store.port = await _open_port(store)
    store.sweeper = asyncio.create_task(_sweep(store))
    return store


async def _open_port(store):
    site = web.TCPSite(store.runner, "127.0.0.1", 0)
    await site.start()
    return site._server.sockets[0].getsockname()[1]


async def open_door(store):
    """Opens a further port, so that some callers can be turned away alone.

    Returns:
        Port; its mode is `store.door_modes[port]`.
    """
    port = await _open_port(store)
    store.door_modes[port] = "up"
    return port


async def stop_store(store):
    """Stops a store."""
    store.sweeper.cancel()
    await store.runner.cleanup()


def _handler(store, function):
    async def handle(request):
        kind = function.__name__.strip("_")
        store.calls[kind] = store.calls.get(kind, 0) + 1
        return await function(store, request)

    return handle


def _faults(store):
    @web.middleware
    async def middleware(request, handler):
        port = request.transport.get_extra_info("sockname")[1]
        mode = store.door_modes.get(port, store.mode)
        if mode == "busy":
            return web.json_response({"error": "busy"}, status=503)
        if mode == "reset":
            request.transport.abort()
            return web.Response(status=500)
        if mode == "silent":
            await asyncio.sleep(3600.0)
        return await handler(request)

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
    deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000.0
    stalls = store.stalls
    heard_from = store.revision if store.deaf else after
    while True:
        if stalls != store.stalls:
            await asyncio.sleep(3600.0)
        if after < store.first_revision and not _hears_nothing(
            store, heard_from, after
        ):
            return web.json_response({"error": "gone"}, status=410)
        events = [e for e in store.history if e["revision"] > heard_from]
        left = deadline - time.monotonic()
        if events or left <= 0.0:
            missed = not events and _hears_nothing(store, heard_from, after)
            told = after if missed else store.revision
            body = {"events": events, "store_revision": told}
            return web.json_response(body)
        try:
            await asyncio.wait_for(store.changed.wait(), left)
        except TimeoutError:
            continue


def _hears_nothing(store, heard_from, after):
    """Returns whether a watch that began deaf has still heard of no change."""
    return heard_from != after and store.revision <= heard_from


async def _transact(store, request):
    body = await request.json()
    for write in body["set_keys"]:
        if write.get("lease") and write["lease"] not in store.leases:
            return web.json_response({"error": "no such lease"}, status=404)
    for write in body["set_keys"]:
        value = base64.b64decode(write["value"])
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


async def _sweep(store):
    while True:
        await asyncio.sleep(LEASE_SWEEP_S)
        now = time.monotonic()
        for lease in [i for i, held in store.leases.items() if held[1] < now]:
            _end_lease(store, lease)
