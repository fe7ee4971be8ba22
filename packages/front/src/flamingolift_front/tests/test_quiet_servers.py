"""Backend servers that answer 503 with Retry-After."""

import asyncio
import time

import pytest
from flamingolift_decisions import availability
from flamingolift_decisions.availability import Unused, why_unused
from flamingolift_front import serverpool
from troubledserver import (
    FAILED,
    SOUND,
    SOUND_BODY,
    WAIT_S,
    fetch,
    head,
    run_site,
    sound,
)


def refuse_first(value, count=1, not_run=True):
    """Returns a script that refuses the first requests and answers the others."""
    seen = []

    def script(request_id):
        seen.append(request_id)
        if len(seen) > count:
            yield from sound(request_id)
            return
        field = b"request-not-run: 1\r\n" if not_run else b""
        yield (
            (
                b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n"
                b"request-id: " + request_id + b"\r\n" + field + b"retry-after: "
            )
            + value
            + b"\r\n\r\n"
        )

    return script


def drop_connections(site):
    """Closes idle connections, on which these servers answer no second request."""
    for name in (FAILED, SOUND):
        serverpool.close_connections(site.front.pool, name)


def reason(site):
    view = site.front.view.backends
    return why_unused(view, view.backends[FAILED], time.monotonic())


@pytest.mark.parametrize("not_run", [True, False])
async def test_server_gets_nothing_for_as_long_as_it_asked(not_run):
    async with run_site(refuse_first(b"0.7", not_run=not_run)) as site:
        started = time.monotonic()
        for number in range(5):
            data, _reset = await fetch(site, number=number)
            assert data.endswith(SOUND_BODY)
            drop_connections(site)
        assert site.failed.requests == 1
        async with asyncio.timeout(WAIT_S):
            while site.failed.requests == 1:
                await fetch(site)
                drop_connections(site)
        assert time.monotonic() - started >= 0.7


async def test_callers_are_refused_at_once_while_all_servers_are_quiet():
    async with run_site(refuse_first(b"20", 99), with_sound=False) as site:
        await fetch(site, number=1)
        started = time.monotonic()
        data, _reset = await fetch(site, number=2)
        assert time.monotonic() - started < 0.5
        assert data.startswith(b"HTTP/1.1 503")
        assert b"asked for quiet" in data
        assert site.failed.requests == 1
        fields = dict(
            line.lower().split(b": ", 1) for line in data.split(b"\r\n")[1:] if line
        )
        assert 0.2 <= float(fields[b"retry-after"]) <= 0.7


@pytest.mark.parametrize("value", [b"", b"-1", b"1e9", b"9" * 30, b"99999", b"soon"])
async def test_unusable_time_is_ignored(value):
    async with run_site(refuse_first(value)) as site:
        data, _reset = await fetch(site)
        assert data.endswith(SOUND_BODY)
        assert reason(site) is None


async def test_long_time_counts_as_the_maximum():
    async with run_site(refuse_first(b"3600")) as site:
        await fetch(site)
        assert reason(site) is Unused.QUIET
        notice = site.front.view.backends.backends[FAILED].notice
        longest = time.monotonic() + availability.MAX_QUIET_S
        assert notice.quiet_until <= longest


async def test_answer_of_another_status_asks_for_nothing():
    def script(request_id):
        length = b"content-length: %d" % len(SOUND_BODY)
        yield head(request_id, length, b"retry-after: 5") + SOUND_BODY

    async with run_site(script) as site:
        await fetch(site)
        assert reason(site) is None
