"""Requests that arrive while an instance is being stopped."""

import asyncio
import signal

import pytest
from platformfleet import HOST, Reply, events, wait_until

GRACE_S = 3.0
"""Time from the stop signal to the forced stop in the tests' settings (s)."""
WORK_S = 1.2
"""Time that a server works on a request (s), below the routes' timeout of 1.5 s."""


SENDING_S = 0.8
"""Longest time in which the request arrives (s), below the limit on its head of 1 s."""


def _describe(server, request):
    """Returns what tells a request of this test from a stray one (text)."""
    names = ("request-id", "expect-instance", "host")
    fields = [request.headers.get(name, "") for name in names]
    return f"{server.server_id} got {request.line} {fields}: {request.ended}"


# Guards against requests that are taken late in a planned stop and cut at its end.
@pytest.mark.parametrize("path", ["/book/a", "/read/a"])
@pytest.mark.parametrize("part", [0.1, 0.4, 0.6, 0.73])
async def test_request_taken_during_a_stop_ends_whole(platform, front, path, part):
    servers = platform.servers.values()
    for server in servers:
        server.work_s = WORK_S
    reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    front.process.send_signal(signal.SIGTERM)
    await wait_until(lambda: events(front, "stopping"))
    taken_s = GRACE_S * part
    await asyncio.sleep(max(0.0, taken_s - SENDING_S))
    writer.write(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n".encode())
    await asyncio.sleep(min(taken_s, SENDING_S))
    writer.write(b"Request-Id: late\r\nContent-Length: 0\r\n\r\n")
    reply = Reply(await reader.read())
    writer.close()
    ran = [r for server in servers for r in server.requests]
    # Names the requests, so that strays of other processes at used ports are seen.
    arrivals = [_describe(server, r) for server in servers for r in server.requests]
    arrivals += [event["sends"] for event in events(front, "request_done")]
    if reply.status == 200:
        assert [r.ended for r in ran] == ["ran"], arrivals
    else:
        # It was never taken, says so, and the caller can go elsewhere.
        assert reply.status == 503
        assert reply.headers["request-outcome"] == "not-run"
        assert reply.headers["connection"] == "close"
        assert not ran, arrivals
    assert await asyncio.wait_for(front.process.wait(), GRACE_S) == 0
