"""Refusals of requests that no server has been sent."""

import asyncio
import errno
import os

import pytest
from flamingolift_front import bytestream, serverpool
from troubledserver import fetch, run_site, sound


def hang_connects(monkeypatch):
    """Makes connects to servers hang, as behind a partition of the network."""

    async def connect(_host, _port, timeout_s, **_options):
        async with asyncio.timeout(timeout_s):
            await asyncio.Event().wait()

    monkeypatch.setattr(bytestream, "connect", connect)


# Guards against the answer 504 for a request whose deadline passed during connects: a
# caller of a booking may not send it elsewhere, though no server has got it.
@pytest.mark.parametrize("deadline_s", [0.1, 0.3, 0.6])
async def test_deadline_that_passes_during_connects_is_refused_as_not_run(
    monkeypatch, deadline_s
):
    async with run_site(sound) as site:
        hang_connects(monkeypatch)
        data, _reset = await fetch(site, deadline_s=deadline_s)
        assert data.startswith(b"HTTP/1.1 503")
        assert b"request-outcome: not-run" in data.lower()
        assert b"retry-after:" in data.lower()
        assert site.failed.requests == site.sound.requests == 0


async def test_connect_that_takes_longer_than_usual_answers_is_not_a_send(monkeypatch):
    async with run_site(sound) as site:
        for number in range(9):
            await fetch(site, number=number)
        for server_id in list(site.front.pool.idle):
            serverpool.close_connections(site.front.pool, server_id)
        hang_connects(monkeypatch)
        data, _reset = await fetch(site, number=10)
        assert data.startswith(b"HTTP/1.1 503")
        assert b"request-outcome: not-run" in data.lower()


async def test_deadline_that_passes_after_a_send_stays_unknown():
    def silent(_request_id):
        return iter(())

    async with run_site(silent, with_sound=False) as site:
        data, _reset = await fetch(site, deadline_s=0.3)
        assert data.startswith(b"HTTP/1.1 504")


# Guards against servers that are suspended since the instance has no descriptor left.
async def test_server_stays_in_use_when_the_instance_has_no_socket(monkeypatch):
    async def connect(_host, _port, _timeout_s, **_options):
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    async with run_site(sound) as site:
        with monkeypatch.context() as patch:
            patch.setattr(bytestream, "connect", connect)
            data, _reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 503")
        assert b"request-outcome: not-run" in data.lower()
        known = site.front.view.backends.backends.values()
        assert not any(backend.failures for backend in known)
        assert not site.front.paths.unreached
        data, _reset = await fetch(site, number=2)
        assert data.startswith(b"HTTP/1.1 200")


# Guards against one caller's CONNECT that suspends the servers for all other callers.
async def test_connect_method_is_refused_and_reaches_no_server():
    async with run_site(sound) as site:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\n\r\n")
        data = await reader.read()
        writer.close()
        assert data.startswith(b"HTTP/1.1 400")
        assert site.failed.requests == site.sound.requests == 0
