"""Callers: kept and new connections, pipelines, uploads, slow readers, leavers."""

import asyncio
import contextlib
import socket
import time

from bench.soaking.records import Call
from integration.platformfleet import HOST

__all__ = ["run_callers", "send_single"]

TIME_LIMIT_S = 6.0
"""Longest wait for an answer (s), beyond the routes' timeout and the stop's grace."""
DEADLINE_MS = 3000
CONNECT_TIMEOUT_S = 1.0
KINDS = ["read"] * 8 + ["book"] * 6 + ["map"] * 2 + ["late"] * 2 + ["move"]
UPLOAD_BYTES = 9000
DOWNLOAD_BYTES = [2_000, 60_000, 400_000]
SLOW_READ_BYTES = 16_384
SLOW_READ_PAUSE_S = 0.02
RECEIVE_BUFFER_BYTES = 32_768


async def run_callers(run, rng, count, names):
    """Runs callers until the run ends; each uses one connection after another."""
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(_call_on(run, rng, names))


async def _call_on(run, rng, names):
    while time.monotonic() < run.ends_at:
        boot = _pick_boot(run, rng)
        if boot is None:
            await asyncio.sleep(0.1)
            continue
        style = rng.choice(["kept", "kept", "kept", "pipeline", "new", "slow", "leave"])
        await _use_connection(run, rng, boot, style, names)
        await asyncio.sleep(rng.uniform(0.0, 0.1))


def _pick_boot(run, rng):
    """Returns a process to connect to; now and then one that is stopping."""
    boots = [i.boots[-1] for i in run.instances if i.boots[-1].exited_at is None]
    running = [b for b in boots if b.ready and b.stop_at is None]
    stopping = [b for b in boots if b.ready and b.stop_at is not None]
    choices = stopping if stopping and rng.random() < 0.1 else running
    return rng.choice(choices) if choices else None


def _new_call(run, rng, boot, names):
    rid, kind = f"s{run.seed}-{next(names)}", rng.choice(KINDS)
    target, body = f"/{kind}/{rid}", b""
    if kind == "map":
        target = f"/map/{rng.choice(DOWNLOAD_BYTES)}/{rid}"
    if kind == "late":
        target = f"/late{max(1, run.changes[-1].version - rng.randrange(7))}/{rid}"
    if kind == "book" and rng.random() < 0.4:
        body = rid.encode() * (rng.randrange(UPLOAD_BYTES) // len(rid))
    call = Call(rid, kind, boot, target, body)
    run.calls.append(call)
    return call


def _encode(call, chunked):
    method = "POST" if call.kind == "book" else "GET"
    lines = [
        f"{method} {call.target} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {call.rid}",
        f"Deadline-Ms: {DEADLINE_MS}",
    ]
    body = call.body
    if method == "POST" and chunked:
        lines.append("Transfer-Encoding: chunked")
        parts = [body[n : n + 1500] for n in range(0, len(body), 1500)]
        pieces = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
        body = b"".join([*pieces, b"0\r\n\r\n"])
    elif method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _connect(boot, style):
    sock = socket.socket()
    if style == "slow":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        address = ("127.0.0.1", boot.front.ports["front"])
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock)
    except (OSError, TimeoutError):
        sock.close()
        return None


async def send_single(run, rng, boot, names):
    """Sends one request on a new connection; returns its Call, or None."""
    return await _use_connection(run, rng, boot, "new", names)


async def _use_connection(run, rng, boot, style, names):
    """Uses a connection until the process closes it or the run ends."""
    opened = await _connect(boot, style)
    if opened is None:
        return None
    reader, writer = opened
    call = None
    try:
        while True:
            count = rng.randrange(2, 6) if style == "pipeline" else 1
            calls = [_new_call(run, rng, boot, names) for _ in range(count)]
            call = calls[0]
            if style == "leave" and rng.random() < 0.4:
                await _leave(rng, writer, calls)
                break
            if not await _exchange(rng, reader, writer, calls, style):
                break
            if style == "new" or time.monotonic() >= run.ends_at:
                break
            await asyncio.sleep(rng.uniform(0.0, 0.15))
    finally:
        writer.close()
    return call


async def _leave(rng, writer, calls):
    """Sends requests and closes the connection without their answers."""
    with contextlib.suppress(ConnectionError):
        writer.write(b"".join(_encode(call, False) for call in calls))
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    for call in calls:
        call.sent_at = call.ended_at = time.monotonic()
        call.end = "left"
    if rng.random() < 0.5:
        writer.transport.abort()


async def _exchange(rng, reader, writer, calls, style):
    """Sends requests and reads their answers; returns whether it stays open."""
    sending = asyncio.create_task(_send_all(rng, writer, calls))
    stays, close_seen_at = True, None
    for position, call in enumerate(calls):
        call.close_seen_at = close_seen_at
        if not stays:
            # The connection has ended; the answers before this one were the last.
            call.end, call.ended_at = calls[position - 1].end, time.monotonic()
            call.end = "fin" if call.end == "answer" else call.end
            continue
        await _read_answer(reader, call, style == "slow")
        if call.end != "answer":
            stays = False
        elif call.fields.get("connection") == "close":
            close_seen_at = close_seen_at or call.ended_at
    await sending
    return stays and close_seen_at is None


async def _send_all(rng, writer, calls):
    """Sends requests, in one piece or in several with pauses between."""
    with contextlib.suppress(ConnectionError):
        for call in calls:
            data = _encode(call, rng.random() < 0.5)
            if rng.random() < 0.1:
                half = len(data) // 2
                writer.write(data[:half])
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                data = data[half:]
            writer.write(data)
            call.sent_at = time.monotonic()
            await writer.drain()


async def _read_answer(reader, call, is_slow):
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await _read_message(reader, call, is_slow)
        call.end = "answer"
    except TimeoutError:
        call.end = "overdue"
    except asyncio.IncompleteReadError as exc:
        call.end = "short" if exc.partial or call.fields else "fin"
    except ConnectionError:
        call.end = "reset"
    except (ValueError, KeyError, IndexError, asyncio.LimitOverrunError):
        call.end = "garbled"
    call.ended_at = time.monotonic()


async def _read_message(reader, call, is_slow):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    pairs = (field.partition(":") for field in fields)
    call.fields = {name.strip().lower(): v.strip() for name, _, v in pairs}
    protocol, status = line.split()[:2]
    if protocol != "HTTP/1.1":
        raise ValueError(line)
    if call.fields.get("transfer-encoding") == "chunked":
        call.answer = await _read_chunks(reader)
    elif is_slow:
        call.answer = await _read_slowly(reader, int(call.fields["content-length"]))
    else:
        size = int(call.fields["content-length"])
        call.answer = await reader.readexactly(size)
    call.status = int(status)


async def _read_chunks(reader):
    pieces = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        pieces.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(pieces)


async def _read_slowly(reader, size):
    pieces = []
    while size:
        await asyncio.sleep(SLOW_READ_PAUSE_S)
        pieces.append(await reader.readexactly(min(size, SLOW_READ_BYTES)))
        size -= len(pieces[-1])
    return b"".join(pieces)
