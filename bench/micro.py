"""Measures single operations, and tables at several fleet sizes, in one process."""

import asyncio
import gc
import os
import pathlib
import random
import subprocess
import sys
import time

import aiohttp
import psutil
from flamingolift_daemon.lookups import look_up
from flamingolift_daemon.wiring import make_instance
from flamingolift_decisions import membership, shifts, steering
from flamingolift_decisions.bookings import (
    BookingTable,
    KeyFacts,
    begin_booking,
    finish_booking,
)
from flamingolift_decisions.planner import (
    FleetLoad,
    evacuation_grants,
    make_plan,
    target_rows,
)
from flamingolift_decisions.pool import (
    Grant,
    SlotPool,
    SlotRequest,
    grant_or_queue,
    release_grant,
    sync_servers,
)
from flamingolift_model import ResultCode
from flamingolift_model.peer import Acquire, BookingAnswer, Heartbeat
from flamingolift_model.plan import (
    BackendEntry,
    InstanceEntry,
    LiveList,
    Plan,
)
from flamingolift_model.policy import Region, Service, Shift
from flamingolift_wire.codec import (
    decode_document,
    decode_message,
    encode_document,
    encode_message,
)

from bench.deployments import RAIL
from bench.peers import make_entries, make_settings

__all__ = ["Size", "measure_http_lookups", "measure_operations", "measure_tables"]

REPEATS = 2_000
HTTP_PARALLEL = 16


class Size:
    """Size of a fleet.

    Attributes:
        nodes: Entry instances.
        blocks: Callers' blocks.
        sites: Sites.
        regions: Regions.
        domains: Failure domains.
        services: Services.
    """

    __slots__ = ("blocks", "domains", "nodes", "regions", "services", "sites")

    def __init__(self, nodes, blocks, sites, regions, domains, services=4):
        self.nodes = nodes
        self.blocks = blocks
        self.sites = sites
        self.regions = regions
        self.domains = domains
        self.services = services


TODAY = Size(20, 6_000, 6, 3, 6)
TENTH = Size(240, 68_000, 33, 6, 12)
TARGET = Size(2_400, 680_000, 330, 18, 49)


def make_rows(size, rng):
    """Returns plan rows in which every origin may use every site."""
    return {
        f"service-{s}": {
            f"region-{r}": {f"site-{i}": rng.random() for i in range(size.sites)}
            for r in range(size.regions)
        }
        for s in range(size.services)
    }


def make_load(size, rng):
    """Returns a FleetLoad of one service."""
    sites = {f"region-{r}": {} for r in range(size.regions)}
    for index in range(size.sites):
        sites[f"region-{index % size.regions}"][f"site-{index}"] = 1.0
    demand = {region: rng.uniform(50.0, 90.0) for region in sites}
    return FleetLoad(demand, dict.fromkeys(sites, 100.0), sites)


def make_regions(size):
    """Returns regions that list each caller's block by its own prefix."""
    regions = [
        Region(name=f"region-{r}", failure_domains=[f"domain-{r}"])
        for r in range(size.regions)
    ]
    for index in range(size.blocks):
        block = f"{1 + index // 65_536}.{index // 256 % 256}.{index % 256}.0/24"
        regions[index % size.regions].blocks.append(block)
    return regions


def mean_seconds(function, repeats):
    """Returns the mean time of a call (s)."""
    started = time.perf_counter()
    for _ in range(repeats):
        function()
    return (time.perf_counter() - started) / repeats


def resident_mb():
    """Returns the resident memory of this process (MB)."""
    return psutil.Process().memory_info().rss / 1e6


