"""Starts a whole fleet as separate processes on loopback, for tests and demos."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time

import aiohttp

from flamingolift_standins.fleetcontrol import backend_reports, publish_live

__all__ = [
    "OPERATOR_KEY",
    "Fleet",
    "FleetInstance",
    "Network",
    "free_ports",
    "instance_environment",
    "is_ready",
    "operator_get",
    "start_fleet",
    "start_instance",
    "start_instances",
    "stop_fleet",
    "wait_ready",
    "wait_until",
]

PEER_KEYS = "k1:" + "a1" * 16
TICKET_KEYS = "t1:" + "b2" * 16
OPERATOR_KEY = "c3" * 16
RAIL_REGIONS = {
    "greater-accra": ["accra-central", "tema-junction"],
    "ashanti": ["kumasi-yard", "obuasi-line"],
    "western": ["takoradi-port", "tarkwa-depot"],
}
"""Regions of the Rail Authority with their failure domains."""
START_TIMEOUT_S = 30.0
POLL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000


class FleetInstance:
    """One entry instance as a process.

    Attributes:
        name: Instance name.
        region: Region name.
        failure_domain: Failure domain name.
        host: IP address.
        caller_port: TCP port for callers.
        operator_port: TCP port for operators.
        peer_port: TCP port for peers.
        front_port: TCP port announced to peers; a delaying front may stand there.
        process: Process, or None.
        log_path: File that its log goes to.
    """

    __slots__ = (
        "caller_port",
        "failure_domain",
        "front_port",
        "host",
        "log_path",
        "name",
        "operator_port",
        "peer_port",
        "process",
        "region",
    )

    def __init__(self, name, region, failure_domain, host, ports, log_path):
        self.host = host
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.caller_port, self.operator_port, self.peer_port = ports
        self.front_port = self.peer_port
        self.process = None
        self.log_path = log_path

    def as_entry(self, state="live"):
        """Returns the live list's entry."""
        return {
            "instance_id": self.name,
            "region": self.region,
            "failure_domain": self.failure_domain,
            "host": self.host,
            "caller_port": self.caller_port,
            "operator_port": self.operator_port,
            "peer_port": self.front_port,
            "state": state,
        }

    @property
    def url(self):
        """Base URL for callers."""
        return f"http://{self.host}:{self.caller_port}"


class Network:
    """Delays between regions, told apart by the second number of the address.

    Attributes:
        numbers: Map of region to the second number of its addresses.
        within_s: One-way delay within a region (s).
        between_s: One-way delay between regions (s).
    """

    __slots__ = ("between_s", "numbers", "within_s")

    def __init__(self, numbers, within_s, between_s):
        self.numbers = numbers
        self.within_s = within_s
        self.between_s = between_s

    def number(self, region):
        """Returns the second number of a region's addresses."""
        return self.numbers[region]

    def round_trips(self, region):
        """Returns the round trips to a region (s), by the source's number."""
        return {
            str(number): 2.0 * (self.within_s if name == region else self.between_s)
            for name, number in self.numbers.items()
        }


class Fleet:
    """A store, backend servers and instances, all on loopback.

    Attributes:
        regions: Map of region to its failure domains.
        instances: Map of instance name to FleetInstance.
        backends: List of the live list's backend entries, with "time_ms".
        processes: Processes of the stand-ins.
        store_port: TCP port of the store.
        admin_ports: TCP ports of the backend stand-ins' admin listeners.
        folder: Folder for the logs.
        options: Extra settings for every instance.
        session: aiohttp session for tests.
    """

    __slots__ = (
        "admin_ports",
        "backends",
        "folder",
        "instances",
        "options",
        "processes",
        "regions",
        "session",
        "store_port",
    )

    def __init__(self, regions, folder, options):
        self.regions = regions
        self.instances = {}
        self.backends = []
        self.processes = []
        self.store_port = 0
        self.admin_ports = {}
        self.folder = folder
        self.options = options
        self.session = None

    @property
    def store_url(self):
        """Base URL of the store."""
        return f"http://127.0.0.1:{self.store_port}"


def free_ports(count):
    """Returns TCP ports that are free now, below those of outgoing connections."""
    found = set()
    while len(found) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("0.0.0.0", port))
            found.add(port)
    return list(found)


async def wait_until(check, timeout_s=START_TIMEOUT_S, what="condition"):
    """Waits until an asynchronous check returns something true.

    Returns:
        What the check returned.

    Raises:
        TimeoutError: The time passed; the message names the condition.
    """
    ends_at = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError, asyncio.TimeoutError):
            value = await check()
            if value:
                return value
        if time.monotonic() > ends_at:
            raise TimeoutError(f"{what} not reached within {timeout_s} s")
        await asyncio.sleep(POLL_S)


async def _spawn(fleet, name, module, *args, env=None):
    log = open(os.path.join(fleet.folder, f"{name}.log"), "ab")  # noqa: SIM115
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            stdout=log,
            stderr=log,
            env={**os.environ, **(env or {})},
        )
    finally:
        log.close()


