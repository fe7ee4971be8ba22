"""Starts a fleet as separate processes on loopback, for tests, benchmark and demo."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time

import aiohttp

from flamingolift_standins.fleetcontrol import backend_reports, publish_live
from flamingolift_standins.ports import free_ports

__all__ = [
    "OPERATOR_KEY",
    "Fleet",
    "FleetInstance",
    "Network",
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


class FleetInstance:
    """One entry instance in a process of its own.

    Attributes:
        name: Instance name.
        region: Region name.
        failure_domain: Failure domain name.
        host: IP address.
        caller_port: TCP port for callers.
        operator_port: TCP port for operators.
        peer_port: TCP port for peers.
        advertised_peer_port: TCP port that peers connect to: that of its delay
            proxy if it has one, else `peer_port`.
        process: Process, or None before the start.
        log_path: Path of its log file.
    """

    __slots__ = (
        "advertised_peer_port",
        "caller_port",
        "failure_domain",
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
        self.advertised_peer_port = self.peer_port
        self.process = None
        self.log_path = log_path

    def as_entry(self, state="live"):
        """Returns its entry in the live list."""
        return {
            "instance_id": self.name,
            "region": self.region,
            "failure_domain": self.failure_domain,
            "host": self.host,
            "caller_port": self.caller_port,
            "operator_port": self.operator_port,
            "peer_port": self.advertised_peer_port,
            "state": state,
        }

    @property
    def url(self):
        """Base URL for callers."""
        return f"http://{self.host}:{self.caller_port}"


class Network:
    """Network delays between regions; each has its own second octet of addresses.

    Attributes:
        numbers: Map of region to the second octet of its addresses.
        within_s: One-way delay within a region (s).
        between_s: One-way delay between regions (s).
    """

    __slots__ = ("between_s", "numbers", "within_s")

    def __init__(self, numbers, within_s, between_s):
        self.numbers = numbers
        self.within_s = within_s
        self.between_s = between_s

    def number(self, region):
        """Returns the second octet of a region's addresses."""
        return self.numbers[region]

    def round_trips(self, region):
        """Returns the round-trip times to a region (s), by the source octet."""
        return {
            str(number): 2.0 * (self.within_s if name == region else self.between_s)
            for name, number in self.numbers.items()
        }


class Fleet:
    """A store, backend servers and instances, all on loopback.

    Attributes:
        regions: Map of region to its failure domains.
        instances: Map of instance name to FleetInstance.
        backends: List of the live list's backend entries, each also with its mean
            processing time "time_ms" and the round-trip times "delays".
        processes: Processes of the stand-ins for store and backend servers.
        store_port: TCP port of the store.
        admin_ports: Map of backend server id to the TCP port of the admin interface
            of its process.
        folder: Folder of the log files.
        options: Map of further settings of every instance to their values.
        session: aiohttp session for requests to the fleet.
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


async def wait_until(check, timeout_s=START_TIMEOUT_S, description="condition"):
    """Polls an asynchronous function until it returns a true value.

    A connection error or timeout in the function counts as a false value.

    Args:
        check: Function without arguments.
        timeout_s: Longest time to wait (s).
        description: Name of the condition, for the error message.

    Returns:
        The true value.

    Raises:
        TimeoutError: The function returned no true value in time.
    """
    ends_at = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError, asyncio.TimeoutError):
            value = await check()
            if value:
                return value
        if time.monotonic() > ends_at:
            raise TimeoutError(f"{description} not reached within {timeout_s} s")
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
    """Returns the environment variables of an instance's process."""
    others = [other for other in fleet.instances.values() if other is not inst]
    seeds = [f"{other.host}:{other.advertised_peer_port}" for other in others]
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
    """Returns a JSON document from the operator interface of an instance."""
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
    """Starts the store and the backend servers of a fleet, which has no policy yet.

    Args:
        regions: Map of region to its failure domains.
        per_domain: Number of instances in each failure domain.
        services: List of (service, number of servers, slots of each, mean processing
            time (ms)).
        folder: Folder of the log files.
        options: Map of further settings of every instance to their values.
        backend_processes: Number of processes that host the backend servers.
        instances: Number of instances; overrides `per_domain`.
        network: Network with the delays between regions, or None for no delays.

    Returns:
        Fleet; `start_instances` starts its instances.
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
        hosted = fleet.backends[index::backend_processes]
        admin_port = ports.pop()
        fleet.admin_ports.update({e["server_id"]: admin_port for e in hosted})
        specs = json.dumps(hosted)
        args = ("--admin-port", str(admin_port), "--specs", specs)
        name = f"backend-{index}"
        process = _spawn(fleet, name, "flamingolift_standins.backend", *args)
        fleet.processes.append(await process)
    for number in range(instance_count):
        region, domain = domains[number % len(domains)]
        name = f"{domain}-{number // len(domains) + 1}"
        instance_ports = [ports.pop() for _ in range(3)]
        host = f"127.{network.number(region)}.0.1" if network else "127.0.0.1"
        log_path = os.path.join(fleet.folder, f"{name}.log")
        inst = FleetInstance(name, region, domain, host, instance_ports, log_path)
        fleet.instances[name] = inst
        if network:
            inst.advertised_peer_port = ports.pop()
    if network:
        await _start_delay_proxies(fleet, network)
    await wait_until(lambda: _store_is_up(fleet), description="store")
    await wait_until(lambda: backend_reports(fleet), description="backend servers")
    return fleet


async def _start_delay_proxies(fleet, network):
    """Starts one process of delay proxies for each region."""
    for region in fleet.regions:
        proxies = [
            (inst.host, inst.advertised_peer_port, inst.peer_port)
            for inst in fleet.instances.values()
            if inst.region == region
        ]
        delays = {k: v / 2.0 for k, v in network.round_trips(region).items()}
        args = ("--fronts", json.dumps(proxies), "--delays", json.dumps(delays))
        name = f"delay-proxy-{region}"
        process = _spawn(fleet, name, "flamingolift_standins.delayproxy", *args)
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
    """Returns whether the readiness check of an instance succeeds."""
    async with fleet.session.get(f"{inst.url}/readyz") as resp:
        return resp.status == 200


async def wait_ready(fleet, names=None):
    """Waits until the named instances, by default all, are ready."""
    for name, inst in fleet.instances.items():
        if names is None or name in names:
            await wait_until(lambda inst=inst: is_ready(fleet, inst), description=name)


async def stop_fleet(fleet):
    """Kills all processes of the fleet, suspended ones too, and closes its session."""
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
