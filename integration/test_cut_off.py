"""Requests that an instance without a path to the servers hands on to another one."""

import asyncio
import base64

import pytest
from cutsites import (
    HANG,
    REFUSE,
    cut_paths,
    events,
    heal_paths,
    open_request,
    run_cut_site,
    send,
    served,
    wait_until,
)
from flamingolift_front import callers, handover, httpcall, serverpool
from flamingolift_model.plan import InstanceEntry
from flamingolift_wire.codec import decode_document
from platformfleet import call, received_requests

LARGE_BODY = bytes(range(256)) * (4 * httpcall.SPOOL_BYTES // 256)


@pytest.fixture
def new_site(monkeypatch, tmp_path):
    """Returns a function of the instances' regions that runs a site."""
    return lambda regions: run_cut_site(monkeypatch, tmp_path, regions)


async def cut_off(site, instance, mode=REFUSE, service=""):
    """Cuts an instance off, and waits until it has noticed."""
    cut_paths(site, instance, mode, service)
    for server_id in list(instance.front.pool.idle):
        serverpool.close_connections(instance.front.pool, server_id)
    for number in range(4):
        for path in ("/read/warm-up", "/row/warm-up"):
            await send(instance, "GET", path, number=900 + number)
    await wait_until(lambda: events(instance, "servers_cut_off"))


def count(instance, result):
    """Returns the number of requests that were handed on or taken with a result."""
    return instance.front.metrics.handed_on.labels(result)._value.get()


# Guards against refusals by an instance that others could help: 18 of 1,070 first tries
# were served while the paths of 16 instances were cut.
@pytest.mark.parametrize("mode", [REFUSE, HANG])
async def test_every_request_is_served_while_some_instances_are_cut_off(new_site, mode):
    async with new_site(["upland"] * 5) as site:
        for instance in site.instances[:3]:
            cut_paths(site, instance, mode)
        replies = await asyncio.gather(
            *(
                send(instance, "GET", f"/{path}/a", number=n)
                for n in range(8)
                for path in ("read", "row")
                for instance in site.instances[:3]
            )
        )
        assert {status for status, _data in replies} == {200}
        assert all(b"Server-Seal: sealed" in data for _status, data in replies)


# Guards against open connections that carry nothing more, while each server counts as
# slow on its own.
async def test_silent_connections_show_the_cut_too(new_site):
    async with new_site(["upland"] * 2) as site:
        first = site.instances[0]
        for number in range(12):
            await send(first, "GET", "/read/a", number=number)
            await asyncio.gather(
                *(send(first, "GET", f"/read/{n}", number=n) for n in range(12))
            )
        assert len(first.front.pool.idle) == 4
        cut_paths(site, first, HANG)
        for proxy in first.paths.values():
            proxy.freeze_open_connections()
        replies = await asyncio.gather(
            *(send(first, "GET", "/read/a", number=n) for n in range(6))
        )
        assert events(first, "servers_cut_off")
        assert {status for status, _data in replies} == {200}
        for proxy in first.paths.values():
            proxy.unfreeze()


@pytest.mark.parametrize("mode", [REFUSE, HANG])
async def test_booking_is_handed_on_and_runs_once(new_site, mode):
    async with new_site(["upland"] * 2) as site:
        cut_paths(site, site.instances[0], mode)
        for number in range(3):
            status, data = await send(
                site.instances[0], "POST", "/book/a", number=number, body=b"seat"
            )
            assert status == 200
            assert b"answer of books" in data
        requests = served(site, "books")
        assert len(requests) == 3
        assert {req.body for req in requests} == {b"seat"}
        ids = {req.headers["request-id"] for req in requests}
        assert ids == {"q0", "q1", "q2"}


async def test_nothing_is_handed_round_when_all_are_cut_off(new_site):
    async with new_site(["upland"] * 4) as site:
        for instance in site.instances:
            await cut_off(site, instance)
        await wait_until(
            lambda: all(i.front.helpers.ready.is_set() for i in site.instances)
        )
        await wait_until(
            lambda: not any(i.front.helpers.answers for i in site.instances)
        )
        taken = sum(count(i, "taken") for i in site.instances)
        before = len(served(site))
        began = asyncio.get_running_loop().time()
        replies = await asyncio.gather(
            *(
                send(instance, method, path, number=n, body=b"x")
                for n in range(5)
                for method, path in (("GET", "/read/a"), ("POST", "/book/a"))
                for instance in site.instances
            )
        )
        assert asyncio.get_running_loop().time() - began < 1.0
        assert {status for status, _data in replies} == {503}
        for _status, data in replies:
            assert b"Result-Code: 2010" in data
            assert b"Request-Outcome: not-run" in data
            assert b"Retry-After: " in data
        assert sum(count(i, "taken") for i in site.instances) == taken
        assert len(served(site)) == before


async def test_request_that_was_handed_on_goes_no_further(new_site):
    async with new_site(["upland"] * 3) as site:
        first, second, third = site.instances
        await cut_off(site, second)
        taken = count(first, "taken") + count(third, "taken")
        second.front.cfg.caller_port = second.front.cfg.handover_port
        reader, writer = await open_request(
            second, "GET", "/read/a", fields=["Flamingolift-Handed-On: 3"]
        )
        data = await reader.read()
        writer.close()
        assert b"Result-Code: 2010" in data
        assert count(second, "taken") == 1
        assert count(first, "taken") + count(third, "taken") == taken


async def test_service_that_is_cut_off_alone_is_handed_on_alone(new_site):
    async with new_site(["upland"] * 2) as site:
        first, second = site.instances
        cut_paths(site, first, REFUSE, "reads")
        for number in range(4):
            assert (await send(first, "GET", "/read/a", number=number))[0] == 200
            assert (await send(first, "POST", "/book/a", number=number))[0] == 200
        assert count(second, "taken") == 4


async def test_header_field_of_a_caller_is_no_mark_of_a_request_handed_on(new_site):
    async with new_site(["upland"] * 2) as site:
        first = site.instances[0]
        cut_paths(site, first, REFUSE)
        fields = ["Flamingolift-Handed-On: 0"]
        reader, writer = await open_request(first, "GET", "/read/a", fields=fields)
        data = await reader.read()
        writer.close()
        assert data.startswith(b"HTTP/1.1 200")
        assert "flamingolift-handed-on" not in served(site)[0].headers


async def test_process_takes_requests_that_are_handed_on(platform, front):
    port = front.ports["handover"]
    taken = await call(port, "GET", "/read/a", headers=["Flamingolift-Handed-On: 1"])
    assert taken.status == 200
    assert (
        "flamingolift-handed-on"
        not in received_requests(platform, "i-read-1")[0].headers
    )
    unmarked = await call(port, "GET", "/read/a")
    assert unmarked.status == 400
    item = platform.store.items["instances/front-1"]
    entry = decode_document(InstanceEntry, base64.b64decode(item["value"])).ok
    assert entry.handover_port == port


async def test_deadline_is_carried(new_site):
    async with new_site(["upland"] * 2) as site:
        await cut_off(site, site.instances[0])
        await send(site.instances[0], "GET", "/read/a", number=7, deadline_ms=700)
        (req,) = [r for r in served(site) if r.headers["request-id"] == "q7"]
        assert 100 < int(req.headers["deadline-ms"]) < 700


async def test_attempts_are_carried(new_site):
    async with new_site(["upland"] * 2) as site:
        await cut_off(site, site.instances[0])
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), "reject")
        before = len(served(site))
        status, _data = await send(site.instances[0], "GET", "/read/a", number=7)
        assert status == 503
        assert len(served(site)) == before + 3


