"""How a policy with many routes reaches the instances of a region with slow links."""

import asyncio
import base64

import pytest
from flamingolift_model.plan import InstanceEntry
from flamingolift_standins.linkproxy import Link, start_link_proxy, stop_link_proxy
from flamingolift_wire.codec import decode_document, encode_document
from platformfleet import (
    ROUTES,
    events,
    has_policy,
    is_ready,
    late_route,
    make_routes,
    put_policy,
    send,
    start_front,
    wait_until,
)

INSTANCES = 10
ROUTE_COUNT = 1600
LINK_BYTES_PER_S = 5e6 / 8
"""Bandwidth of the smallest link of an instance, 5 Mbit/s (bytes/s)."""
REGION_FOLLOWERS = 31
"""Instances that follow the relays in a region of a large deployment."""
FOLLOWERS = INSTANCES - 3
IN_FORCE_S = 3.0
"""Time in which an acknowledged policy must be in force on every instance (s)."""
START_TIMEOUT_S = 30.0


@pytest.fixture
async def region(platform):
    """Starts a region whose instances reach each other over slow links.

    Each follower has the share of a relay's link that it would have among
    `REGION_FOLLOWERS`.

    Yields:
        Tuple of the list of FrontProcess and the list of their Link.
    """
    bytes_per_s = LINK_BYTES_PER_S * FOLLOWERS / REGION_FOLLOWERS
    links, proxies, proxy_ports = [], [], {}

    def translate(key, value):
        if not key.startswith("instances/"):
            return value
        entry = decode_document(InstanceEntry, value).ok
        entry.peer_port = proxy_ports[entry.peer_port]
        return encode_document(entry)

    platform.store.translate = translate
    fronts = []
    for number in range(INSTANCES):
        front = await start_front(platform, f"front-{number}")
        control_port = front.ports["control"]
        links.append(Link(bytes_per_s))
        proxies.append(await start_link_proxy(links[-1], "127.0.0.1", control_port))
        proxy_ports[control_port] = proxies[-1].port
        fronts.append(front)
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    await wait_until(
        lambda: all(len(events(f, "instance_changed")) == INSTANCES for f in fronts)
    )
    # Longer than the pause after a change and one round of the watch loop.
    await asyncio.sleep(2.0)
    yield fronts, links
    for proxy in proxies:
        await stop_link_proxy(proxy)


# Guards against relays whose links were filled by a large policy, once for each
# follower, so that a whole region kept refusing requests on new routes with 404.
async def test_large_policy_is_in_force_in_time_behind_slow_links(platform, region):
    fronts, links = region
    before = sum(link.sent for link in links)
    routes = [*ROUTES, *make_routes(ROUTE_COUNT), late_route(1)]
    put_policy(platform.store, 50, routes)
    await wait_until(lambda: all(has_policy(f, 50) for f in fronts), IN_FORCE_S)
    for front in fronts:
        assert (await send(front, "GET", "/late1/a")).status == 200
    # A relay may use half of the time for its share of the followers.
    budget = 3 * LINK_BYTES_PER_S * IN_FORCE_S / 2 * FOLLOWERS / REGION_FOLLOWERS
    assert sum(link.sent for link in links) - before <= budget
    # A follower may ask a second relay when the first bytes of its own come late.
    transfers = [len(events(front, "update_received")) for front in fronts]
    assert transfers.count(0) == INSTANCES - FOLLOWERS
    assert transfers.count(1) > FOLLOWERS / 2 and max(transfers) <= 2
    assert not any(events(front, "update_overdue") for front in fronts)


# Guards against a small change that waits behind a large policy, or sends it again.
async def test_change_right_after_a_large_policy_is_in_force_in_time(platform, region):
    fronts, _links = region
    routes = [*ROUTES, *make_routes(ROUTE_COUNT)]
    put_policy(platform.store, 60, routes)
    await asyncio.sleep(0.4)
    for number in range(61, 64):
        put_policy(platform.store, number, [*routes, late_route(number)])
        await asyncio.sleep(0.33)
    await wait_until(lambda: all(has_policy(f, 63) for f in fronts), IN_FORCE_S - 0.33)
    for front in fronts:
        assert (await send(front, "GET", "/late63/a")).status == 200


# Guards against relays that are chosen without knowing the bandwidth of their links.
async def test_instance_registers_the_bandwidth_of_its_link(platform, front):
    item = platform.store.items["instances/front-1"]
    entry = decode_document(InstanceEntry, base64.b64decode(item["value"])).ok
    assert entry.link_mbps == 25.0
