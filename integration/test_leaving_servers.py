"""Backend servers that say in their answers that they leave, behind real fronts."""

import asyncio

import pytest
from flamingolift_standins.platformstore import stop_store
from platformfleet import (
    add_known_server,
    events,
    put_server,
    received_requests,
    send,
    store_is_lost,
    wait_until,
)

REQUESTS = 12


async def send_many(front, path="/read/a", method="GET", count=REQUESTS):
    """Sends requests for many objects one after another; returns the statuses."""
    statuses = []
    for number in range(count):
        cookie = [f"Cookie: Affinity-Key={number}"]
        reply = await send(front, method, path, rid=f"m{number}", headers=cookie)
        statuses.append(reply.status)
    return statuses


async def hear_of_leaving(platform, front, server_id, path="/read/a", method="GET"):
    """Sends requests until a server has answered that it leaves."""
    server = platform.servers[server_id]
    server.leaving = True
    before = len(server.requests)

    async def has_answered():
        await send_many(front, path, method, count=4)
        return len(server.requests) > before

    await wait_until(has_answered)
    return len(server.requests)


# Guards against requests to a server that only its own answers report as leaving.
@pytest.mark.parametrize("action", ["", "reject", "fail", "stream"])
async def test_server_that_leaves_gets_no_new_request(platform, front, action):
    await add_known_server(platform, front, "i-read-2", "reads")
    platform.servers["i-read-2"].script = dict.fromkeys(range(1, 99), action)
    heard = await hear_of_leaving(platform, front, "i-read-2")
    assert set(await send_many(front)) == {200}
    assert len(received_requests(platform, "i-read-2")) == heard
    assert len(events(front, "server_leaving")) == 1


async def test_server_that_leaves_gets_no_new_booking(platform, front):
    await add_known_server(platform, front, "i-book-2", "books")
    heard = await hear_of_leaving(platform, front, "i-book-2", "/book/a", "POST")
    assert set(await send_many(front, "/book/a", "POST")) == {200}
    assert len(received_requests(platform, "i-book-2")) == heard


# Guards against an entry that is reported again and ends what the server itself said.
async def test_leaving_ends_with_a_new_start_only(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    server = platform.servers["i-read-2"]
    heard = await hear_of_leaving(platform, front, "i-read-2")
    put_server(platform, server, "reads", sequence=2)
    known = events(front, "request_done")[-1]["revision"]

    async def is_reported_again():
        await send_many(front, count=4)
        return events(front, "request_done")[-1]["revision"] > known

    await wait_until(is_reported_again)
    await send_many(front)
    assert len(server.requests) == heard
    server.leaving = False
    put_server(platform, server, "reads", born=2, sequence=3)

    async def is_used_again():
        await send_many(front, count=4)
        return len(server.requests) > heard

    await wait_until(is_used_again)


async def test_leaving_holds_while_the_store_is_down(platform, front):
    await add_known_server(platform, front, "i-read-2", "reads")
    await stop_store(platform.store)
    await wait_until(lambda: store_is_lost(front))
    heard = await hear_of_leaving(platform, front, "i-read-2")
    await asyncio.gather(*(send_many(front) for _ in range(3)))
    assert len(received_requests(platform, "i-read-2")) == heard
