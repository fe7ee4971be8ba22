"""Limits that backend servers name, summed over several real fronts."""

import asyncio
import random
import time

import pytest
from platformfleet import add_server, events, is_ready, send, start_front, wait_until

START_TIMEOUT_S = 30.0
STABLE_WINDOW_S = 3.0
"""Time after a server first named its limit from which the limit is binding (s)."""
WINDOW_S = 4.0
"""Length of the windows in which a limited server's requests are counted (s)."""
OVERAGE = 1.5
"""Requests allowed in a window, relative to what the limit allows (ratio)."""
SLACK = 5
"""Requests allowed in a window besides."""
FRONTS = 6


def most_in_window(times):
    """Returns the largest number of times within `WINDOW_S`."""
    return max(
        (sum(t <= u < t + WINDOW_S for u in times) for t in times),
        default=0,
    )


async def make_load(fronts, per_s, for_s):
    """Sends requests for random objects over all fronts; returns the replies."""
    rng, tasks = random.Random(3), []
    for number in range(int(per_s * for_s)):
        cookie = [f"Cookie: Affinity-Key={rng.randrange(200)}"]
        sending = send(
            fronts[number % len(fronts)],
            "GET",
            "/read/a",
            rid=f"load-{number}-{time.monotonic()}",
            headers=cookie,
        )
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(1.0 / per_s)
    return await asyncio.gather(*tasks)


async def start_fronts(platform, count=FRONTS):
    fronts = [await start_front(platform, f"front-{n}") for n in range(count)]
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    return fronts


# Guards against instances that each send a limited server as much as before.
@pytest.mark.parametrize("limit", [4.0, 0.4])
async def test_limit_of_a_server_holds_over_all_instances(platform, limit):
    limited = await add_server(platform, "i-read-2", "reads")
    fronts = await start_fronts(platform)
    await make_load(fronts, 60.0, 1.0)
    limited.limit = limit
    first = len(limited.requests)
    replies = await make_load(fronts, 60.0, STABLE_WINDOW_S + WINDOW_S + 2.0)
    named_at = limited.requests[first].arrived_at
    counted = [
        request.arrived_at
        for request in limited.requests
        if request.arrived_at >= named_at + STABLE_WINDOW_S
    ]
    assert most_in_window(counted) <= OVERAGE * limit * WINDOW_S + SLACK
    # The other server has room for all that the limit turns away.
    assert {reply.status for reply in replies} == {200}
    assert all(events(front, "server_limit_changed") for front in fronts)
