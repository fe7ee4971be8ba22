"""How soon a change is in force on instances whose sources went silent."""

import asyncio
import base64

import pytest
from flamingolift_decisions.relays import relays_of_region
from flamingolift_model.plan import InstanceEntry
from flamingolift_standins.platformstore import open_port, stall_watches
from flamingolift_wire.codec import decode_document
from platformfleet import (
    ROUTES,
    events,
    has_policy,
    is_ready,
    late_route,
    put_policy,
    send,
    start_front,
    wait_until,
)

APPLY_S = 2.5
"""Time in which an acknowledged policy must be in force on every instance (s)."""
START_TIMEOUT_S = 30.0
SETTLE_S = 2.0
"""Longer than the pause after a change and one round of the watch loop (s)."""


async def start_region(platform, count):
    """Starts instances with a port of the store each.

    Returns:
        Map of instance name to (FrontProcess, port of the store).
    """
    region = {}
    for number in range(count):
        name = f"front-{number}"
        port = await open_port(platform.store)
        region[name] = await start_front(platform, name, port), port
    fronts = [front for front, _port in region.values()]
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    await wait_until(
        lambda: all(len(events(f, "instance_changed")) == count for f in fronts)
    )
    await asyncio.sleep(SETTLE_S)
    return region


def relay_names(platform):
    """Returns the names of the relays by the entries in the store."""
    entries = [
        decode_document(InstanceEntry, base64.b64decode(item["value"])).ok
        for key, item in platform.store.items.items()
        if key.startswith("instances/")
    ]
    return [entry.instance_id for entry in relays_of_region(entries, "upland")]


def silence(platform, region, names):
    """Makes the store silent for some instances, on open connections too."""
    stall_watches(platform.store)
    for name in names:
        platform.store.port_modes[region[name][1]] = "silent"


async def check_in_force(platform, fronts, version):
    put_policy(platform.store, version, [*ROUTES, late_route(version)])
    await wait_until(lambda: all(has_policy(f, version) for f in fronts), APPLY_S)
    for front in fronts:
        assert (await send(front, "GET", f"/late{version}/a")).status == 200


# Guards against relays that answer heartbeats with "no changes" while the store does
# not answer them, so that instances which reach it refuse requests on a new route.
@pytest.mark.parametrize("after_s", [0.0, 0.2, 0.8])
async def test_change_is_in_force_while_all_relays_are_cut_from_the_store(
    platform, after_s
):
    region = await start_region(platform, 8)
    relays = relay_names(platform)
    assert len(relays) == 3
    silence(platform, region, relays)
    await asyncio.sleep(after_s)
    followers = [front for name, (front, _port) in region.items() if name not in relays]
    await check_in_force(platform, followers, 50)


# Guards against a watch that goes silent on a live connection and hides changes until
# its wait of 25 s ends, while calls on other connections succeed.
@pytest.mark.parametrize("count", [1, 2, 8])
async def test_change_is_in_force_while_all_watches_are_silent(platform, count):
    region = await start_region(platform, count)
    stall_watches(platform.store)
    fronts = [front for front, _port in region.values()]
    await check_in_force(platform, fronts, 50)
    await asyncio.sleep(0.5)
    stall_watches(platform.store)
    await check_in_force(platform, fronts, 51)


# Guards against a call of the store for each instance: the proofs are shared.
async def test_proofs_take_few_calls_of_the_store(platform):
    await start_region(platform, 8)
    calls = platform.store.calls
    before = calls["range"]
    await asyncio.sleep(4.0)
    assert calls["range"] - before <= 4.0 / (0.35 * APPLY_S) + 1
