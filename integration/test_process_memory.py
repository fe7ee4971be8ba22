"""A front stays within its memory limit while large bodies arrive."""

import asyncio

from memoryload import (
    own_peak_mb,
    put_large_limits,
    start_large_server,
    try_bookings,
    upload,
)
from platformfleet import (
    events,
    has_policy,
    make_platform,
    start_front,
    stop_platform,
    wait_until,
)

MEMORY_MB = 152
UPLOADS = 8
UPLOAD_BYTES = 22 << 20


async def test_uploads_stay_within_the_memory_limit(tmp_path):
    fleet = await make_platform(tmp_path, policy=False)
    server = None
    try:
        put_large_limits(fleet, 1)
        server = await start_large_server(fleet, "i-large-1")
        front = await start_front(fleet, "front-a", memory_mb=MEMORY_MB)
        await wait_until(lambda: has_policy(front, 1), 30.0)
        await wait_until(lambda: events(front, "server_changed"), 30.0)
        done = asyncio.Event()
        bookings = asyncio.create_task(try_bookings(front, done))
        uploads = (upload(front, f"u{n}", UPLOAD_BYTES) for n in range(UPLOADS))
        statuses = await asyncio.gather(*uploads)
        done.set()
        served, sent = await bookings
        assert own_peak_mb(front) < MEMORY_MB
        assert front.process.returncode is None
        assert set(statuses) <= {200, 503} and 200 in statuses
        assert served == sent > 0
    finally:
        if server is not None:
            for writer in list(server.writers):
                writer.transport.abort()
            server.server.close()
        await stop_platform(fleet)
