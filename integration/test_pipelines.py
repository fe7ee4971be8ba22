"""Requests that are sent before the first answer, to a front of its own process."""

import asyncio
import contextlib
import signal

import pytest
from platformfleet import ANSWER_PREFIX, HOST, events, received_requests, wait_until

WORK_S = 0.3
GRACE_S = 3.0


def request(name, path):
    method = "POST" if path.startswith("/book/") else "GET"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
        f"Deadline-Ms: 2500\r\n\r\n".encode()
    )


async def read_answer(reader):
    """Returns the status, the header fields and the body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(lines[0].split()[1]), fields, body


async def open_pipeline(front, *requests):
    reader, writer = await asyncio.open_connection("127.0.0.1", front.ports["front"])
    writer.write(b"".join(request(*values) for values in requests))
    return reader, writer


async def test_look_ups_run_side_by_side_and_a_booking_at_its_turn(platform, front):
    for server in platform.servers.values():
        server.work_s = WORK_S
    reader, writer = await open_pipeline(
        front, ("q1", "/read/a"), ("q2", "/book/a"), ("q3", "/read/b")
    )
    reads = received_requests(platform, "i-read-1")
    await wait_until(lambda: len(reads) == 2)
    assert not received_requests(platform, "i-book-1")
    answers = [await read_answer(reader) for _ in range(3)]
    writer.close()
    assert [status for status, _fields, _body in answers] == [200] * 3
    names = [fields["request-id"] for _status, fields, _body in answers]
    assert names == ["q1", "q2", "q3"]
    assert all(body.startswith(ANSWER_PREFIX) for _status, _fields, body in answers)
    assert len(received_requests(platform, "i-book-1")) == 1


# Guards against a booking behind look-ups that is dropped in a planned stop, and one
# that runs though its connection closes before its turn.
@pytest.mark.parametrize("kill", [False, True])
async def test_booking_runs_at_most_once_when_the_instance_ends(platform, front, kill):
    for server in platform.servers.values():
        server.work_s = WORK_S
    reader, writer = await open_pipeline(
        front, ("q1", "/read/a"), ("q2", "/read/b"), ("q3", "/book/a")
    )
    reads = received_requests(platform, "i-read-1")
    await wait_until(lambda: len(reads) == 2)
    front.process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
    answers = []
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            answers.append(await read_answer(reader))
    writer.close()
    await asyncio.wait_for(front.process.wait(), 2 * GRACE_S)
    booked = received_requests(platform, "i-book-1")
    if kill:
        assert not booked
    else:
        # All three were read before the signal.
        assert [status for status, _fields, _body in answers] == [200, 200, 200]
        assert answers[2][1]["connection"] == "close"
        assert len(booked) == 1
        assert not events(front, "bytes_unread")