async def test_homes_are_kept(new_site):
    async with new_site(["upland", "lowland", "upland"]) as site:
        first, away, near = site.instances
        await cut_off(site, first)
        taken = count(away, "taken")
        for number in range(6):
            assert (await send(first, "GET", "/home/a", number=number))[0] == 200
        assert count(away, "taken") == taken
        await cut_off(site, near)
        await wait_until(lambda: "front-2" not in first.front.helpers.answers)
        taken = count(away, "taken")
        status, data = await send(first, "GET", "/home/a", number=9)
        assert status == 503
        assert b"Request-Outcome: not-run" in data
        assert (await send(first, "GET", "/read/a", number=10))[0] == 200
        assert count(away, "taken") == taken + 1


async def test_departure_of_the_caller_reaches_the_server(new_site):
    async with new_site(["upland"] * 2) as site:
        await cut_off(site, site.instances[0])
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), "silent")
        before = len(served(site))
        _reader, writer = await open_request(site.instances[0], "POST", "/book/a")
        await wait_until(lambda: len(served(site)) > before)
        writer.transport.abort()
        await wait_until(lambda: served(site, "books")[-1].ended == "cancelled")


def send_large(req):
    """Yields a response that is streamed."""
    yield (
        f"HTTP/1.1 200 X\r\nRequest-Id: {req.headers['request-id']}\r\n"
        f"Server-Seal: sealed\r\nContent-Length: {len(LARGE_BODY)}\r\n\r\n"
    ).encode()
    size = httpcall.SPOOL_BYTES
    for start in range(0, len(LARGE_BODY), size):
        yield LARGE_BODY[start : start + size]