def measure_tables(size):
    """Measures memory and CPU time of the plan, the block table and the live list.

    Returns:
        Plain values; sizes in bytes or MB, times in ms.
    """
    rng = random.Random(1)
    regions = make_regions(size)
    gc.collect()
    before = resident_mb()
    table = steering.BlockTable(regions)
    table_mb = resident_mb() - before
    table_bytes = sum(a.itemsize * len(a) for a in table.bits.values())
    table_bytes += sum(a.itemsize * len(a) for a in table.owners.values())
    block = regions[0].blocks[0]
    plan = Plan(number=1, policy_number=1, rows=make_rows(size, rng))
    other = Plan(number=2, policy_number=1, rows=make_rows(size, rng))
    body = encode_document(plan)
    limiter = shifts.ShiftLimiter()
    shifts.advance_rows(limiter, plan, 0.1, 60.0, 0.0)
    load = make_load(size, rng)
    entries = [
        InstanceEntry(
            instance_id=f"node-{n}",
            region=f"region-{n % size.regions}",
            failure_domain=f"domain-{n % size.domains}",
            site=f"site-{n % size.sites}",
            host="10.0.0.1",
            caller_port=1,
            peer_port=2,
            operator_port=3,
        )
        for n in range(size.nodes)
    ]
    live = encode_document(LiveList(number=1, instances=entries))
    gc.collect()
    before = resident_mb()
    view = membership.Membership("node-0", 1, 0.0)
    decoded = decode_document(LiveList, live).ok
    membership.apply_live_list(view, decoded, 0.0)
    for entry in decoded.instances:
        membership.record_contact(view, entry.instance_id, 1, 0.0)
    view_mb = resident_mb() - before
    shift = Shift(cap=0.1, window_s=60.0)
    rows = {f"service-{s}": target_rows(load, "headroom", 0.9) for s in range(4)}
    return {
        "block_table_bytes": table_bytes,
        "block_table_mb": round(table_mb, 2),
        "origin_of_us": mean_seconds(lambda: steering.origin_of(table, block), 5_000)
        * 1e6,
        "plan_bytes": len(body),
        "plan_decode_ms": mean_seconds(lambda: decode_document(Plan, body), 3) * 1e3,
        "plan_check_ms": mean_seconds(
            lambda: shifts.largest_move(plan.rows, other.rows), 2
        )
        * 1e3,
        "plan_step_ms": mean_seconds(
            lambda: shifts.step_toward(plan.rows, other.rows, 0.05), 1
        )
        * 1e3,
        "plan_make_ms": mean_seconds(
            lambda: make_plan(plan, rows, {}, 1, shift, 0.0, "d", "i"), 1
        )
        * 1e3,
        "target_rows_ms": mean_seconds(lambda: target_rows(load, "headroom", 0.9), 2)
        * 1e3,
        "grants_ms": mean_seconds(lambda: evacuation_grants(load, 0.9), 5) * 1e3,
        "site_choice_us": mean_seconds(
            lambda: steering.weighted_order(
                block, limiter.rows["service-0"]["region-0"]
            ),
            200,
        )
        * 1e6,
        "live_list_bytes": len(live),
        "live_list_decode_ms": mean_seconds(lambda: decode_document(LiveList, live), 1)
        * 1e3,
        "view_mb": round(view_mb, 2),
        "serving_ms": mean_seconds(lambda: membership.serving_instances(view), 5) * 1e3,
    }


def measure_operations():
    """Measures single operations of the request path; times in us, sizes in bytes."""
    service = Service(name="s", traffic_class="lookup", slots=6, ramp_s=0.0)
    entries = [
        BackendEntry(
            server_id=f"b-{n}",
            service="s",
            region="r",
            failure_domain="d",
            host="10.0.0.1",
            port=1,
            slots=6,
        )
        for n in range(20)
    ]
    pool = SlotPool(service, 1, 0.0, 0.0)
    sync_servers(pool, service, entries, set(), {}, 1.0)
    request = SlotRequest("i", "t", "f" * 32, 5.0)

    def grant_and_release():
        granted = grant_or_queue(pool, request, 0.0, None, 1.0).ok
        if isinstance(granted, Grant):
            release_grant(pool, granted.grant_id, "ok", 5.0, 1.0)

    table = BookingTable(1_000_000, 10**9, 900.0)
    facts = KeyFacts("h", 1, "w", 1, 900.0, "s")
    answer = BookingAnswer(status=201, headers=[], body=b"x" * 200)
    keys = iter(range(10**9))

    def book():
        key = f"key-{next(keys)}"
        begin_booking(table, key, b"d" * 16, facts, 0.0)
        finish_booking(table, key, ResultCode.OK, answer)

    acquire = Acquire(service="s", wait_ms=100, hold_ms=5_000, fingerprint="f" * 32)
    beat = Heartbeat(versions={"policy": 1, "plan": 2, "live": 3})
    data, beat_data = encode_message(acquire, 1), encode_message(beat)
    gc.collect()
    before = resident_mb()
    book_us = mean_seconds(book, 20_000) * 1e6
    return {
        "grant_and_release_us": mean_seconds(grant_and_release, REPEATS) * 1e6,
        "booking_record_us": book_us,
        "booking_record_bytes": (resident_mb() - before) * 1e6 / 20_000,
        "acquire_encode_us": mean_seconds(lambda: encode_message(acquire, 1), REPEATS)
        * 1e6,
        "acquire_decode_us": mean_seconds(lambda: decode_message(data), REPEATS) * 1e6,
        "heartbeat_decode_us": mean_seconds(lambda: decode_message(beat_data), REPEATS)
        * 1e6,
        "heartbeat_bytes": len(beat_data) + 20,
    }