def instance_environment(fleet, inst):
    """Returns the environment of an instance's process."""
    others = [other for other in fleet.instances.values() if other is not inst]
    seeds = [f"{other.host}:{other.front_port}" for other in others]
    values = {
        "INSTANCE_ID": inst.name,
        "REGION": inst.region,
        "FAILURE_DOMAIN": inst.failure_domain,
        "HOST": inst.host,
        "CALLER_PORT": inst.caller_port,
        "OPERATOR_PORT": inst.operator_port,
        "PEER_PORT": inst.peer_port,
        "STORE_URL": fleet.store_url,
        "PEER_SEEDS": ",".join(seeds[:4]),
        "PEER_KEYS": PEER_KEYS,
        "TICKET_KEYS": TICKET_KEYS,
        "OPERATOR_KEYS": "o1:" + OPERATOR_KEY,
        **{name.upper(): value for name, value in fleet.options.items()},
    }
    return {f"FLAMINGOLIFT_{name}": str(value) for name, value in values.items()}


async def start_instance(fleet, inst):
    """Starts, or restarts, the process of an instance."""
    env = instance_environment(fleet, inst)
    inst.process = await _spawn(fleet, inst.name, "flamingolift_daemon.main", env=env)


async def operator_get(fleet, inst, path):
    """Returns an operator's page of an instance."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"http://{inst.host}:{inst.operator_port}{path}"
    async with fleet.session.get(url, headers=headers) as resp:
        return await resp.json()


async def start_fleet(
    regions,
    per_domain,
    services,
    folder,
    *,
    options=None,
    backend_processes=2,
    instances=None,
    network=None,
):
    """Starts a fleet without a policy.

    Args:
        regions: Map of region to its failure domains.
        per_domain: Number of instances in each failure domain.
        services: List of (service, servers, slots, time_ms).
        folder: Folder for the logs.
        options: Extra settings for every instance.
        backend_processes: Processes that host the backend servers.
        instances: Number of instances; overrides `per_domain`.
        network: Network with the delays between regions, or None for no delay.

    Returns:
        Fleet whose store and backend servers run; instances are started by
        `start_instances`.
    """
    fleet = Fleet(regions, str(folder), options or {})
    fleet.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    domains = [(r, d) for r, names in regions.items() for d in names]
    server_count = sum(count for _, count, _, _ in services)
    instance_count = instances or per_domain * len(domains)
    ports = free_ports(1 + server_count + backend_processes + 4 * instance_count)
    fleet.store_port = ports.pop()
    for service, count, slots, time_ms in services:
        for number in range(count):
            region, domain = domains[number % len(domains)]
            fleet.backends.append(
                {
                    "server_id": f"{service}-{number + 1}",
                    "service": service,
                    "region": region,
                    "failure_domain": domain,
                    "host": "127.0.0.1",
                    "port": ports.pop(),
                    "slots": slots,
                    "time_ms": time_ms,
                    "delays": network.round_trips(region) if network else {},
                }
            )
    store = _spawn(
        fleet, "store", "flamingolift_standins.store", "--port", str(fleet.store_port)
    )
    fleet.processes.append(await store)
    for index in range(backend_processes):
        mine = fleet.backends[index::backend_processes]
        admin_port = ports.pop()
        fleet.admin_ports.update({e["server_id"]: admin_port for e in mine})
        specs = json.dumps(mine)
        args = ("--admin-port", str(admin_port), "--specs", specs)
        name = f"backend-{index}"
        process = _spawn(fleet, name, "flamingolift_standins.backend", *args)
        fleet.processes.append(await process)
    for number in range(instance_count):
        region, domain = domains[number % len(domains)]
        name = f"{domain}-{number // len(domains) + 1}"
        trio = [ports.pop() for _ in range(3)]
        host = f"127.{network.number(region)}.0.1" if network else "127.0.0.1"
        log_path = os.path.join(fleet.folder, f"{name}.log")
        inst = FleetInstance(name, region, domain, host, trio, log_path)
        fleet.instances[name] = inst
        if network:
            inst.front_port = ports.pop()
    if network:
        await _start_fronts(fleet, network)
    await wait_until(lambda: _store_is_up(fleet), what="store")
    await wait_until(lambda: backend_reports(fleet), what="backend servers")
    return fleet


async def _start_fronts(fleet, network):
    """Starts one process of delaying fronts for each region."""
    for region in fleet.regions:
        fronts = [
            (inst.host, inst.front_port, inst.peer_port)
            for inst in fleet.instances.values()
            if inst.region == region
        ]
        delays = {k: v / 2.0 for k, v in network.round_trips(region).items()}
        args = ("--fronts", json.dumps(fronts), "--delays", json.dumps(delays))
        name = f"front-{region}"
        process = _spawn(fleet, name, "flamingolift_standins.delayfront", *args)
        fleet.processes.append(await process)


async def _store_is_up(fleet):
    async with fleet.session.get(f"{fleet.store_url}/admin/stats") as resp:
        return resp.status == 200


async def start_instances(fleet):
    """Publishes the live list and starts all instances."""
    await publish_live(fleet)
    for inst in fleet.instances.values():
        await start_instance(fleet, inst)


async def is_ready(fleet, inst):
    """Returns whether an instance answers on its ready page."""
    async with fleet.session.get(f"{inst.url}/readyz") as resp:
        return resp.status == 200


async def wait_ready(fleet, names=None):
    """Waits until the instances are ready."""
    for name, inst in fleet.instances.items():
        if names is None or name in names:
            await wait_until(lambda inst=inst: is_ready(fleet, inst), what=name)


async def stop_fleet(fleet):
    """Ends every process that the fleet started."""
    processes = [i.process for i in fleet.instances.values() if i.process]
    processes += fleet.processes
    for process in processes:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
    for process in processes:
        await process.wait()
    await fleet.session.close()
