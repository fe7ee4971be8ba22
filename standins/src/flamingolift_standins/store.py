"""Stand-in for the platform: key-value store, leases, watches and live list."""

import asyncio
import itertools
import time

import click
import msgpack
from aiohttp import web

__all__ = ["main", "make_store_app"]

LEASE_SWEEP_S = 0.1


class Entry:
    """One value of the store.

    Attributes:
        revision: Revision of its last write.
        body: Value (bytes).
        lease_id: Lease with which it goes away, or None.
    """

    __slots__ = ("body", "lease_id", "revision")

    def __init__(self, revision, body, lease_id):
        self.revision = revision
        self.body = body
        self.lease_id = lease_id


class StoreState:
    """Values, leases, live list, faults and call counts.

    Attributes:
        entries: Map of key to Entry.
        revision: Revision of the last write.
        leases: Map of lease id to (ttl, expiry) (s, monotonic).
        live: Live list as plain values.
        faults: Map of fault name to its setting.
        calls: Map of call kind to its count.
        changed: Event pulsed at each write.
    """

    __slots__ = ("calls", "changed", "entries", "faults", "leases", "live", "revision")

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.leases = {}
        self.live = {"number": 0, "instances": [], "backend_servers": []}
        self.faults = {"mode": "up", "delay_s": 0.0, "lose_answers": 0}
        self.calls = {}
        self.changed = asyncio.Event()


LEASE_IDS = itertools.count(1)


def pulse(state):
    """Wakes the waiting watches."""
    state.changed.set()
    state.changed = asyncio.Event()


def make_store_app():
    """Returns the aiohttp application of the stand-in."""
    state = StoreState()

    @web.middleware
    async def inject_faults(request, handler):
        if request.path.startswith("/admin/"):
            return await handler(request)
        kind = f"{request.method} /{request.path.split('/')[1]}"
        state.calls[kind] = state.calls.get(kind, 0) + 1
        if state.faults["mode"] == "down":
            request.transport.abort()
            return web.Response(status=503)
        if state.faults["mode"] == "slow":
            await asyncio.sleep(state.faults["delay_s"])
        answer = await handler(request)
        if state.faults["mode"] == "down":
            request.transport.abort()
        if request.method == "PUT" and state.faults["lose_answers"] > 0:
            state.faults["lose_answers"] -= 1
            request.transport.abort()
        return answer

    async def get_key(request):
        entry = state.entries.get(request.match_info["key"])
        if entry is None:
            return web.Response(status=404)
        headers = {"Revision": str(entry.revision)}
        return web.Response(body=entry.body, headers=headers)

    async def put_key(request):
        key = request.match_info["key"]
        body = await request.read()
        if len(body) > 1_048_576:
            return web.Response(status=413)
        entry = state.entries.get(key)
        current = entry.revision if entry else 0
        wanted = request.headers.get("If-Revision")
        if wanted is not None and int(wanted) != current:
            return web.Response(status=409, headers={"Revision": str(current)})
        lease_id = request.headers.get("Lease")
        if lease_id is not None and lease_id not in state.leases:
            return web.Response(status=404)
        state.revision += 1
        state.entries[key] = Entry(state.revision, body, lease_id)
        pulse(state)
        return web.Response(headers={"Revision": str(state.revision)})

    def listing(prefix, after):
        lines = [f"{state.revision}\n".encode()]
        for key, entry in sorted(state.entries.items()):
            if key.startswith(prefix) and entry.revision > after:
                head = f"{key} {entry.revision} {len(entry.body)}\n"
                lines += [head.encode(), entry.body]
        return lines

    async def list_keys(request):
        return web.Response(body=b"".join(listing(request.query["prefix"], 0)))

    async def watch(request):
        after = int(request.query["after"])
        ends_at = time.monotonic() + float(request.query["wait"])
        while True:
            changed = state.changed
            lines = listing(request.query["prefix"], after)
            left = ends_at - time.monotonic()
            down = state.faults["mode"] == "down"
            if len(lines) > 1 or left <= 0 or down:
                return web.Response(body=b"".join(lines))
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def live(request):
        after = int(request.query["after"])
        ends_at = time.monotonic() + float(request.query["wait"])
        while True:
            changed = state.changed
            left = ends_at - time.monotonic()
            if state.live["number"] > after:
                return web.Response(body=msgpack.packb(state.live))
            if left <= 0 or state.faults["mode"] == "down":
                return web.Response(status=204)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def create_lease(request):
        lease_id = f"lease-{next(LEASE_IDS)}"
        ttl = float(request.query["ttl_s"])
        state.leases[lease_id] = (ttl, time.monotonic() + ttl)
        return web.Response(text=lease_id)

    async def keep_lease(request):
        lease_id = request.match_info["lease_id"]
        if lease_id not in state.leases:
            return web.Response(status=404)
        ttl, _ = state.leases[lease_id]
        state.leases[lease_id] = (ttl, time.monotonic() + ttl)
        return web.Response()

    async def set_live(request):
        wanted = await request.json()
        state.live = {**state.live, **wanted, "number": state.live["number"] + 1}
        pulse(state)
        return web.Response()

    async def set_faults(request):
        state.faults.update(await request.json())
        pulse(state)
        return web.Response()

    async def stats(request):
        return web.json_response({"calls": state.calls, "revision": state.revision})

    async def sweep_leases(app):
        async def sweep():
            while True:
                await asyncio.sleep(LEASE_SWEEP_S)
                now = time.monotonic()
                for lease_id, (_, ends_at) in list(state.leases.items()):
                    if ends_at <= now:
                        del state.leases[lease_id]
                        expire_keys(state, lease_id)

        task = asyncio.create_task(sweep())
        yield
        task.cancel()

    app = web.Application(middlewares=[inject_faults], client_max_size=2_097_152)
    app.router.add_get("/kv/{key:.+}", get_key)
    app.router.add_put("/kv/{key:.+}", put_key)
    app.router.add_get("/list", list_keys)
    app.router.add_get("/watch", watch)
    app.router.add_get("/live", live)
    app.router.add_post("/leases", create_lease)
    app.router.add_put("/leases/{lease_id}", keep_lease)
    app.router.add_put("/admin/live", set_live)
    app.router.add_put("/admin/faults", set_faults)
    app.router.add_get("/admin/stats", stats)
    app.cleanup_ctx.append(sweep_leases)
    return app


def expire_keys(state, lease_id):
    """Removes the values that were bound to a lease."""
    for key, entry in list(state.entries.items()):
        if entry.lease_id == lease_id:
            del state.entries[key]
            state.revision += 1
    pulse(state)


@click.command()
@click.option("--host", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", type=int, required=True, help="TCP port.")
def main(host, port):
    """Runs the store stand-in."""
    app = make_store_app()
    web.run_app(app, host=host, port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
