"""Which instance a request is handed on to."""

import collections
import random
import time

from flamingolift_front import helperlist
from flamingolift_front.helperlist import Helper
from flamingolift_model.routing import Route, WeightedService
from frontviews import make_entry, make_front

LINKS_MBPS = {1: 200.0, 2: 10.0, 3: 0.0}


def make_front_with_helpers():
    front = make_front()
    front.rng = random.Random(5)
    for number, link_mbps in LINKS_MBPS.items():
        entry = make_entry(number)
        entry.handover_port, entry.link_mbps = 4, link_mbps
        front.view.instances[entry.instance_id] = entry
        helper = Helper(frozenset(), time.monotonic())
        front.helpers.answers[entry.instance_id] = helper
    return front


# Guards against instances on slow links that get as many requests of others as those on
# fast ones, and delay the answers to all of their callers.
async def test_helpers_share_the_requests_by_their_bandwidth():
    front = make_front_with_helpers()
    services = [WeightedService(service="maps", weight=1.0)]
    route = Route(
        name="maps",
        host="h",
        prefix="/",
        services=services,
        idempotent=True,
        timeout_ms=1000.0,
    )
    front.helpers.ready.set()
    picked = collections.Counter()
    for _number in range(2000):
        ends_at = time.monotonic() + 1.0
        entry = await helperlist.find_helper(front, "maps", route, set(), ends_at)
        picked[entry.instance_id] += 1
    assert 0.8 < picked["front-1"] / 2000 < 0.98
    assert picked["front-2"]
    # An instance that does not report its bandwidth is not left out.
    assert picked["front-3"]
