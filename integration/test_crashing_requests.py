"""Requests that end each backend server that runs them, behind several real fronts."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_standins.platformstore import remove_item
from platformfleet import add_server, is_ready, send, start_front, wait_until

START_TIMEOUT_S = 30.0
STABLE_WINDOW_S = 3.0
"""Time after the third end from which the arrivals are counted (s), as in the
settings of the fronts."""
MAX_LATE_ARRIVALS = 3
"""Arrivals of the request that are allowed after that."""
CALLER_PAUSE_S = 0.2
"""Pause after which the caller sends its request again (s)."""
PLAY_S = 12.0
RESTART_S = 1.5
"""Time after which a server that ended is back, under a new id (s)."""
WORK_S = 0.05
SERVICES = {"/read/": "reads", "/book/": "books"}


class CrashPlay:
    """Servers that a request ends and that come back, and the callers of the fronts.

    Attributes:
        platform: PlatformFleet.
        prefix: Start of the paths of the service.
        servers: List of all PlatformServer, also those that ended.
        replies: List of the (time (s, monotonic), Reply) of ordinary requests.
        refusals: List of the same of the request that ends servers.
    """

    __slots__ = ("platform", "prefix", "refusals", "replies", "servers")

    def __init__(self, platform, prefix):
        self.platform = platform
        self.prefix = prefix
        self.servers = []
        self.replies = []
        self.refusals = []


async def start_crash_server(play):
    """Starts one more server of the service, with an id of its own."""
    server_id = f"i-crash-{len(play.servers) + 1}"
    service = SERVICES[play.prefix]
    play.servers.append(None)
    server = await add_server(play.platform, server_id, service, work_s=WORK_S)
    server.crash_path = f"{play.prefix}crash"
    play.servers[int(server_id.rpartition("-")[2]) - 1] = server


async def restart_servers(play):
    """Replaces each server that ended, until the task is cancelled."""
    replaced = set()
    while True:
        for server in [s for s in play.servers if s is not None]:
            is_due = server.ended_at and time.monotonic() > server.ended_at + RESTART_S
            if is_due and server.server_id not in replaced:
                replaced.add(server.server_id)
                remove_item(play.platform.store, f"servers/{server.server_id}")
                await start_crash_server(play)
        await asyncio.sleep(0.02)


async def send_crashing(play, fronts, method, ends_at):
    """Sends one request again and again, at one front after the other."""
    number = 0
    while time.monotonic() < ends_at:
        front = fronts[number % len(fronts)]
        number += 1
        cookie = ["Cookie: Affinity-Key=7"]
        rid = f"crash-{number}"
        reply = await send(
            front, method, f"{play.prefix}crash", rid=rid, headers=cookie
        )
        play.refusals.append((time.monotonic(), reply))
        await asyncio.sleep(CALLER_PAUSE_S)


async def send_ordinary(play, fronts, method, ends_at):
    """Sends requests for other objects."""
    number = 0
    while time.monotonic() < ends_at:
        front = fronts[number % len(fronts)]
        number += 1
        cookie = [f"Cookie: Affinity-Key=o{number % 40}"]
        path = f"{play.prefix}object-{number % 40}"
        reply = await send(front, method, path, rid=f"o-{number}", headers=cookie)
        play.replies.append((time.monotonic(), reply))
        await asyncio.sleep(CALLER_PAUSE_S / 4)


@contextlib.asynccontextmanager
async def crash_play(platform, prefix, servers):
    """Yields a CrashPlay whose servers come back."""
    play = CrashPlay(platform, prefix)
    for server in platform.servers.values():
        server.crash_path = f"{prefix}crash"
        play.servers.append(server)
    await asyncio.gather(*(start_crash_server(play) for _ in range(servers)))
    restarting = asyncio.create_task(restart_servers(play))
    try:
        yield play
    finally:
        restarting.cancel()
        await asyncio.wait({restarting})


async def start_fronts(platform, count):
    fronts = [await start_front(platform, f"front-{n}") for n in range(count)]
    for front in fronts:
        await wait_until(lambda front=front: is_ready(front), START_TIMEOUT_S)
    return fronts


def crash_times(play):
    """Returns the times at which servers ended, sorted."""
    return sorted(s.ended_at for s in play.servers if s and s.ended_at)


def late_arrivals(play):
    """Returns the arrivals of the request later than the window after the third end."""
    ends = crash_times(play)
    assert len(ends) >= 3
    return [
        request.arrived_at - ends[2]
        for server in play.servers
        for request in server.requests
        if request.ended == "crashed" and request.arrived_at > ends[2] + STABLE_WINDOW_S
    ]


# Guards against a request that ends server after server, at any instance.
@pytest.mark.parametrize(
    ("prefix", "method"),
    [("/read/", "GET"), ("/book/", "POST")],
    ids=["safe", "unsafe"],
)
async def test_request_that_ends_servers_is_held_by_all_instances(
    platform, prefix, method
):
    async with crash_play(platform, prefix, 8) as play:
        fronts = await start_fronts(platform, 3)
        ends_at = time.monotonic() + PLAY_S
        await asyncio.gather(
            send_crashing(play, fronts, method, ends_at),
            send_ordinary(play, fronts, method, ends_at),
        )
    assert len(late_arrivals(play)) <= MAX_LATE_ARRIVALS
    ends = crash_times(play)
    served = [
        reply.status == 200
        for at, reply in play.replies
        if at > ends[2] + STABLE_WINDOW_S
    ]
    assert all(served)
    refused = [r for at, r in play.refusals if at > ends[2] + STABLE_WINDOW_S]
    assert {reply.status for reply in refused} == {503}
    assert all(float(reply.headers["retry-after"]) > 0.0 for reply in refused)
