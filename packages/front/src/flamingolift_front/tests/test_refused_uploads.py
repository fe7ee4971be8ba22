"""Refusals of requests whose callers are still sending."""

import asyncio
import http.client

from flamingolift_front import callers
from test_unanswered_requests import WAIT_S, connect, run_sound_site, set_limits

BODY_BYTES = 30_000_000


def upload(port):
    """Sends a request as a usual client does, which reads after it has sent."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT_S)
    fields = {"Request-Id": "q1", "Request-Deadline-Ms": "4000"}
    conn.request("POST", "/a", body=bytes(BODY_BYTES), headers=fields)
    return conn.getresponse().status


# Guards against a refusal that is lost with a reset, since the connection closes while
# bytes of the request are unread.
async def test_refusal_of_a_large_body_reaches_its_caller():
    async with run_sound_site() as site:
        set_limits(site, max_body_bytes=1000)
        assert await asyncio.to_thread(upload, site.port) == 413


async def test_refused_caller_that_keeps_sending_is_cut(monkeypatch):
    monkeypatch.setattr(callers, "LINGER_S", 0.2)
    async with run_sound_site() as site, connect(site) as caller:
        caller.writer.write(b"GARBAGE\r\n\r\n")
        async with asyncio.timeout(WAIT_S):
            while not caller.writer.transport.is_closing():
                caller.writer.write(bytes(1000))
                await asyncio.sleep(0.01)
            while site.front.connections:
                await asyncio.sleep(0.01)
