"""Requests that arrive while the instance closes idle connections."""

import asyncio
import contextlib
import socket
import time

from flamingolift_front import callers, requestreading
from test_unanswered_requests import (
    IDLE_TIMEOUT_S,
    WAIT_S,
    run_sound_site,
    set_limits,
)
from troubledserver import SOUND_BODY

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: q1\r\nConnection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def connect_socket(site):
    """Connects a socket that sends at once, without the event loop."""
    with socket.socket() as sock:
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", site.port))
        yield sock


async def read_to_end(sock):
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(WAIT_S):
        while piece := await loop.sock_recv(sock, 65536):
            data += piece
    return data


async def wait_idle(site):
    """Waits until the task of a connection waits for a request."""
    async with asyncio.timeout(WAIT_S):
        while not any(conn.stream.waiter for conn in site.front.connections):
            await asyncio.sleep(0.01)


# Guards against requests that reach the socket in the turn of the event loop in which
# the planned stop closes idle connections.
async def test_request_that_arrives_while_a_stop_closes_its_connection_is_answered():
    async with run_sound_site() as site, connect_socket(site) as sock:
        await wait_idle(site)
        site.front.stopping = True
        sock.send(REQUEST)
        callers.close_idle(site.front)
        assert (await read_to_end(sock)).endswith(SOUND_BODY)


# Guards against requests that arrive between the end of the wait and the close.
async def test_request_that_arrives_behind_the_idle_timeout_is_answered():
    async with run_sound_site() as site:
        set_limits(site, idle_timeout_ms=IDLE_TIMEOUT_S * 1000.0)
        async with connect_socket(site) as sock:
            await wait_idle(site)
            idle_s = IDLE_TIMEOUT_S + requestreading.IDLE_MARGIN_S
            # Runs in the same turn as the timer that ends the wait, and behind it.
            loop = asyncio.get_running_loop()
            loop.call_later(idle_s + 0.1, sock.send, REQUEST)
            time.sleep(idle_s + 0.2)
            assert (await read_to_end(sock)).endswith(SOUND_BODY)


# Guards against a connection that stays open without a task that reads from it, since
# the task was cancelled before its first step.
async def test_connection_accepted_while_a_stop_closes_idle_ones_ends(monkeypatch):
    accept = callers.accept_caller

    def accept_and_close_idle(front, stream):
        accept(front, stream)
        callers.close_idle(front)

    monkeypatch.setattr(callers, "accept_caller", accept_and_close_idle)
    async with run_sound_site() as site, connect_socket(site) as sock:
        assert await read_to_end(sock) == b""
        async with asyncio.timeout(WAIT_S):
            while site.front.connections:
                await asyncio.sleep(0.01)
