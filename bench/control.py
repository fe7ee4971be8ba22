"""Measures the control cost of idle instances in real processes."""

import asyncio
import time

import psutil
from flamingolift_standins.fleet import operator_get

__all__ = ["measure_idle"]


async def store_calls(fleet):
    """Returns the number of calls that the store has received."""
    async with fleet.session.get(f"{fleet.store_url}/admin/stats") as resp:
        return sum((await resp.json())["calls"].values())


async def measure_idle(fleet, seconds):
    """Measures all instances of a fleet without callers.

    Args:
        fleet: Fleet whose instances are ready.
        seconds: Length of the measurement (s).

    Returns:
        Plain values: mean and largest share of a core, largest resident memory
        (MB), bytes sent to peers a second by each, store calls a second by all.
    """
    processes = [psutil.Process(i.process.pid) for i in fleet.instances.values()]

    async def sent_bytes():
        pages = [
            await operator_get(fleet, inst, "/v1/status")
            for inst in fleet.instances.values()
        ]
        return [page["counters"].get("peer.sent_bytes", 0) for page in pages]

    before, calls = await sent_bytes(), await store_calls(fleet)
    started = time.monotonic()
    for process in processes:
        process.cpu_percent()
    await asyncio.sleep(seconds)
    shares = [process.cpu_percent() / 100.0 for process in processes]
    elapsed = time.monotonic() - started
    calls = (await store_calls(fleet)) - calls
    after = await sent_bytes()
    rates = [(b - a) / elapsed for a, b in zip(before, after, strict=True)]
    return {
        "instances": len(processes),
        "core_share_mean": round(sum(shares) / len(shares), 4),
        "core_share_max": round(max(shares), 4),
        "resident_mb_max": round(max(p.memory_info().rss for p in processes) / 1e6, 1),
        "sent_bytes_s_mean": round(sum(rates) / len(rates)),
        "sent_bytes_s_max": round(max(rates)),
        "store_calls_s": round(calls / elapsed, 2),
    }
