"""Servers whose addresses were used again, and answer as another than expected.

Pattern: several addresses of a service change hands at once, and a request meets them
one after the other.
"""

import contextlib

import pytest
from flamingolift_front import tries
from test_unanswered_requests import connect, read_answer, send
from troubledserver import (
    SOUND_BODY,
    add_entry,
    head,
    run_site,
    sound,
    start_server,
    stop_server,
)


def other_server(request_id):
    """Answers as a server whose id is not the expected one."""
    start = head(request_id, b"request-not-run: 1", b"content-length: 0")
    yield start.replace(b"200 OK", b"421 X")


@contextlib.asynccontextmanager
async def run_reused_site(reused, max_attempts):
    """Runs a front with a sound server behind some whose address was used again.

    Yields:
        Tuple of the Site, and the list of the servers with the addresses.
    """
    async with run_site(other_server, with_sound=False, keep_open=True) as site:
        servers = [site.failed]
        for number in range(1, reused + 1):
            script = sound if number == reused else other_server
            servers.append(await start_server(script, keep_open=True))
            # The sound one is the last to be tried.
            region = "other" if script is sound else site.front.cfg.region
            add_entry(site.front, f"reused-{number}", servers[-1].port, region)
        for route in site.front.view.table.routes.values():
            route.max_attempts = max_attempts
            route.bulk = True
        try:
            yield site, servers[:-1]
        finally:
            for server in servers[1:]:
                await stop_server(server)


# Guards against a refusal by an instance that knows a free server: two attempts met two
# addresses that had changed hands, and the request ended with 503.
@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_address_that_was_used_again_is_no_attempt(max_attempts):
    async with (
        run_reused_site(2, max_attempts) as (site, reused),
        connect(site) as caller,
    ):
        send(caller, 1)
        assert await read_answer(caller) == (200, SOUND_BODY)
        assert [server.requests for server in reused] == [1, 1]


# Guards against a request that visits all of the addresses.
async def test_number_of_such_addresses_is_bounded():
    count = tries.MAX_MISDIRECTED + 2
    async with run_reused_site(count, 2) as (site, reused), connect(site) as caller:
        send(caller, 1)
        status, body = await read_answer(caller)
        assert status == 503 and b"not-run" in body
        assert b"other servers answered" in body
        assert sum(s.requests for s in reused) == tries.MAX_MISDIRECTED


# Guards against arrivals that the retry budget does not see.
async def test_each_of_them_counts_against_the_retry_budget():
    async with run_reused_site(2, 2) as (site, reused), connect(site) as caller:
        site.front.cfg.retry_extra = 0
        site.front.cfg.retry_ratio = 0.0
        send(caller, 1)
        status, body = await read_answer(caller)
        assert status == 503 and b"not-run" in body
        assert b"the retry budget is spent" in body
        assert sum(server.requests for server in reused) == 1
