"""Stand-in for the platform: key-value store with leases and watches, live list."""

import asyncio
import itertools
import time

import click
import msgpack
from aiohttp import web

__all__ = ["main", "make_store_app"]

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Time between checks for expired leases (s)."""


class Entry:
    """One stored value.

    Attributes:
        revision: Revision of its last write.
        body: Value (bytes).
        lease_id: Lease with which it expires, or None.
        written_at: Time of its last write (s, monotonic clock of the machine).
    """

    __slots__ = ("body", "lease_id", "revision", "written_at")

    def __init__(self, revision, body, lease_id):
        self.revision = revision
        self.body = body
        self.lease_id = lease_id
        self.written_at = time.monotonic()


class StoreState:
    """Stored values, leases, live list, faults and call counts.

    Attributes:
        entries: Map of key to Entry.
        revision: Revision of the last write.
        leases: Map of lease id to (time to live (s), expiry (s, monotonic clock)).
        live: Live list, as its JSON value.
        faults: Map with "mode" ("up", "down": aborts connections, "slow"), "delay_s"
            for "slow", and "lose_answers", the number of next writes whose
            response is lost.
        calls: Map of method and first path segment to the number of calls.
        changed: Event that is set and replaced at each write.
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


def wake_watches(state):
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
        expected = request.headers.get("If-Revision")
        if expected is not None and int(expected) != current:
            return web.Response(status=409, headers={"Revision": str(current)})
        lease_id = request.headers.get("Lease")
        if lease_id is not None and lease_id not in state.leases:
            return web.Response(status=404)
        state.revision += 1
        state.entries[key] = Entry(state.revision, body, lease_id)
        wake_watches(state)
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
            remaining_s = ends_at - time.monotonic()
            down = state.faults["mode"] == "down"
            if len(lines) > 1 or remaining_s <= 0 or down:
                return web.Response(body=b"".join(lines))
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                pass

    async def live(request):
        after = int(request.query["after"])
        ends_at = time.monotonic() + float(request.query["wait"])
        while True:
            changed = state.changed
            remaining_s = ends_at - time.monotonic()
            if state.live["number"] > after:
                return web.Response(body=msgpack.packb(state.live))
            if remaining_s <= 0 or state.faults["mode"] == "down":
                return web.Response(status=204)
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                pass

    async def create_lease(request):
        lease_id = f"lease-{next(LEASE_IDS)}"
        ttl = float(request.query["ttl_s"])
        state.leases[lease_id] = (ttl, time.monotonic() + ttl)
        return web.Response(text=lease_id)

    async def renew_lease(request):
        lease_id = request.match_info["lease_id"]
        if lease_id not in state.leases:
            return web.Response(status=404)
        ttl, _ = state.leases[lease_id]
        state.leases[lease_id] = (ttl, time.monotonic() + ttl)
        return web.Response()

    async def set_live(request):
        changes = await request.json()
        state.live = {**state.live, **changes, "number": state.live["number"] + 1}
        wake_watches(state)
        return web.Response()

    async def set_faults(request):
        state.faults.update(await request.json())
        wake_watches(state)
        return web.Response()

    async def stats(request):
        written_at = {key: entry.written_at for key, entry in state.entries.items()}
        return web.json_response(
            {
                "calls": state.calls,
                "revision": state.revision,
                "written_at": written_at,
            }
        )

    async def run_expiry(app):
        async def expire_leases():
            while True:
                await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
                now = time.monotonic()
                for lease_id, (_, ends_at) in list(state.leases.items()):
                    if ends_at <= now:
                        del state.leases[lease_id]
                        expire_keys(state, lease_id)

        task = asyncio.create_task(expire_leases())
        yield
        task.cancel()

    app = web.Application(middlewares=[inject_faults], client_max_size=2_097_152)
    app.router.add_get("/kv/{key:.+}", get_key)
    app.router.add_put("/kv/{key:.+}", put_key)
    app.router.add_get("/list", list_keys)
    app.router.add_get("/watch", watch)
    app.router.add_get("/live", live)
    app.router.add_post("/leases", create_lease)
    app.router.add_put("/leases/{lease_id}", renew_lease)
    app.router.add_put("/admin/live", set_live)
    app.router.add_put("/admin/faults", set_faults)
    app.router.add_get("/admin/stats", stats)
    app.cleanup_ctx.append(run_expiry)
    return app


def expire_keys(state, lease_id):
    """Removes the values that are bound to a lease."""
    for key, entry in list(state.entries.items()):
        if entry.lease_id == lease_id:
            del state.entries[key]
            state.revision += 1
    wake_watches(state)


@click.command()
@click.option("--host", default="127.0.0.1", help="IP address to listen on.")
@click.option("--port", type=int, required=True, help="TCP port.")
def main(host, port):
    """Runs the store stand-in."""
    app = make_store_app()
    web.run_app(app, host=host, port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