async def test_streamed_response_passes_whole(new_site):
    async with new_site(["upland"] * 2) as site:
        await cut_off(site, site.instances[0])
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), send_large)
        status, data = await send(site.instances[0], "GET", "/read/a")
        assert status == 200
        assert data.endswith(LARGE_BODY)
        assert b"Server-Seal: sealed" in data


def close_taken(instance):
    """Resets the connections over which requests are handed on to an instance."""
    for conn in list(instance.front.connections):
        if conn.from_instance:
            conn.stream.transport.abort()


async def test_streamed_response_that_breaks_off_is_cut(new_site):
    async with new_site(["upland"] * 2) as site:
        first, second = site.instances
        await cut_off(site, first)
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), send_large)
        reader, writer = await open_request(first, "GET", "/read/a")
        await reader.readuntil(b"\r\n\r\n")
        close_taken(second)
        with pytest.raises(ConnectionResetError):
            while await reader.read(1 << 16):
                pass
        writer.transport.abort()


@pytest.mark.parametrize(
    ("method", "path", "code"),
    [("GET", "/read/a", b"3003"), ("POST", "/book/a", b"3001")],
)
async def test_request_is_not_sent_again_when_its_helper_fails(
    new_site, method, path, code
):
    async with new_site(["upland"] * 3) as site:
        first = site.instances[0]
        await cut_off(site, first)
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), "silent")
        before = len(served(site))
        sends = asyncio.ensure_future(send(first, method, path, body=b"seat"))
        await wait_until(lambda: len(served(site)) > before)
        for instance in site.instances[1:]:
            close_taken(instance)
        _status, data = await sends
        assert b"Result-Code: " + code in data
        assert b"Request-Outcome: unknown" in data
        assert len(served(site)) == before + 1


async def test_helper_that_accepts_no_connection_is_replaced_by_another(new_site):
    async with new_site(["upland"] * 3) as site:
        first, second, _third = site.instances
        await cut_off(site, first)
        await wait_until(lambda: len(first.front.helpers.answers) == 2)
        site.cut[second.front.cfg.handover_port] = REFUSE
        for number in range(6):
            status, _data = await send(
                first, "POST", "/book/a", number=number, body=b"seat"
            )
            assert status == 200
        assert len(served(site, "books")) == 6


# Guards against a booking that is refused as not run when the instance stops while
# another one serves it.
async def test_outcome_is_unknown_when_the_instance_stops_meanwhile(new_site):
    async with new_site(["upland"] * 2) as site:
        first = site.instances[0]
        await cut_off(site, first)
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), "silent")
        sends = asyncio.ensure_future(send(first, "POST", "/book/a", body=b"seat"))
        await wait_until(lambda: served(site, "books"))
        callers.end_requests(first.front)
        _status, data = await sends
        assert b"Request-Outcome: unknown" in data


async def test_instance_bounds_the_requests_that_it_takes(new_site, monkeypatch):
    async with new_site(["upland"] * 2) as site:
        first, second = site.instances
        await cut_off(site, first)
        monkeypatch.setattr(handover, "MAX_TAKEN", 1)
        for server in site.servers.values():
            server.script = dict.fromkeys(range(1, 90), "silent")
        _reader, writer = await open_request(first, "POST", "/book/a")
        await wait_until(lambda: second.front.taken == 1)
        status, data = await send(first, "POST", "/book/a", number=2)
        writer.transport.abort()
        assert status == 503
        assert b"Request-Outcome: not-run" in data
        await wait_until(lambda: second.front.taken == 0)


async def test_instance_of_an_older_build_is_not_asked(new_site):
    async with new_site(["upland"] * 2) as site:
        first, second = site.instances
        first.front.view.instances["front-1"].handover_port = 0
        cut_paths(site, first, REFUSE)
        status, data = await send(first, "GET", "/read/a")
        assert status == 503
        assert b"Request-Outcome: not-run" in data
        assert count(second, "taken") == 0


async def test_requests_go_the_direct_way_after_the_return(new_site):
    async with new_site(["upland"] * 2) as site:
        first, second = site.instances
        await cut_off(site, first)
        heal_paths(site, first)
        await wait_until(lambda: not first.front.paths.cut_off_at)
        taken = count(second, "taken")
        for path in ("/read/a", "/book/a", "/row/a"):
            assert (await send(first, "GET", path))[0] == 200
        assert count(second, "taken") == taken
        await wait_until(lambda: not first.front.helpers.links)
