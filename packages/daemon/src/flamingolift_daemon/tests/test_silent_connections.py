"""Callers and backend servers that vanish without closing their connections."""

import asyncio
import contextlib
import socket
import time

import pytest
from flamingolift_daemon import httpserver
from flamingolift_daemon.backendclient import (
    BackendClients,
    close_answer,
    close_clients,
    send_request,
)
from flamingolift_daemon.callerapi import make_caller_app
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.httpserver import make_server
from flamingolift_daemon.metrics import Metrics
from flamingolift_daemon.operatorapi import make_operator_app
from flamingolift_daemon.sockets import SLOW_READER_TIMEOUT_MS
from flamingolift_standins.silentpeer import drop_packets
from localinstance import (
    HOST,
    LONG_S,
    WAIT_S,
    run_backend,
    run_caller_listener,
    run_local_instance,
)
from test_endless_answers import FakeSlot

TEST_TIMEOUT_MS = 1000
IDLE_S = 0.3
HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nExchange-Id: {}\r\n\r\n"


def user_timeout_ms(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


@contextlib.asynccontextmanager
async def run_echoing_server():
    """Runs a server that echoes exchange ids and sends bodies when asked to.

    Yields its port, the list of its connections' sockets and the event that asks.
    """
    accepted = []
    body_wanted = asyncio.Event()

    async def serve(reader, writer):
        accepted.append(writer.get_extra_info("socket"))
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                exchange_id = head.partition("Exchange-Id: ")[2].partition("\r\n")[0]
                writer.write(HEAD.format(exchange_id).encode())
                await body_wanted.wait()
                body_wanted.clear()
                writer.write(b"body")
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1], accepted, body_wanted
    finally:
        server.close()


async def send_to(clients, port):
    slot = FakeSlot(port, Clock().now() + LONG_S)
    return await send_request(clients, slot, "GET", "/x", [], None, timeout_s=LONG_S)


async def exchange(clients, port, body_wanted):
    """Sends a request and reads its answer; returns the user timeout (ms)."""
    answer = (await send_to(clients, port)).ok
    sock = answer.resp.connection.transport.get_extra_info("socket")
    timeout_ms = user_timeout_ms(sock)
    body_wanted.set()
    await answer.resp.read()
    await close_answer(answer)
    return timeout_ms


# Guards against requests that wait until their deadline for a server that is gone,
# and against a lost path that counts as a crash of the server.
async def test_unacknowledged_request_ends_soon_as_a_timeout():
    clients = BackendClients(HOST, 1.0, LONG_S, Metrics("", 0))
    async with run_echoing_server() as (port, accepted, body_wanted):
        # The first answer echoes the id, and the second one comes on a connection
        # that is kept.
        for _exchange in range(2):
            assert await exchange(clients, port, body_wanted) == 600
        for sock in accepted:
            if sock.fileno() >= 0:
                drop_packets(sock)
        started = time.monotonic()
        async with asyncio.timeout(WAIT_S):
            result = await send_to(clients, port)
        assert time.monotonic() - started < 2.0
        assert (result.error.name, result.error.sent) == ("timeout", True)
        assert await exchange(clients, port, body_wanted) == 600
    await close_clients(clients)


async def stream_chunks(_reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(bytes(1 << 16))
            await writer.drain()


# Guards against callers that vanish silently and hold a slot until it expires.
async def test_caller_that_vanished_releases_its_slot(monkeypatch):
    monkeypatch.setattr(httpserver, "SLOW_READER_TIMEOUT_MS", TEST_TIMEOUT_MS)
    async with (
        run_backend(stream_chunks) as backend,
        run_local_instance([("packs", "download")], [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /s/packs/x HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        assert instance.in_flight == 1
        drop_packets(writer.get_extra_info("socket"))
        async with asyncio.timeout(TEST_TIMEOUT_MS / 1000.0 + WAIT_S):
            while instance.in_flight or any(p.grants for p in instance.pools.values()):
                await asyncio.sleep(0.05)
        writer.transport.abort()


# Guards against connections without a whole request head that stay open.
@pytest.mark.parametrize("part", [b"", b"GET /s/packs/x HTTP/1.1\r\nHost: a\r\n"])
async def test_connection_without_a_request_is_closed_when_idle(monkeypatch, part):
    monkeypatch.setattr(httpserver, "KEEP_ALIVE_S", IDLE_S)
    async with (
        run_local_instance([("packs", "download")], [9]) as instance,
        run_caller_listener(instance) as port,
    ):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(part)
        async with asyncio.timeout(WAIT_S):
            assert await reader.read() == b""
        writer.close()


# Guards against an idle timeout that ends requests in progress.
async def test_request_in_progress_outlives_the_idle_timeout(monkeypatch):
    monkeypatch.setattr(httpserver, "KEEP_ALIVE_S", IDLE_S)

    async def answer_late(_reader, writer):
        await asyncio.sleep(3 * IDLE_S)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")

    async with (
        run_backend(answer_late) as backend,
        run_local_instance([("packs", "download")], [backend]) as instance,
        run_caller_listener(instance) as port,
    ):
        reader, writer = await asyncio.open_connection(HOST, port)
        for _request in range(2):
            writer.write(b"GET /s/packs/x HTTP/1.1\r\nHost: a\r\n\r\n")
            async with asyncio.timeout(WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(4) == b"body"
        writer.close()


async def test_options_of_accepted_connections():
    async with run_local_instance([("packs", "download")], [9]) as instance:
        for app in (make_caller_app(instance), make_operator_app(instance)):
            server = make_server(app, HOST, 0, 32_768)
            serving = asyncio.ensure_future(server.serve())
            await wait_until(lambda server=server: server.started)
            port = server.servers[0].sockets[0].getsockname()[1]
            _reader, writer = await asyncio.open_connection(HOST, port)
            connections = server.server_state.connections
            await wait_until(lambda connections=connections: connections)
            for conn in connections:
                sock = conn.transport.get_extra_info("socket")
                assert user_timeout_ms(sock) == SLOW_READER_TIMEOUT_MS
                assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            writer.close()
            server.should_exit = True
            await serving


async def wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)
