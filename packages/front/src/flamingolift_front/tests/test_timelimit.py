"""Time limits while the event loop is blocked."""

import asyncio
import socket
import threading
import time

import pytest
from flamingolift_front import bytestream
from flamingolift_front.timelimit import time_limit
from test_unanswered_requests import connect, read_answer, run_sound_site, send
from troubledserver import ROUTE_TIMEOUT_S, SOUND_BODY, head

BLOCKED_S = 0.3


def in_s(seconds):
    return asyncio.get_running_loop().time() + seconds


async def test_time_limit_ends_a_block():
    with pytest.raises(TimeoutError):
        async with time_limit(in_s(0.05)):
            await asyncio.sleep(5.0)


async def test_time_limit_leaves_a_block_alone_that_ends_in_time():
    async with time_limit(in_s(0.05)):
        await asyncio.sleep(0)
    await asyncio.sleep(0.1)


def answer_from_thread(listener, received):
    """Answers one request, also while the event loop of the test is blocked."""
    conn, _address = listener.accept()
    with conn:
        conn.recv(4096)
        received.set()
        time.sleep(0.1)
        length = b"content-length: %d" % len(SOUND_BODY)
        conn.sendall(head(b"q1", length) + SOUND_BODY)
        time.sleep(2.0)


# Guards against answers that are replaced by a 504 because the instance was busy when
# the deadline passed, although they had arrived before.
async def test_answer_that_arrives_while_the_instance_is_busy_is_delivered():
    received = threading.Event()
    async with run_sound_site() as site, connect(site) as caller:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            backend = site.front.view.backends.backends["failed"]
            backend.entry.port = listener.getsockname()[1]
            args = (listener, received)
            threading.Thread(target=answer_from_thread, args=args, daemon=True).start()
            send(caller, 1)
            while not received.is_set():
                await asyncio.sleep(0.01)
            time.sleep(ROUTE_TIMEOUT_S + BLOCKED_S)
            assert await read_answer(caller) == (200, SOUND_BODY)


# Guards against servers that are suspended because the instance was busy while it
# connected to them.
async def test_connection_made_while_the_instance_is_busy_counts():
    async with run_sound_site() as site:
        connecting = asyncio.create_task(
            bytestream.connect("127.0.0.1", site.port, 0.1)
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(BLOCKED_S)
        stream = await connecting
        bytestream.abort(stream)
