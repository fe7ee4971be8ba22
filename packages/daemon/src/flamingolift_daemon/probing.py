"""Health and load probes of the backend servers that this instance dispatches."""

import asyncio

import aiohttp
from flamingolift_decisions.servers import record_probe

from flamingolift_daemon.instance import start_task
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count

__all__ = ["run_probes"]

MAX_REPORT_BYTES = 4_096


async def run_probes(instance):
    """Keeps one probing task for each backend server in a pool, for ever."""
    probing = {}
    origin = (instance.cfg.host, 0)
    connector = aiohttp.TCPConnector(force_close=True, limit=0, local_addr=origin)
    session = aiohttp.ClientSession(connector=connector)
    try:
        while True:
            wanted = {
                (key, name)
                for key, pool in instance.pools.items()
                for name in pool.servers
            }
            for item in set(probing) - wanted:
                probing.pop(item).cancel()
            for item in wanted - set(probing):
                probing[item] = start_task(instance, _probe(instance, session, *item))
            await asyncio.sleep(instance.cfg.probe_interval_s)
    finally:
        await session.close()


async def _probe(instance, session, key, name):
    """Probes one backend server, each time over a new connection."""
    cfg = instance.cfg
    timeout = aiohttp.ClientTimeout(total=2.0 * cfg.connect_timeout_s)
    while True:
        pool = instance.pools.get(key)
        server = pool.servers.get(name) if pool else None
        if server is None:
            return
        url = f"http://{server.entry.host}:{server.entry.port}"
        alive, draining, busy = await _ask(session, url, timeout)
        count(instance.metrics, "probes.sent")
        if alive != server.healthy and not (alive and server.healthy is None):
            logger.info("backend_server_health", extra={"server": name, "up": alive})
        record_probe(server, alive, draining, busy, instance.clock.now())
        await asyncio.sleep(cfg.probe_interval_s)


async def _ask(session, url, timeout):
    """Returns (alive, draining, busy slots or None) of one backend server."""
    try:
        async with session.get(f"{url}/health", timeout=timeout) as resp:
            state = (await resp.content.read(MAX_REPORT_BYTES)).decode().strip()
            alive = resp.status == 200 or state == "draining"
    except (TimeoutError, aiohttp.ClientError, OSError, UnicodeDecodeError):
        return False, False, None
    busy = None
    try:
        async with session.get(f"{url}/load", timeout=timeout) as resp:
            busy = int(await resp.content.read(MAX_REPORT_BYTES))
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
        pass
    return alive, state == "draining", busy
