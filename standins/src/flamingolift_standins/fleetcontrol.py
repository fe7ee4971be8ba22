"""Controls the store and the backend servers of a running fleet."""

from flamingolift_cli.policyhead import POLICY_KEY

__all__ = [
    "backend_reports",
    "policy_written_at",
    "publish_live",
    "reset_backends",
    "set_backend",
    "set_store_faults",
]


async def publish_live(fleet, leaving=(), without=()):
    """Publishes the platform's live list.

    Args:
        fleet: Fleet.
        leaving: Names of the instances that are listed as leaving.
        without: Names of the instances that are not listed.
    """
    body = {
        "instances": [
            inst.as_entry("leaving" if inst.name in leaving else "live")
            for inst in fleet.instances.values()
            if inst.name not in without
        ],
        "backend_servers": [
            {name: entry[name] for name in entry if name not in ("time_ms", "delays")}
            for entry in fleet.backends
        ],
    }
    async with fleet.session.put(f"{fleet.store_url}/admin/live", json=body) as resp:
        resp.raise_for_status()


async def set_store_faults(fleet, **faults):
    """Sets the faults of the store stand-in."""
    async with fleet.session.put(
        f"{fleet.store_url}/admin/faults", json=faults
    ) as resp:
        resp.raise_for_status()


async def set_backend(fleet, server_id, **values):
    """Sets attributes of the `ServerState` of one backend server."""
    port = fleet.admin_ports[server_id]
    url = f"http://127.0.0.1:{port}/server/{server_id}"
    async with fleet.session.put(url, json=values) as resp:
        resp.raise_for_status()


async def backend_reports(fleet):
    """Returns the merged reports of all backend stand-ins.

    Each server's row has "age_s", the time since its last request started (s).
    """
    servers, bookings = {}, {}
    for port in sorted(set(fleet.admin_ports.values())):
        async with fleet.session.get(f"http://127.0.0.1:{port}/report") as resp:
            report = await resp.json()
        for row in report["servers"].values():
            row["age_s"] = report["now"] - row["last_start"]
        servers.update(report["servers"])
        for name, runs in report["bookings"].items():
            bookings[name] = bookings.get(name, 0) + runs
    return {"servers": servers, "bookings": bookings}


async def reset_backends(fleet):
    """Clears the start times, peaks and refusal counts of all backend servers."""
    for port in sorted(set(fleet.admin_ports.values())):
        async with fleet.session.put(f"http://127.0.0.1:{port}/reset") as resp:
            resp.raise_for_status()


async def policy_written_at(fleet):
    """Returns the time at which the store took the last policy (s, monotonic)."""
    async with fleet.session.get(f"{fleet.store_url}/admin/stats") as resp:
        return (await resp.json())["written_at"][POLICY_KEY]
