"""Requests that arrive behind another one on the same connection."""

import asyncio

from flamingolift_front import callers
from test_unanswered_requests import WAIT_S, connect, read_answer, run_sound_site, send
from troubledserver import SOUND_BODY


# Guards against an invalid request whose connection closes without a refusal.
async def test_invalid_request_behind_another_is_refused():
    async with run_sound_site() as site, connect(site) as caller:
        send(caller, 1)
        caller.writer.write(b"GARBAGE\r\n\r\n")
        assert await read_answer(caller) == (200, SOUND_BODY)
        status, _body = await read_answer(caller)
        assert status == 400


# Guards against a planned stop that takes a connection for idle on which a part of the
# next request has arrived.
async def test_part_of_a_request_behind_another_is_in_progress():
    async with run_sound_site() as site, connect(site) as caller:
        send(caller, 1)
        caller.writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n")
        assert await read_answer(caller) == (200, SOUND_BODY)
        (conn,) = site.front.connections
        async with asyncio.timeout(WAIT_S):
            while conn.stream.waiter is None:
                await asyncio.sleep(0.01)
        site.front.stopping = True
        callers.close_idle(site.front)
        caller.writer.write(b"Request-Id: q2\r\nRequest-Deadline-Ms: 2000\r\n\r\n")
        assert await read_answer(caller) == (200, SOUND_BODY)