async def measure_lookup_calls(size):
    """Measures look-ups without HTTP on one core, for a fleet size.

    Returns:
        Look-ups a second.
    """
    from flamingolift_daemon import distribution
    from flamingolift_model.policy import PolicyHead

    rng = random.Random(2)
    entries = make_entries(size.nodes, size.domains, size.regions)
    for index, entry in enumerate(entries):
        entry.site = f"site-{index % size.sites}"
    instance = make_instance(make_settings(entries[0]))
    live = encode_document(LiveList(number=1, instances=entries))
    distribution.apply_document(instance, "live", live, "bench")
    head = PolicyHead(number=1, text=RAIL.policy)
    distribution.apply_document(instance, "policy", encode_document(head), "bench")
    sites = {f"site-{i}": rng.random() for i in range(size.sites)}
    rows = {
        name: {
            origin: sites
            for origin in ("unknown", "greater-accra", "ashanti", "western")
        }
        for name in instance.policy.services
    }
    plan = Plan(number=1, policy_number=1, rows=rows)
    distribution.apply_document(instance, "plan", encode_document(plan), "bench")
    indexes = iter(range(10**9))

    def look_up_once():
        index = next(indexes) % 60_000
        address = f"10.{index // 250 % 250}.{index % 250}.1"
        answered = look_up(instance, "timetable", address)
        if answered.is_error():
            raise RuntimeError(answered.error.detail)

    each = mean_seconds(look_up_once, 1_000)
    await instance.store.session.close()
    await instance.backends.unpooled.session.close()
    return 1.0 / each


async def measure_http_lookups(fleet, service, seconds):
    """Measures look-ups over HTTP at one instance with a closed loop.

    Returns:
        Look-ups a second and the share of a core that the instance used.
    """
    inst = next(iter(fleet.instances.values()))
    process = psutil.Process(inst.process.pid)
    deadline = time.monotonic() + seconds
    done = 0

    async def send_lookups(number, session):
        nonlocal done
        while time.monotonic() < deadline:
            number = (number + 7) % 60_000
            client = f"127.11.{number // 250 % 250}.{number % 250}"
            url = f"{inst.url}/v1/lookup?service={service}&client={client}"
            async with session.get(url) as resp:
                await resp.read()
                done += resp.status == 200

    process.cpu_percent()
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(send_lookups(n, session) for n in range(HTTP_PARALLEL)))
    cpu = process.cpu_percent() / 100.0
    rate = done / seconds
    return {
        "lookups_s": round(rate, 1),
        "core_share": round(cpu, 3),
        "lookups_s_per_core": round(rate / cpu, 1) if cpu else 0.0,
    }


def import_memory_mb():
    """Returns the resident memory of a process that only imports the daemon (MB)."""
    code = (
        "import psutil, flamingolift_daemon.wiring as w;"
        "print(psutil.Process().memory_info().rss / 1e6)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env=dict(os.environ),
        cwd=pathlib.Path(__file__).resolve().parent.parent,
    )
    return round(float(done.stdout), 1)
