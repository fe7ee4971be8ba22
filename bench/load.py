"""Open-loop load generator: arrivals do not wait for answers."""

import asyncio
import contextlib
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

__all__ = [
    "LoadResult",
    "Sender",
    "make_direct_sender",
    "make_system_sender",
    "run_load",
]

BLOCKS_PER_REGION = 200
LOOKUP_TTL_S = 10.0
REQUEST_TIMEOUT_S = 15.0
DIRECT_TRIES = 3
LOGICAL_NODES = 20


class LoadResult:
    """Measurements of one run of load.

    Attributes:
        histogram: HDR histogram of the answers, from intended start (us).
        ok: Number of complete answers.
        refused: Map of result code to its count.
        failed: Number of requests that ended in any other way.
        lag_s: Largest delay of the generator behind its schedule (s).
    """

    __slots__ = ("failed", "histogram", "lag_s", "ok", "refused")

    def __init__(self):
        self.histogram = HdrHistogram(10, 60_000_000, 3)
        self.ok = 0
        self.refused = {}
        self.failed = 0
        self.lag_s = 0.0

    def percentile_ms(self, percentile):
        """Returns a percentile of the answers (ms)."""
        return self.histogram.get_value_at_percentile(percentile) / 1000.0

    def as_row(self):
        """Returns the result as plain values."""
        return {
            "ok": self.ok,
            "refused": self.refused,
            "failed": self.failed,
            "p50_ms": self.percentile_ms(50.0),
            "p99_ms": self.percentile_ms(99.0),
            "p999_ms": self.percentile_ms(99.9),
            "generator_lag_ms": round(self.lag_s * 1000.0, 2),
        }


class Sender:
    """Sends requests on connections of callers in each region.

    Attributes:
        send: Asynchronous function of a random number generator that sends one
            request and returns (status, code).
        sessions: List of aiohttp sessions to close.
    """

    __slots__ = ("send", "sessions")

    def __init__(self, send, sessions):
        self.send = send
        self.sessions = sessions

    async def close(self):
        """Closes the connections."""
        for session in self.sessions:
            await session.close()


def _sessions(deployment):
    """Returns a map of region to a session with a source address in the region."""
    return {
        region: aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, local_addr=(f"127.{number}.0.2", 0), keepalive_timeout=60
            ),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )
        for region, number in deployment.network.numbers.items()
    }


def make_system_sender(fleet, deployment, service, path="x"):
    """Returns a Sender that sends to the instance that a look-up names.

    Args:
        fleet: Fleet.
        deployment: Deployment.
        service: Service name.
        path: Path below the service.
    """
    sessions = _sessions(deployment)
    cached = {}

    async def look_up(region, block):
        """Returns the URL for a block, from the cache while its TTL lasts."""
        found, until = cached.get((region, block), (None, 0.0))
        if time.monotonic() < until:
            return found
        number = deployment.network.numbers[region]
        names = sorted(fleet.instances)
        for step in range(len(names)):
            inst = fleet.instances[names[(block + step) % len(names)]]
            url = (
                f"{inst.url}/v1/lookup?service={service}&client=127.{number}.{block}.9"
            )
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with sessions[region].get(url) as resp:
                    answer = await resp.json()
                    if resp.status == 200:
                        cached[region, block] = (
                            answer["url"],
                            time.monotonic() + LOOKUP_TTL_S,
                        )
                        return answer["url"]
        return None

    async def send(rng):
        region = rng.choice(sorted(sessions))
        block = rng.randrange(BLOCKS_PER_REGION)
        for _ in range(2):
            url = await look_up(region, block)
            headers = {"Tenant": f"{region}-{block}"}
            try:
                async with sessions[region].get(url + path, headers=headers) as resp:
                    await resp.read()
                    return resp.status, resp.headers.get("Result-Code", "0")
            except (aiohttp.ClientError, OSError):
                cached.pop((region, block), None)
        return 0, "lost"

    return Sender(send, list(sessions.values()))


def make_direct_sender(fleet, deployment, service, policy):
    """Returns a Sender that picks backend servers itself, as a baseline.

    Args:
        fleet: Fleet.
        deployment: Deployment.
        service: Service name.
        policy: "random", "round-robin" or "least-known", the server with the fewest
            open requests of the same node. Each of 20 logical entry nodes counts
            only its own requests, and sends a shed request to another server.
    """
    sessions = _sessions(deployment)
    servers = [e for e in fleet.backends if e["service"] == service]
    nodes = [
        {"open": dict.fromkeys(range(len(servers)), 0), "next": index}
        for index in range(LOGICAL_NODES)
    ]

    def pick(node, rng, tried):
        untried = [i for i in range(len(servers)) if i not in tried]
        if policy == "random":
            return rng.choice(untried)
        if policy == "round-robin":
            node["next"] = (node["next"] + 1) % len(servers)
            return node["next"] if node["next"] in untried else rng.choice(untried)
        least = min(node["open"][i] for i in untried)
        return rng.choice([i for i in untried if node["open"][i] == least])

    async def send(rng):
        region = rng.choice(sorted(sessions))
        node = rng.choice(nodes)
        tried = set()
        for _ in range(DIRECT_TRIES):
            index = pick(node, rng, tried)
            tried.add(index)
            entry = servers[index]
            node["open"][index] += 1
            try:
                url = f"http://127.0.0.1:{entry['port']}/x"
                async with sessions[region].get(url) as resp:
                    await resp.read()
                    if resp.status != 503:
                        return resp.status, "0"
            except (TimeoutError, aiohttp.ClientError, OSError):
                return 0, "lost"
            finally:
                node["open"][index] -= 1
        return 503, "2001"

    return Sender(send, list(sessions.values()))


async def run_load(sender, rate, seconds, seed, bursts=()):
    """Sends requests at random arrival times.

    Args:
        sender: Sender.
        rate: Arrivals a second.
        seconds: Length of the run (s).
        seed: Seed of the arrival times.
        bursts: List of (start, end, factor) within the run.

    Returns:
        LoadResult with latencies from the intended start of each request.
    """
    rng = random.Random(seed)
    result = LoadResult()
    tasks = set()
    loop = asyncio.get_running_loop()
    started = loop.time()

    async def send_one(intended_at, seed_of_request):
        try:
            status, code = await sender.send(random.Random(seed_of_request))
        except (TimeoutError, aiohttp.ClientError, OSError):
            status, code = 0, "lost"
        if status == 200:
            result.ok += 1
            elapsed_us = int((loop.time() - intended_at) * 1_000_000)
            result.histogram.record_value(max(10, elapsed_us))
        elif status == 503:
            result.refused[code] = result.refused.get(code, 0) + 1
        else:
            result.failed += 1

    arrival_s = 0.0
    while True:
        factor = next((f for s, e, f in bursts if s <= arrival_s < e), 1.0)
        arrival_s += rng.expovariate(rate * factor)
        if arrival_s > seconds:
            break
        wait_s = started + arrival_s - loop.time()
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)
        result.lag_s = max(result.lag_s, loop.time() - started - arrival_s)
        task = asyncio.ensure_future(send_one(started + arrival_s, rng.random()))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return result
