"""Refusals of another instance, which a request that was handed on may meet."""

import time

import pytest
from cutsites import REFUSE, ROUTES, cut_paths, run_cut_site, send, served, wait_until
from flamingolift_decisions import routetable
from flamingolift_decisions.bytebudget import ByteBudget
from flamingolift_front import handover
from flamingolift_model.routing import RequestLimits, RoutingPolicy

SMALL_HEAD = RequestLimits(max_header_bytes=16)
SMALL_BODY = RequestLimits(max_body_bytes=1)
LONG_NAME = "a" * 400
"""Name that takes a head beyond the allowance for fields between instances."""


@pytest.fixture
async def site(monkeypatch, tmp_path):
    async with run_cut_site(monkeypatch, tmp_path, ["upland"] * 3) as running:
        yield running


def set_policy(instance, routes, limits=None):
    """Puts another policy in force at one instance only."""
    services = list(instance.front.view.table.services.values())
    policy = RoutingPolicy(number=1, routes=routes, services=services)
    if limits is not None:
        policy.limits = limits
    instance.front.view.table = routetable.build_route_table(policy)


async def ask_both(site):
    """Cuts the first instance off and waits until it knows both others."""
    first = site.instances[0]
    cut_paths(site, first, REFUSE)
    await send(first, "GET", "/read/warm-up", number=900)
    await wait_until(lambda: len(first.front.helpers.answers) == 2)
    return first


def lag(instance, kind):
    """Gives an instance an older view, which cannot serve the requests here."""
    if kind == "route":
        routes = [r for r in ROUTES if r.name not in ("read", "book")]
        set_policy(instance, routes)
    elif kind == "head":
        set_policy(instance, ROUTES, SMALL_HEAD)
    else:
        set_policy(instance, ROUTES, SMALL_BODY)


# Guards against a 404, 413 or 431 of an instance whose view lags, for a request that
# the caller's own instance allows.
@pytest.mark.parametrize("kind", ["route", "head", "body"])
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/"), ("POST", "/book/")])
async def test_instance_whose_view_lags_is_passed_over(site, kind, method, path):
    first = await ask_both(site)
    lag(site.instances[1], kind)
    for number in range(12):
        status, _data = await send(
            first, method, path + LONG_NAME, number=number, body=b"seat"
        )
        assert status == 200


# Guards against the same when no other instance is left: the caller's own instance
# refuses, as not run.
@pytest.mark.parametrize("kind", ["route", "head", "body"])
async def test_refusal_is_the_own_one_when_all_others_lag(site, kind):
    first = await ask_both(site)
    for instance in site.instances[1:]:
        lag(instance, kind)
    before = len(served(site))
    status, data = await send(first, "POST", f"/book/{LONG_NAME}", body=b"seat")
    assert status == 503
    assert b"Request-Outcome: not-run" in data
    assert b"Retry-After: " in data
    assert len(served(site)) == before


# Guards against a refusal of the first instance that takes no more requests of others,
# while another one has room.
async def test_busy_instance_is_passed_over(site, monkeypatch):
    first = await ask_both(site)
    site.instances[1].front.taken = handover.MAX_TAKEN
    for number in range(12):
        status, _data = await send(first, "POST", "/book/a", number=number, body=b"x")
        assert status == 200


# Guards against a request that meets a chain of refusals and is answered late.
async def test_refusals_of_all_are_passed_on_at_once(site):
    first = await ask_both(site)
    for instance in site.instances[1:]:
        instance.front.taken = handover.MAX_TAKEN
    started = time.monotonic()
    status, data = await send(first, "POST", "/book/a", body=b"x")
    assert status == 503
    assert b"Request-Outcome: not-run" in data
    assert time.monotonic() - started < 1.0


# Guards against a fault in one instance's code that ends a request which ran nowhere,
# while another one could serve it.
@pytest.mark.parametrize(("method", "path"), [("GET", "/read/a"), ("POST", "/book/a")])
async def test_instance_that_fails_before_a_send_is_passed_over(site, method, path):
    first = await ask_both(site)
    site.instances[1].front.view.table.routes = None
    for number in range(12):
        status, _data = await send(first, method, path, number=number, body=b"x")
        assert status == 200


# Guards against more tries than the route allows, over several instances that each
# find all servers full.
async def test_refusals_for_full_servers_share_the_attempts(site):
    first = await ask_both(site)
    for server in site.servers.values():
        server.script = dict.fromkeys(range(1, 99), "reject")
    before = len(served(site))
    status, data = await send(first, "GET", "/read/a")
    assert status == 503
    assert b"Request-Outcome: not-run" in data
    assert len(served(site)) - before <= 3


# Guards against a refusal of an instance that has no memory for a body, while another
# one has room.
async def test_instance_without_memory_is_passed_over(site):
    first = await ask_both(site)
    site.instances[1].front.byte_budget = ByteBudget(0)
    for number in range(12):
        status, _data = await send(first, "POST", "/book/a", number=number, body=b"x")
        assert status == 200
