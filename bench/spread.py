"""Measures how policies spread through a region whose instances have slow links.

Run as ``python -m bench.spread [OPTIONS] [SCENARIO ...]``. The instances are real
processes with the code on the module path; the store runs in the bench's process, and
each instance's control port and its path to the store go through its own link.
"""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

import click
import psutil
from flamingolift_model.plan import InstanceEntry
from flamingolift_standins.eventlog import read_event_log
from flamingolift_standins.linkproxy import Link, start_link_proxy, stop_link_proxy
from flamingolift_wire.codec import decode_document, encode_document

from bench.report import write_json
from bench.spreadreport import Run, print_run, read_metrics, summarize
from integration.platformfleet import (
    ROUTES,
    is_ready,
    late_route,
    make_platform,
    make_routes,
    put_policy,
    start_front,
    stop_platform,
)

__all__ = ["SCENARIOS", "Scenario", "main"]

MAX_INSTANCES = 58
"""Largest number of instances: with the bench and one spare, at most 60 processes."""
MAX_MEMORY_SHARE = 0.5
"""Share of the machine's memory that the instances and the bench may use (ratio)."""
INSTANCE_BYTES = 80 << 20
"""Memory for which each instance is planned (bytes)."""
START_TIMEOUT_S = 60.0
SETTLE_S = 3.0
"""Time without changes before the first measured one (s): longer than the pauses of
the instances between two rounds of their updates."""
WARM_UP_TIMEOUT_S = 10.0
SPREAD_TIMEOUT_S = 20.0
"""Longest time to wait until the last policy is in force on all instances (s)."""
POLL_S = 0.2
SAMPLE_S = 0.1
"""Interval between samples of the unsent bytes (s)."""
MIN_WINDOW_S = 3.0
"""Shortest time after the last change in which bytes are counted (s)."""
FIRST_VERSION = 100


class Scenario:
    """What is measured.

    Attributes:
        instances: Number of instances of the region.
        routes: Number of routes that the first change adds.
        link_mbps: List of link rates, assigned to the instances in turn (Mbit/s).
        changes: Number of changes; each after the first adds one route.
        gap_s: Time between two changes (s).
        cut_relays: Number of relays that fail right before the first change.
        cut_signal: Signal that these relays get.
        seed: Seed of the routes.
    """

    __slots__ = (
        "changes",
        "cut_relays",
        "cut_signal",
        "gap_s",
        "instances",
        "link_mbps",
        "routes",
        "seed",
    )

    def __init__(self, **options):
        self.instances = 20
        self.routes = 1600
        self.link_mbps = [10.0]
        self.changes = 1
        self.gap_s = 0.5
        self.cut_relays = 0
        self.cut_signal = signal.SIGSTOP
        self.seed = 1
        for name, value in options.items():
            setattr(self, name, value)


SCENARIOS = {
    "large": {},
    "follow-up": {"changes": 2},
    "series": {"changes": 12, "gap_s": 0.33},
    "huge": {"routes": 9000, "link_mbps": [5.0]},
    "relay-loss": {"cut_relays": 1},
}


class MachineLink:
    """The link of one instance's machine.

    Attributes:
        mbps: Rate in each direction (Mbit/s).
        outgoing: Link for its responses to peers and its requests to the store.
        incoming: Link for the store's responses.
    """

    __slots__ = ("incoming", "mbps", "outgoing")

    def __init__(self, mbps):
        self.mbps = mbps
        self.outgoing = Link(mbps * 1e6 / 8)
        self.incoming = Link(mbps * 1e6 / 8)


class Region:
    """A store and the instances of one region.

    Attributes:
        platform: PlatformFleet.
        links: Map of instance name to MachineLink.
        proxies: List of LinkProxy.
    """

    __slots__ = ("links", "platform", "proxies")

    def __init__(self, platform):
        self.platform = platform
        self.links = {}
        self.proxies = []


class Samples:
    """Values that are sampled while policies spread.

    Attributes:
        unsent: Map of control port to the most bytes that its sockets held (bytes).
        resident: Most memory of the bench and the instances (bytes).
        late_s: Longest delay of a sample (s), which shows whether the bench itself
            lacked processor time.
    """

    __slots__ = ("late_s", "resident", "unsent")

    def __init__(self):
        self.unsent = {}
        self.resident = 0
        self.late_s = 0.0


