"""Requests through an instance: complete responses, bounded memory, refusals."""

import asyncio
import hashlib
import json
import socket

import aiohttp
import msgpack
import psutil
import pytest
from flamingolift_standins.backend import file_bytes
from flamingolift_standins.fleet import operator_get, wait_until
from flamingolift_standins.fleetcontrol import backend_reports

pytestmark = pytest.mark.asyncio(loop_scope="module")

DOWNLOAD_BYTES = 200_000_000
MEMORY_GROWTH_BYTES = 24_000_000
IDLE_MEMORY_BYTES = 64_000_000
MB = 1_000_000


def instance_at(fleet, index=0):
    return list(fleet.instances.values())[index]


def resident_bytes(inst):
    return psutil.Process(inst.process.pid).memory_info().rss


def expected_file(size):
    return (file_bytes(0, 65_535) * (size // 65_536 + 1))[:size]


async def get(fleet, path, **options):
    url = instance_at(fleet).url + path
    async with fleet.session.get(url, **options) as resp:
        return resp.status, resp.headers, await resp.read()


async def test_idle_instance_uses_little_memory(fleet):
    sizes = [resident_bytes(inst) for inst in fleet.instances.values()]
    print("idle resident bytes:", sizes)
    assert max(sizes) < IDLE_MEMORY_BYTES


async def test_lookup_gives_the_same_answer_on_every_instance(fleet):
    answers = set()
    for inst in fleet.instances.values():
        url = f"{inst.url}/v1/lookup?service=timetable&client=10.12.7.9"
        async with fleet.session.get(url) as resp:
            assert resp.headers["Cache-Control"].startswith("max-age")
            found = await resp.json()
        answers.add((found["site"], found["instance"], found["origin"]))
    assert len(answers) == 1
    assert answers.pop()[2] == "ashanti"


async def test_get_returns_the_complete_response(fleet):
    status, headers, body = await get(fleet, "/s/timetable/departures%2Fa?q=%20x")
    assert status == 200
    assert len(body) == int(headers["Content-Length"])
    assert json.loads(body)["target"] == "/departures%2Fa?q=%20x"
    assert headers["ETag"] == '"1"'


async def test_head_has_no_body(fleet):
    inst = instance_at(fleet)
    async with fleet.session.head(f"{inst.url}/s/timetable/departures") as resp:
        assert resp.status == 200
        assert await resp.read() == b""
    page = await operator_get(fleet, inst, "/v1/status")
    assert page["in_flight"] == 0


async def test_range_is_passed_on(fleet):
    headers = {"Range": "bytes=100-199"}
    status, headers, body = await get(
        fleet, "/s/route-packs/file/a/1000", headers=headers
    )
    assert status == 206
    assert headers["Content-Range"] == "bytes 100-199/1000"
    assert body == file_bytes(100, 199)


async def test_large_download_does_not_grow_the_memory(fleet):
    inst = instance_at(fleet)
    before = resident_bytes(inst)
    peak, size, digest = before, 0, hashlib.sha256()
    url = f"{inst.url}/s/route-packs/file/pack/{DOWNLOAD_BYTES}"
    async with fleet.session.get(url) as resp:
        async for chunk in resp.content.iter_chunked(MB):
            size += len(chunk)
            digest.update(chunk)
            peak = max(peak, resident_bytes(inst))
    expected = hashlib.sha256(expected_file(DOWNLOAD_BYTES))
    assert size == DOWNLOAD_BYTES
    assert digest.hexdigest() == expected.hexdigest()
    assert peak - before < MEMORY_GROWTH_BYTES


async def test_cut_download_is_resumed_under_a_strong_validator(fleet):
    path = "/s/route-packs/file/cut/3000000?cut_after=1000000"
    status, _, body = await get(fleet, path)
    assert status == 200
    assert body == expected_file(3_000_000)


async def test_hop_by_hop_headers_are_dropped_and_deadline_carried(fleet):
    headers = {
        "Connection": "keep-alive, X-Private",
        "X-Private": "1",
        "X-Kept": "2",
        "Traceparent": "00-" + "a" * 32 + "-" + "b" * 16 + "-01",
        "Request-Deadline-Ms": "1500",
    }
    _, _, body = await get(fleet, "/s/timetable/echo", headers=headers)
    seen = json.loads(body)["headers"]
    assert "X-Private" not in seen
    lowered = {name.lower(): value for name, value in seen.items()}
    assert lowered["x-kept"] == "2"
    assert lowered["traceparent"].startswith("00-")
    assert 0 < int(lowered["request-deadline-ms"]) <= 1500


async def test_disconnect_of_the_caller_cancels_the_backend_request(fleet):
    before = await backend_reports(fleet)
    cancelled = sum(row["cancelled"] for row in before["servers"].values())
    url = instance_at(fleet).url + "/s/timetable/slow?sleep_ms=2000"
    with pytest.raises(asyncio.TimeoutError):
        async with fleet.session.get(url, timeout=aiohttp.ClientTimeout(total=0.3)):
            pass

    async def is_cancelled():
        report = await backend_reports(fleet)
        rows = report["servers"].values()
        return sum(row["cancelled"] for row in rows) > cancelled

    await wait_until(is_cancelled, 1.5, "cancellation")


async def test_unknown_service_and_bad_deadline_are_refused_with_a_result_code(fleet):
    status, headers, body = await get(fleet, "/s/nothing/x")
    assert (status, headers["Result-Code"]) == (400, "1001")
    assert json.loads(body)["outcome"] == "not-run"
    headers = {"Request-Deadline-Ms": "soon"}
    status, headers, _ = await get(fleet, "/s/timetable/x", headers=headers)
    assert (status, headers["Result-Code"]) == (400, "1001")


async def test_huge_header_is_refused_with_a_result_code(fleet):
    inst = instance_at(fleet)
    before = resident_bytes(inst)
    reader, writer = await asyncio.open_connection("127.0.0.1", inst.caller_port)
    writer.write(b"GET /v1/lookup HTTP/1.1\r\nHost: a\r\nX-Big: ")
    answering = asyncio.ensure_future(reader.read(4096))
    sent = 0
    try:
        while sent < 1_000 * MB:
            writer.write(b"a" * MB)
            sent += MB
            await writer.drain()
    except OSError:
        pass
    answer = await answering
    writer.close()
    assert b"result-code: 1002" in answer
    assert resident_bytes(inst) - before < MEMORY_GROWTH_BYTES
    assert (await get(fleet, "/s/timetable/after"))[0] == 200


async def test_oversized_header_gets_a_readable_refusal(fleet):
    inst = instance_at(fleet)
    reader, writer = await asyncio.open_connection("127.0.0.1", inst.caller_port)
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX-Big: " + b"a" * 40_000)
    answer = await asyncio.wait_for(reader.read(4096), 5)
    writer.close()
    assert b"result-code: 1002" in answer


def hello_frame(body):
    return len(body).to_bytes(4, "big") + bytes(16) + body


@pytest.mark.parametrize(
    ("frame", "code"),
    [
        ((2**31).to_bytes(4, "big") + bytes(16), 5102),
        (hello_frame(b"\xdf\xff\xff\xff\xff"), 5102),
        (hello_frame(b"\x91" * 900), 5102),
        (hello_frame(msgpack.packb([99, 0, 0, {}])), 5102),
        (
            hello_frame(
                msgpack.packb(
                    [
                        1,
                        0,
                        0,
                        {
                            "instance_id": "x",
                            "incarnation": 1,
                            "key_id": "k1",
                            "nonce": bytes(16),
                        },
                    ]
                )
            ),
            5101,
        ),
    ],
    ids=["length", "map bomb", "nesting bomb", "tag", "wrong key"],
)
async def test_invalid_peer_frames_are_refused_with_a_result_code(fleet, frame, code):
    inst = instance_at(fleet)
    with socket.create_connection(("127.0.0.1", inst.peer_port), timeout=5) as sock:
        sock.sendall(frame)
        answer = b""
        while chunk := await asyncio.to_thread(sock.recv, 4096):
            answer += chunk
    parts = msgpack.unpackb(answer[20:])
    assert parts[3]["code"] == code
    assert (await get(fleet, "/s/timetable/after"))[0] == 200


async def test_wrong_operator_key_is_refused(fleet):
    inst = instance_at(fleet)
    url = f"http://127.0.0.1:{inst.operator_port}/v1/status"
    for headers in ({}, {"Authorization": "Bearer 00"}):
        async with fleet.session.get(url, headers=headers) as resp:
            assert resp.status == 401
            assert resp.headers["Result-Code"] == "5003"


async def send_head_then_body(inst, head, body=b""):
    """Sends a raw request; returns the bytes read before and after its body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", inst.caller_port)
    writer.write(head)
    interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    writer.write(body)
    rest = await asyncio.wait_for(reader.read(), 5) if body else b""
    writer.close()
    return interim, rest


async def test_continue_is_sent_only_when_the_request_is_accepted(fleet):
    inst = instance_at(fleet)
    common = b"Host: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n"
    head = b"POST /s/timetable/q HTTP/1.1\r\n" + common + b"Connection: close\r\n\r\n"
    interim, rest = await send_head_then_body(inst, head, b"hello")
    assert interim.startswith(b"HTTP/1.1 100")
    assert b"HTTP/1.1 201" in rest
    refused, _ = await send_head_then_body(inst, head.replace(b"timetable", b"nothing"))
    assert refused.startswith(b"HTTP/1.1 400")


async def test_slow_caller_does_not_grow_the_memory(fleet):
    inst = instance_at(fleet)
    before = resident_bytes(inst)
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", inst.caller_port, limit=4096
    )
    path = f"/s/route-packs/file/slow/{DOWNLOAD_BYTES}"
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(1.5)
    assert resident_bytes(inst) - before < MEMORY_GROWTH_BYTES
    writer.transport.abort()
