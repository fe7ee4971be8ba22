"""Requests that end each backend server that runs them, behind several real fronts."""

import asyncio
import contextlib
import signal
import time

import pytest
from flamingolift_standins.platformstore import remove_item, stop_store
from platformfleet import (
    HOST,
    add_server,
    call,
    events,
    is_ready,
    put_server,
    send,
    start_front,
    store_is_lost,
    wait_until,
)

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


async def send_crashing(play, fronts, method, ends_at, name="crash"):
    """Sends one request again and again, at one front after the other."""
    number = 0
    while time.monotonic() < ends_at:
        front = fronts[number % len(fronts)]
        number += 1
        cookie = [f"Cookie: Affinity-Key=7{name}"]
        rid = f"{name}-{number}"
        path = f"{play.prefix}{name}"
        reply = await send(front, method, path, rid=rid, headers=cookie)
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


async def send_crash(front, rid, prefix="/read/"):
    """Sends the request that ends servers once; returns the Reply."""
    cookie = ["Cookie: Affinity-Key=7"]
    return await send(front, "GET", f"{prefix}crash", rid=rid, headers=cookie)


async def end_three_servers(play, front):
    """Sends the request at one front until three servers have ended."""

    async def has_ended_three():
        await send_crash(front, f"e-{len(crash_times(play))}")
        return len(crash_times(play)) >= 3

    await wait_until(has_ended_three)
    return time.monotonic()


def arrivals(play):
    """Returns how often the request has arrived at servers."""
    return sum(r.ended == "crashed" for s in play.servers for r in s.requests)


# Guards against an instance that missed the reports and lets the request end more
# servers: one that was frozen, one that started later, also while the store is down.
@pytest.mark.parametrize("store_is_down", [False, True])
async def test_instance_that_missed_the_ends_holds_the_request(platform, store_is_down):
    async with crash_play(platform, "/read/", 8) as play:
        fronts = await start_fronts(platform, 3)
        frozen = fronts[2]
        if store_is_down:
            await stop_store(platform.store)
            await wait_until(lambda: store_is_lost(fronts[0]))
        frozen.process.send_signal(signal.SIGSTOP)
        await end_three_servers(play, fronts[0])
        frozen.process.send_signal(signal.SIGCONT)
        late = [frozen]
        if not store_is_down:
            late.append(await start_front(platform, "front-late"))
            await wait_until(lambda: is_ready(late[-1]), START_TIMEOUT_S)
        await asyncio.sleep(STABLE_WINDOW_S)
        before = arrivals(play)
        for number, front in enumerate(late):
            reply = await send_crash(front, f"late-{number}")
            assert (reply.status, reply.headers["result-code"]) == (503, "2011")
        assert arrivals(play) == before


# Guards against a neighbour that is refused with the request that is held.
async def test_only_the_same_request_is_held(platform):
    async with crash_play(platform, "/read/", 6) as play:
        fronts = await start_fronts(platform, 1)
        await end_three_servers(play, fronts[0])
        for server in play.servers:
            server.crash_path = ""
        cookie = ["Cookie: Affinity-Key=7"]
        port = fronts[0].ports["front"]
        neighbours = [
            ("GET", "/read/crash?page=2", cookie, b""),
            ("GET", "/read/crasher", cookie, b""),
            ("HEAD", "/read/crash", cookie, b""),
            ("GET", "/read/crash", ["Cookie: Affinity-Key=8"], b""),
            ("GET", "/read/crash", [*cookie, "Authorization: Bearer b"], b""),
            ("GET", "/read/crash", cookie, b"another body"),
        ]
        for number, (method, path, headers, body) in enumerate(neighbours):
            reply = await call(
                port, method, path, rid=f"n-{number}", headers=headers, body=body
            )
            assert reply.status == 200
        # Another id and letter case of the host do not make it another request.
        refused = await call(
            port, "GET", "/read/crash", rid="n", headers=cookie, host=HOST.upper()
        )
        assert refused.status == 503
        began = events(fronts[0], "request_hold_began")
        assert len(began) == 1
        done = events(fronts[0], "request_done")[-1]
        assert done["outcome"] == "REQUEST_HELD"
        assert began[0]["fingerprint"] in done["detail"]


# Guards against a lost answer that is taken for the end of its server.
async def test_request_whose_connections_are_reset_is_not_held(platform):
    for number in (2, 3, 4):
        await add_server(platform, f"i-read-{number}", "reads")
    for server in platform.servers.values():
        server.script = {number: "reset" for number in range(1, 4)}
    fronts = await start_fronts(platform, 1)

    async def is_served():
        return (await send_crash(fronts[0], "r")).status == 200

    await wait_until(is_served)
    assert not events(fronts[0], "request_hold_began")
    assert events(fronts[0], "server_still_runs")


# Guards against an end that is put down to the next start of a server, whose entry
# arrived while the request was in flight.
async def test_end_is_recorded_for_the_start_that_was_sent_the_request(platform):
    server = platform.servers["i-read-1"]
    server.crash_path, server.work_s = "/read/crash", 0.6
    front = (await start_fronts(platform, 1))[0]
    sending = asyncio.create_task(send_crash(front, "r"))
    await wait_until(lambda: server.requests)
    put_server(platform, server, "reads", born=2, sequence=2)
    await sending
    await wait_until(lambda: events(front, "server_ended"))
    assert events(front, "server_changed")[-1]["server"] == "i-read-1"
    assert events(front, "server_ended")[0]["started"] == 1


# Guards against a download that ends servers after its first bytes and is not counted.
async def test_request_that_ends_servers_during_their_answer_is_held(platform):
    for number in (2, 3, 4):
        await add_server(platform, f"i-read-{number}", "reads")
    for server in platform.servers.values():
        server.crash_path, server.crash_bytes = "/map/crash", 2 << 20
    front = (await start_fronts(platform, 1))[0]

    async def is_held():
        try:
            reply = await send(front, "GET", "/map/crash", rid="d")
        except ConnectionError:
            return False
        return reply.headers.get("result-code") == "2011"

    await wait_until(is_held)
    ended = [s for s in platform.servers.values() if s.ended_at]
    assert len(ended) == 3


# Guards against an instance that takes the ends of several servers for its own cut.
async def test_ends_of_servers_are_not_taken_for_an_own_cut(platform):
    async with crash_play(platform, "/read/", 12) as play:
        fronts = await start_fronts(platform, 3)
        ends_at = time.monotonic() + PLAY_S / 2
        names = [f"crash-{n}" for n in range(3)]
        await asyncio.gather(
            send_ordinary(play, fronts, "GET", ends_at),
            *(send_crashing(play, fronts, "GET", ends_at, name) for name in names),
        )
    assert len(crash_times(play)) >= 6
    codes = [reply.headers.get("result-code") for _at, reply in play.replies]
    assert "2010" not in codes