async def _start_region(region, scenario):
    """Starts the instances and waits until each knows all others."""
    platform, control_ports = region.platform, {}

    def translate(key, value):
        if not key.startswith("instances/"):
            return value
        entry = decode_document(InstanceEntry, value).ok
        entry.peer_port = control_ports[entry.peer_port]
        # Older code has no such field.
        if hasattr(entry, "link_mbps"):
            entry.link_mbps = region.links[entry.instance_id].mbps
        return encode_document(entry)

    platform.store.translate = translate
    for number in range(scenario.instances):
        rates = scenario.link_mbps
        name = f"front-{number}"
        region.links[name] = MachineLink(rates[number % len(rates)])
        await _start_instance(region, name, control_ports)
    deadline = time.monotonic() + START_TIMEOUT_S
    while waiting := [f for f in platform.fronts if not await _is_up(f, scenario)]:
        if time.monotonic() > deadline:
            logs = [_read_text(front)[-1000:] for front in waiting]
            raise TimeoutError("\n".join(("instances did not start:", *logs)))
        await asyncio.sleep(POLL_S)


async def _start_instance(region, name, control_ports):
    """Starts an instance whose traffic goes through its link."""
    link, platform = region.links[name], region.platform
    to_store = await start_link_proxy(
        link.incoming, "127.0.0.1", platform.store.port, link.outgoing
    )
    front = await start_front(platform, name, to_store.port)
    control_port = front.ports["control"]
    to_control = await start_link_proxy(link.outgoing, "127.0.0.1", control_port)
    control_ports[control_port] = to_control.port
    region.proxies += [to_store, to_control]


async def _is_up(front, scenario):
    """Returns whether an instance is ready and knows all others."""
    return _known_instances(front) == scenario.instances and await is_ready(front)


def _read_text(front):
    return front.log_path.read_text()


def _known_instances(front):
    return len({e["peer"] for e in read_event_log(front.log_path, "instance_changed")})


async def _stop_region(region):
    for proxy in region.proxies:
        await stop_link_proxy(proxy)
    await stop_platform(region.platform)


async def _wait_in_force(fronts, version, timeout_s):
    """Returns whether a policy came into force on all instances in time."""
    deadline = time.monotonic() + timeout_s
    while not all(_newest_policy(f) >= version for f in fronts):
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(POLL_S)
    return True


def _newest_policy(front):
    changes = read_event_log(front.log_path, "policy_in_force")
    return max((e["policy"] for e in changes), default=0)


async def _find_relays(region):
    """Returns the fronts that take changes from the store itself.

    They are found by a change, so that the bench does not depend on how the measured
    code chooses them.
    """
    fronts = region.platform.fronts
    put_policy(region.platform.store, 2)
    if not await _wait_in_force(fronts, 2, WARM_UP_TIMEOUT_S):
        raise TimeoutError("the first change did not reach every instance")
    return [
        front
        for front in fronts
        if any(
            e["policy"] == 2 and e["source"] == "store"
            for e in read_event_log(front.log_path, "policy_in_force")
        )
    ]


async def _sample(ports, processes, samples):
    """Samples until cancelled.

    Args:
        ports: Set of control ports.
        processes: List of psutil.Process whose memory is counted.
        samples: Samples.

    Raises:
        MemoryError: The processes use more than their share of the memory.
    """
    limit = MAX_MEMORY_SHARE * psutil.virtual_memory().total
    loop = asyncio.get_running_loop()
    while True:
        for port, unsent in _unsent_bytes(ports).items():
            samples.unsent[port] = max(samples.unsent.get(port, 0), unsent)
        resident = sum(_resident_bytes(process) for process in processes)
        samples.resident = max(samples.resident, resident)
        if resident > limit:
            raise MemoryError(f"{resident} bytes in use")
        due = loop.time() + SAMPLE_S
        await asyncio.sleep(SAMPLE_S)
        samples.late_s = max(samples.late_s, loop.time() - due)


def _resident_bytes(process):
    try:
        return process.memory_info().rss
    except psutil.Error:
        return 0


def _unsent_bytes(ports):
    """Returns the bytes that sockets hold between a port and its proxy, by port.

    They are what the instance sent and the link has not yet carried, without the
    buffers in the processes.
    """
    found = {}
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        _number, local, remote, _state, queues, *_rest = line.split()
        sending, receiving = (int(text, 16) for text in queues.split(":"))
        local_port, remote_port = (int(a.split(":")[1], 16) for a in (local, remote))
        if local_port in ports and remote_port:
            found[local_port] = found.get(local_port, 0) + sending
        elif remote_port in ports:
            found[remote_port] = found.get(remote_port, 0) + receiving
    return found


