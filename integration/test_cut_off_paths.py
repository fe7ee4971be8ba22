"""Instances that are cut off from the servers, and their return."""

import asyncio
import copy
import json
import time

import pytest
from cutsites import (
    HANG,
    HOST,
    REFUSE,
    cut_paths,
    events,
    heal_paths,
    run_cut_site,
    send,
    wait_until,
)
from flamingolift_decisions import backends
from flamingolift_front import serverpool
from flamingolift_front.frontmetrics import render_metrics
from platformfleet import call


@pytest.fixture
async def site(monkeypatch, tmp_path):
    async with run_cut_site(monkeypatch, tmp_path, ["upland"]) as running:
        yield running


async def send_many(instance, path, count=6, first=100):
    return await asyncio.gather(
        *(send(instance, "GET", path, number=first + n) for n in range(count))
    )


def suspended(instance):
    now = time.monotonic()
    known = instance.front.view.backends.backends.values()
    return [b.entry.server_id for b in known if now < b.suspended_until]


# Guards against healthy servers that stay suspended after a cut of the instance's own
# paths, and against a return that goes unnoticed until a caller's request tries it.
@pytest.mark.parametrize("mode", [REFUSE, HANG])
async def test_own_cut_suspends_no_server_and_its_end_is_noticed(site, mode):
    instance = site.instances[0]
    cut_paths(site, instance, mode)
    replies = await send_many(instance, "/read/a")
    assert {status for status, _data in replies} == {503}
    found = events(instance, "servers_cut_off")[0]
    assert "reads" in found["services"]
    assert found["servers"] >= 3
    assert b"flamingolift_cut_off_services" in render_metrics(instance.front)
    assert not suspended(instance)
    heal_paths(site, instance)
    await wait_until(lambda: events(instance, "servers_regained"))
    status, _data = await send(instance, "GET", "/read/a", number=9)
    assert status == 200
    assert not suspended(instance)


# Guards against services that are found again one after the other, since only a few
# of them are tried at the same time.
async def test_return_of_many_services_is_noticed_at_once(site):
    instance = site.instances[0]
    names = [f"service-{number:02}" for number in range(40)]
    view = instance.front.view.backends
    for name in names:
        entry = copy.copy(view.backends["rows-0"].entry)
        entry.server_id = entry.service = name
        backends.apply_entry(view, entry, 0.0)
    cut_paths(site, instance, REFUSE)
    await send_many(instance, "/read/a")
    await send_many(instance, "/row/a")
    assert set(names) <= set(instance.front.paths.cut_off_at)
    heal_paths(site, instance)
    await wait_until(lambda: not instance.front.paths.cut_off_at)
    ends = [event["mono"] for event in events(instance, "servers_regained")]
    assert max(ends) - min(ends) < 1.0


async def test_one_service_is_cut_off_on_its_own(site):
    instance = site.instances[0]
    cut_paths(site, instance, REFUSE, "reads")
    await send_many(instance, "/read/a")
    assert list(instance.front.paths.cut_off_at) == ["reads"]
    status, _data = await send(instance, "GET", "/row/a", number=1)
    assert status == 200
    assert list(instance.front.paths.cut_off_at) == ["reads"]


# Guards against servers that are suspended, and then take single requests as cold ones
# do, because new connections are refused while open ones go on answering.
async def test_answers_on_open_connections_hide_no_lost_connects(site):
    instance = site.instances[0]
    pool = instance.front.pool
    await send_many(instance, "/read/a", 16)
    for server_id in ("reads-1", "reads-2", "reads-3"):
        serverpool.close_connections(pool, server_id)
    cut_paths(site, instance, REFUSE, "reads")
    for number in range(20):
        status, _data = await send(instance, "GET", "/read/a", number=number)
        assert status == 200
    assert not suspended(instance)
    found = events(instance, "servers_cut_off")[0]
    assert (found["services"], found["cut"]) == (["reads"], "connects")
    heal_paths(site, instance)
    await wait_until(lambda: events(instance, "servers_regained"))
    replies = await send_many(instance, "/read/a", 14)
    assert {status for status, _data in replies} == {200}


async def test_explanation_names_the_cut(site):
    instance = site.instances[0]
    cut_paths(site, instance, REFUSE, "reads")
    await send_many(instance, "/read/a")
    port = instance.front.cfg.peer_port
    target = f"/explain?host={HOST}&path=/read/a"
    explained = await call(port, "GET", target, rid="")
    sentences = json.loads(explained.body)["sentences"]
    assert any("has reached no server of reads for" in s for s in sentences)


async def test_server_that_fails_alone_is_suspended(site):
    instance = site.instances[0]
    cut_paths(site, instance, REFUSE, "reads-0")
    replies = await send_many(instance, "/read/a", 20)
    assert {status for status, _data in replies} == {200}
    assert suspended(instance) == ["reads-0"]
    assert not instance.front.paths.cut_off_at


# Guards against live connections that are dropped because new ones are refused.
async def test_refused_connect_keeps_the_open_connections_of_the_server(site):
    instance = site.instances[0]
    assert (await send(instance, "POST", "/book/a", body=b"seat"))[0] == 200
    (idle,) = instance.front.pool.idle.values()
    cut_paths(site, instance, REFUSE, "books")
    status, _data = await send(instance, "POST", "/book/a", number=2, body=b"seat")
    assert status == 503
    assert len(idle) == 1
    assert not idle[0].stream.ended


# Guards against a burst at servers that restarted meanwhile: all instances notice the
# return at about the same time.
async def test_cold_servers_keep_their_pace_at_the_return(site):
    instance = site.instances[0]
    cut_paths(site, instance, REFUSE, "reads")
    await send_many(instance, "/read/a")
    now = time.monotonic()
    known = instance.front.view.backends.by_service["reads"]
    for backend in known:
        backend.cold_until, backend.next_cold_request_at = now + 60.0, now - 1.0
    heal_paths(site, instance)
    await wait_until(lambda: events(instance, "servers_regained"))
    assert all(backend.next_cold_request_at > now for backend in known)
