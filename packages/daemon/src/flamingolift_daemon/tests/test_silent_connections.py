"""Callers and backend servers that vanish without closing their connections."""

import asyncio
import contextlib
import socket
import time

from droppedpackets import drop_packets
from flamingolift_daemon.backendclient import (
    BackendClients,
    close_answer,
    close_clients,
    send_request,
)
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.metrics import Metrics
from localinstance import HOST, LONG_S, WAIT_S
from test_endless_answers import FakeSlot

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