async def _measure(region, scenario):
    """Writes the policies of a scenario and waits until they are in force.

    Returns:
        Run.
    """
    store, fronts = region.platform.store, region.platform.fronts
    relays = await _find_relays(region)
    await asyncio.sleep(SETTLE_S)
    cut = relays[: scenario.cut_relays]
    intact = [front for front in fronts if front not in cut]
    metrics = {f.name: await read_metrics(f.ports["metrics"]) for f in intact}
    sent = {n: (k.outgoing.sent, k.incoming.sent) for n, k in region.links.items()}
    samples = Samples()
    ports = {front.ports["control"] for front in fronts}
    processes = [psutil.Process(front.process.pid) for front in fronts]
    processes.append(psutil.Process())
    sampling = asyncio.create_task(_sample(ports, processes, samples))
    run = Run(fronts, relays, cut, region.links, samples, metrics, sent)
    try:
        for front in cut:
            front.process.send_signal(scenario.cut_signal)
        await _write_policies(store, scenario, run)
        last = FIRST_VERSION + scenario.changes - 1
        await _wait_in_force(intact, last, SPREAD_TIMEOUT_S)
        since_last_s = time.monotonic() - run.accepted[last]
        await asyncio.sleep(max(0.0, MIN_WINDOW_S - since_last_s))
        run.ended = time.monotonic()
        if sampling.done():
            sampling.result()
    finally:
        sampling.cancel()
        if scenario.cut_signal == signal.SIGSTOP:
            for front in cut:
                front.process.send_signal(signal.SIGCONT)
    return run


async def _write_policies(store, scenario, run):
    routes = [*ROUTES, *make_routes(scenario.routes, scenario.seed)]
    started = time.monotonic()
    for index in range(scenario.changes):
        due = started + index * scenario.gap_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        version = FIRST_VERSION + index
        put_policy(store, version, routes)
        run.accepted[version] = time.monotonic()
        # The policy is the store's largest item, held in base64.
        largest = max(len(item["value"]) for item in store.items.values())
        run.policy_bytes[version] = largest * 3 // 4
        routes.append(late_route(index))


async def _run_scenario(scenario):
    """Runs a scenario in a region of its own; returns its results as plain values."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    load_before = psutil.getloadavg()[0]
    with tempfile.TemporaryDirectory() as folder:
        region = Region(await make_platform(Path(folder)))
        try:
            await _start_region(region, scenario)
            run = await _measure(region, scenario)
            found = await summarize(run)
        finally:
            await _stop_region(region)
    found["machine"] = {
        "cores": psutil.cpu_count(),
        "load_before": round(load_before, 1),
        "load_after": round(psutil.getloadavg()[0], 1),
    }
    return found


def _parse_rates(_context, _parameter, text):
    if text is None:
        return None
    try:
        rates = [float(part) for part in text.split(",")]
    except ValueError as exc:
        raise click.BadParameter("not a list of numbers") from exc
    if min(rates) <= 0.0:
        raise click.BadParameter("rates must be positive")
    return rates


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(list(SCENARIOS)))
@click.option("--instances", type=click.IntRange(6, MAX_INSTANCES))
@click.option("--routes", type=click.IntRange(0, 20_000), help="Routes added at first.")
@click.option(
    "--link-mbps",
    callback=_parse_rates,
    help="Link rates (Mbit/s), separated by commas and assigned in turn.",
)
@click.option("--changes", type=click.IntRange(1, 100))
@click.option("--gap-s", type=click.FloatRange(0.0, 10.0))
@click.option("--cut-relays", type=click.IntRange(0, 3))
@click.option("--cut-how", type=click.Choice(["pause", "kill"]), default="pause")
@click.option("--seed", type=int)
@click.option("--json", "json_path", type=click.Path(), help="File for the results.")
def main(names, json_path, cut_how, **options):
    """Runs scenarios one after the other, `large` by default."""
    given = {name: value for name, value in options.items() if value is not None}
    given["cut_signal"] = signal.SIGSTOP if cut_how == "pause" else signal.SIGKILL
    results = {}
    for name in names or ("large",):
        scenario = Scenario(**{**SCENARIOS[name], **given})
        planned = scenario.instances * INSTANCE_BYTES
        if planned > MAX_MEMORY_SHARE * psutil.virtual_memory().available:
            raise click.ClickException("not enough memory for so many instances")
        found = asyncio.run(_run_scenario(scenario))
        found["scenario"] = {
            field: getattr(scenario, field)
            for field in scenario.__slots__
            if field != "cut_signal"
        }
        found["scenario"]["cut_how"] = cut_how
        results[name] = found
        print_run(name, found)
        if json_path:
            write_json(results, json_path)


if __name__ == "__main__":
    main()
