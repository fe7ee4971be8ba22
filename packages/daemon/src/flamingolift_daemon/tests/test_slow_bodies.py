"""Callers that do not send the whole body of a booking."""

import asyncio

from flamingolift_daemon.waits import end_waits
from localinstance import HOST, WAIT_S, run_caller_listener, run_local_instance

SERVICES = [("seats", "booking")]


async def send_part(port, deadline_ms):
    """Sends a booking without the end of its body; returns the answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(
        b"POST /s/seats/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
        b"Request-Deadline-Ms: %d\r\nContent-Length: 8\r\n\r\nseat" % deadline_ms
    )
    try:
        async with asyncio.timeout(WAIT_S):
            return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()


# Guards against bodies that hold a request without end.
async def test_body_that_stalls_is_refused_at_the_deadline():
    async with (
        run_local_instance(SERVICES, [9]) as instance,
        run_caller_listener(instance) as port,
    ):
        head = await send_part(port, 300)
        assert head.startswith(b"HTTP/1.1 408")
        assert b"request-outcome: not-run" in head
        assert not instance.in_flight


async def test_body_that_stalls_during_a_stop_is_refused_as_not_run():
    async with (
        run_local_instance(SERVICES, [9]) as instance,
        run_caller_listener(instance) as port,
    ):
        sending = asyncio.ensure_future(send_part(port, 30_000))
        async with asyncio.timeout(WAIT_S):
            while not instance.in_flight:
                await asyncio.sleep(0.01)
        end_waits(instance.slot_waits)
        head = await sending
        assert b"result-code: 2004" in head
        assert b"request-outcome: not-run" in head
