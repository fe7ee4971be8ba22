"""What callers are told of requests that an instance hands on."""

import asyncio

import pytest
from cutsites import REFUSE, cut_paths, open_request, run_cut_site, send, served
from flamingolift_front import handover, internalapi


@pytest.fixture
async def site(monkeypatch, tmp_path):
    async with run_cut_site(monkeypatch, tmp_path, ["upland"] * 2) as running:
        yield running


async def lose_a_send(site):
    """Sends a request whose first send breaks off, before no server is reached."""
    first = site.instances[0]
    assert (await send(first, "GET", "/read/a"))[0] == 200
    for server in site.servers.values():
        server.script = {len(server.requests) + 1: "reset"}
    before = len(served(site))
    cut_paths(site, first, REFUSE)
    _status, data = await send(first, "GET", "/read/a")
    assert len(served(site)) == before + 1
    return data


# Guards against a refusal as not run of a request that a server received before.
async def test_refusal_of_another_instance_does_not_hide_an_own_send(site):
    cut_paths(site, site.instances[1], REFUSE)
    data = await lose_a_send(site)
    assert site.instances[1].front.metrics.handed_on.labels("taken")._value.get()
    assert b"Request-Outcome: unknown" in data


async def test_refusal_for_overload_does_not_hide_an_own_send(site, monkeypatch):
    monkeypatch.setattr(handover, "MAX_TAKEN", 0)
    data = await lose_a_send(site)
    assert site.instances[1].front.metrics.handed_on.labels("taken")._value.get()
    assert b"Request-Outcome: unknown" in data


# Guards against a refusal while the answers of the other instances are still on their
# way: the first to answer may be cut off too.
async def test_request_waits_for_later_answers(monkeypatch, tmp_path):
    serve_paths = internalapi.serve_paths

    async def serve_paths_late(front):
        if front.cfg.instance_id == "front-2":
            await asyncio.sleep(0.15)
        return await serve_paths(front)

    monkeypatch.setattr(internalapi, "serve_paths", serve_paths_late)
    async with run_cut_site(monkeypatch, tmp_path, ["upland"] * 3) as site:
        for instance in site.instances[:2]:
            cut_paths(site, instance, REFUSE)
        status, _data = await send(site.instances[0], "POST", "/book/a", body=b"seat")
        assert status == 200


# Guards against retries beyond the budget: the instance that hands a request on counts
# none of its sends there, and the one that takes it sent the first one unasked.
@pytest.mark.parametrize(("left", "sends"), [(3, 1), (2, 0)])
async def test_retry_that_was_handed_on_needs_the_budget(site, left, sends):
    second = site.instances[1]
    second.front.cfg.retry_extra = 0
    second.front.cfg.caller_port = second.front.cfg.handover_port
    reader, writer = await open_request(
        second, "GET", "/read/a", fields=[f"Flamingolift-Handed-On: {left}"]
    )
    data = await reader.read()
    writer.close()
    assert len(served(site)) == sends
    assert data.startswith(b"HTTP/1.1 200" if sends else b"HTTP/1.1 503")
