"""What servers say of themselves in answers that pass through another instance."""

import pytest
from cutsites import (
    REFUSE,
    cut_paths,
    events,
    heal_paths,
    run_cut_site,
    send,
    served,
    wait_until,
)
from flamingolift_decisions import availability, serverlimits

REQUESTS = 30


@pytest.fixture
async def site(monkeypatch, tmp_path):
    async with run_cut_site(monkeypatch, tmp_path, ["upland"] * 2) as running:
        yield running


def known_server(instance, server_id):
    return instance.front.view.backends.backends[server_id]


def answered_by(site, data):
    return next(s for s in site.servers if b"answer of " + s.encode() in data)


async def return_to_servers(site, instance):
    """Ends the cut of an instance and waits until it has noticed."""
    heal_paths(site, instance)
    await wait_until(lambda: not instance.front.paths.cut_off_at)


# Guards against requests to a server whose answer that it leaves this instance itself
# has passed on to a caller, through another instance.
@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/read/a"), ("POST", "/book/a"), ("GET", "/read/big")]
)
async def test_leaving_binds_the_instance_that_passes_the_answer_on(site, method, path):
    first = site.instances[0]
    cut_paths(site, first, REFUSE)
    for server in site.servers.values():
        server.leaving = True
        if path.endswith("big"):
            server.script = dict.fromkeys(range(1, 99), "stream")
    status, _data = await send(first, method, path, body=b"x")
    assert status == 200
    (server_id,) = (s for s, server in site.servers.items() if server.requests)
    assert availability.is_leaving(known_server(first, server_id))
    (event,) = events(first, "server_leaving")
    assert (event["server"], event["source"]) == (server_id, "front-1")
    for server in site.servers.values():
        server.leaving, server.script = False, {}
    await return_to_servers(site, first)
    before = len(site.servers[server_id].requests)
    for number in range(REQUESTS):
        status, _data = await send(first, method, f"{path}{number}", number=number)
        assert status == 200
    assert len(site.servers[server_id].requests) == before


# Guards against a burst beyond a limit that this instance itself has passed on.
async def test_limit_binds_the_instance_that_passes_the_answer_on(site):
    first = site.instances[0]
    cut_paths(site, first, REFUSE)
    for server in site.servers.values():
        server.limit = "2.5"
    status, data = await send(first, "GET", "/read/a")
    assert status == 200
    assert serverlimits.is_limited(known_server(first, answered_by(site, data)))


# Guards against an internal field that reaches callers or servers, and against one of a
# server or a caller that is taken for an instance's.
async def test_fields_between_instances_stay_there(site):
    first = site.instances[0]
    forged = b"Flamingolift-Served-By: books-0;0\r\nServer-Leaving: 1\r\n"

    def answer(request):
        identity = request.headers["request-id"].encode()
        yield b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + forged
        yield b"Request-Id: " + identity + b"\r\n\r\nok"

    for server in site.servers.values():
        server.script = dict.fromkeys(range(1, 99), answer)
    cut_paths(site, first, REFUSE)
    status, data = await send(first, "GET", "/read/a")
    assert status == 200
    assert b"flamingolift-" not in data.lower()
    assert not availability.is_leaving(known_server(first, "books-0"))
    fields = {name for request in served(site) for name in request.headers}
    assert not any(name.startswith("flamingolift-") for name in fields)
