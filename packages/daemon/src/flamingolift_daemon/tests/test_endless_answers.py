"""Backend servers that send without end."""

import asyncio
import contextlib
import time

import pytest
from flamingolift_daemon import streaming
from flamingolift_daemon.backendclient import (
    BackendClients,
    close_clients,
    send_request,
)
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.forwarding import CallerRequest, ForwardedAnswer
from flamingolift_daemon.metrics import Metrics
from flamingolift_daemon.streaming import stream_answer
from flamingolift_decisions.policyrules import ServiceRules
from flamingolift_model import FaultError, ResultCode
from flamingolift_model.policy import Service

HEAD_TIMEOUT_S = 1.0
HOLD_S = 0.5
WAIT_S = 5.0
"""Longest wait for what has no bound of its own (s)."""
TRICKLE_S = 0.02
CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "no response": (b"", b"\x7fELF" * 1024),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 512),
    "one header line": (b"HTTP/1.1 200 OK\r\na: ", b"b" * 4096),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
}
BODIES = {
    "chunks": (CHUNKED, CHUNK),
    "tiny chunks": (CHUNKED, b"1\r\na\r\n" * 512),
}
BROKEN_BODIES = {
    "chunk extension": (CHUNKED + CHUNK * 32 + b"1;", b"a" * 4096),
    "chunk size": (CHUNKED + CHUNK * 32 + b"1", b"0" * 4096),
    "trailers": (CHUNKED + CHUNK * 32 + b"0\r\n", b"a: b\r\n" * 512),
}


class FakeInstance:
    """The attributes of an instance that streaming uses."""

    def __init__(self):
        self.clock = Clock()
        self.metrics = Metrics("", 0)
        self.budgets = {}


class FakeSlot:
    def __init__(self, port, held_until):
        self.server_id = "s1"
        self.host = "127.0.0.1"
        self.port = port
        self.held_until = held_until


@contextlib.asynccontextmanager
async def run_server(start, piece, pause_s):
    """Runs a server; yields its port and an event, set when its caller has left."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            writer.write(start)
            while not writer.transport.is_closing() and not reader.at_eof():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
        closed.set()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], closed
    finally:
        server.close()


async def request_from(clients, port, instance):
    slot = FakeSlot(port, instance.clock.now() + HOLD_S)
    result = await send_request(
        clients, slot, "GET", "/x", [], None, timeout_s=HEAD_TIMEOUT_S
    )
    return slot, result


# Guards against a head without end that holds a request beyond its deadline.
@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_S])
@pytest.mark.parametrize("name", HEADS)
async def test_endless_head_ends_by_the_deadline(name, pause_s):
    instance = FakeInstance()
    clients = BackendClients("127.0.0.1", 1.0, 60.0, instance.metrics)
    async with run_server(*HEADS[name], pause_s) as (port, closed):
        started = time.monotonic()
        _slot, result = await request_from(clients, port, instance)
        assert result.is_error() and result.error.sent
        assert time.monotonic() - started < HEAD_TIMEOUT_S + 1.0
        async with asyncio.timeout(WAIT_S):
            await closed.wait()
    await close_clients(clients)


async def stream_from(monkeypatch, port):
    """Reads an answer's body; returns the Fault and the outcomes of its slot."""
    outcomes = []

    def release(_instance, _slot, outcome, _elapsed_ms):
        outcomes.append(outcome)

    monkeypatch.setattr(streaming, "release_slot", release)
    instance = FakeInstance()
    clients = BackendClients("127.0.0.1", 1.0, 60.0, instance.metrics)
    slot, result = await request_from(clients, port, instance)
    rules = ServiceRules(Service(name="maps", traffic_class="download"))
    deadline = instance.clock.now() + HEAD_TIMEOUT_S
    request = CallerRequest("maps", rules, "GET", "/x", [], None, "t", "f", deadline)
    answer = ForwardedAnswer(result.ok, slot, instance.clock.now())
    try:
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(FaultError) as raised:
                async for _chunk in stream_answer(instance, request, answer):
                    await asyncio.sleep(0)
    finally:
        await close_clients(clients)
    return raised.value.fault, outcomes


# Guards against an endless body that is relayed after its slot was granted again.
@pytest.mark.parametrize("pause_s", [0.0, TRICKLE_S])
@pytest.mark.parametrize("name", BODIES)
async def test_endless_body_is_cut_when_its_slot_expires(monkeypatch, name, pause_s):
    async with run_server(*BODIES[name], pause_s) as (port, closed):
        fault, outcomes = await stream_from(monkeypatch, port)
        assert fault.code is ResultCode.BACKEND_TIMEOUT
        assert outcomes == ["timeout"]
        async with asyncio.timeout(WAIT_S):
            await closed.wait()


# Guards against endless framing that is buffered or waited for without end.
@pytest.mark.parametrize("name", BROKEN_BODIES)
async def test_endless_framing_cuts_the_answer(monkeypatch, name):
    async with run_server(*BROKEN_BODIES[name], 0.0) as (port, closed):
        _fault, outcomes = await stream_from(monkeypatch, port)
        assert outcomes in (["crashed"], ["timeout"])
        async with asyncio.timeout(WAIT_S):
            await closed.wait()


# Guards against cutting a whole body that a slow caller reads after the slot expired.
async def test_whole_body_is_delivered_after_its_slot_expired(monkeypatch):
    size = 2 * streaming.CHUNK_BYTES
    answer = CHUNKED + CHUNK * 2 + b"0\r\n\r\n"
    monkeypatch.setattr(streaming, "release_slot", lambda *args: None)
    instance = FakeInstance()
    clients = BackendClients("127.0.0.1", 1.0, 60.0, instance.metrics)
    async with run_server(answer, b"", TRICKLE_S) as (port, _closed):
        slot, result = await request_from(clients, port, instance)
        async with asyncio.timeout(WAIT_S):
            while not result.ok.resp.content.is_eof():
                await asyncio.sleep(TRICKLE_S)
        slot.held_until = instance.clock.now()
        answer = ForwardedAnswer(result.ok, slot, instance.clock.now())
        body = [chunk async for chunk in stream_answer(instance, None, answer)]
    assert sum(map(len, body)) == size
    await close_clients(clients)
