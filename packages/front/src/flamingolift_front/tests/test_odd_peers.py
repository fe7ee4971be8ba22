"""Peers at odd addresses, and peers that send odd messages."""

import asyncio
import contextlib
import math
import time
import urllib.parse

import hypothesis.strategies as st
import msgpack
import pytest
from flamingolift_decisions import serverlimits
from flamingolift_decisions.storeposition import MAX_ERA, make_position
from flamingolift_front import limitgrants, peerlink, peersync, viewsource
from flamingolift_front.internalapi import handle_internal
from flamingolift_front.viewupdates import decode_update, encode_update
from flamingolift_model import to_plain
from flamingolift_model.plan import BackendEntry
from flamingolift_model.viewupdate import PackedChange, PackedUpdate
from frontviews import make_entry, make_front, make_policy
from hypothesis import HealthCheck, example, given, settings

SERVER = BackendEntry(
    server_id="i-1",
    service="reads",
    region="upland",
    failure_domain="d0",
    host="127.0.0.1",
    port=1,
    started_ms=5,
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.sampled_from([0, 1, 65536, 2**63, 10**17, 1e300, math.nan, math.inf, "", "h"])
    | st.floats()
    | st.text(max_size=6)
    | st.binary(max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)
function_fixture = settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture],
    deadline=None,
    derandomize=True,
    max_examples=60,
)
MALFORMED = (ValueError, TypeError, msgpack.UnpackException)
"""Exceptions that a link turns into a PeerError."""


# Guards against an address whose connect raises in the task that keeps the view.
@pytest.mark.parametrize(
    "address", [("127.0.0.1", 70_000), ("127.0.0.1", -1), ("\ud800", 80), ("a\nb", 80)]
)
async def test_peer_that_cannot_be_dialled_fails_as_a_peer(address):
    link = peerlink.PeerLink(address)
    with pytest.raises(peerlink.PeerError):
        await peersync.fetch_update(make_front(), link, 0.0)


# Guards against a request that cannot be written because of the peer's name.
async def test_peer_whose_name_is_no_header_value_fails_as_a_peer():
    async def serve(reader, _writer):
        await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = peerlink.PeerLink(server.sockets[0].getsockname()[:2])
    await peerlink.open_link(link)
    link.address = ("a\nb", link.address[1])
    with pytest.raises(peerlink.PeerError):
        await peersync.fetch_update(make_front(), link, 0.0)
    server.close()


# Guards against a seed that makes the task which asks peers fail each time.
def test_seed_without_a_port_is_skipped():
    seeds = ["h:70000", "h:0", "h:" + "9" * 5000, "h:٣", "h", ""]
    assert viewsource._pick_peer(make_front(peer_seeds=seeds)) is None
    front = make_front(peer_seeds=[*seeds, "10.0.0.9:81"])
    assert viewsource._pick_peer(front) == ("10.0.0.9", 81)


def pack_update(documents, **fields):
    """Returns an update with changes whose documents are plain values."""
    rows = [
        to_plain(
            PackedChange(
                key=key, kind=kind, revision=revision, body=msgpack.packb(document)
            )
        )
        for key, kind, revision, document in documents
    ]
    update = PackedUpdate(revision=12, changes=msgpack.packb(rows))
    return msgpack.packb({**to_plain(update), **fields})


def apply(front, data):
    """Applies a peer's update; returns whether it was accepted."""
    try:
        update = decode_update(data, front.view.revision)
    except MALFORMED:
        return False
    return peersync.apply_update(front, update, "peer")


KINDS = {
    "policy": to_plain(make_policy(4, 2)),
    "instances/front-1": to_plain(make_entry(1)),
    "servers/i-1": to_plain(SERVER),
    "evacuations/d1": {"failure_domain": "d1", "reason": "r"},
}
CLASSES = dict(
    zip(
        KINDS,
        ("RoutingPolicy", "InstanceEntry", "BackendEntry", "Evacuation"),
        strict=True,
    )
)


# Guards against one document that makes a peer refuse the whole view, at each poll.
@function_fixture
@given(st.sampled_from([(k, f) for k, d in KINDS.items() for f in d]), VALUES)
async def test_odd_document_hides_no_other(new_front, place, value):
    key, field = place
    documents = KINDS | {key: KINDS[key] | {field: value}}
    good = make_entry(2)
    for is_snapshot in (False, True):
        front = new_front()
        changes = [(k, CLASSES[k], 11, d) for k, d in documents.items()]
        last = ("instances/front-2", "InstanceEntry", 12, to_plain(good))
        assert apply(front, pack_update([*changes, last], is_snapshot=is_snapshot))
        assert front.view.documents["instances/front-2"] == good
        whole = decode_update(encode_update(front.view, -1, 0), None)
        assert {c.key: c.document for c in whole.changes} == front.view.documents
        assert whole.malformed == []


async def test_odd_document_is_handled_like_an_odd_item_of_the_store(new_front, change):
    good = {"policy": make_policy(3, 2), "servers/i-1": SERVER}
    changes = [change(key, document, 10) for key, document in good.items()]
    odd = [
        ("policy", "RoutingPolicy", 11, {}),
        ("servers/i-1", "BackendEntry", 11, {"host": "h"}),
        ("new", "ClassOfALaterRelease", 12, {}),
    ]
    for is_snapshot in (False, True):
        front = new_front(changes)
        data = pack_update(odd, is_snapshot=is_snapshot)
        update = decode_update(data, 10)
        assert [row[:2] for row in update.malformed] == [
            ("policy", 11),
            ("servers/i-1", 11),
            ("new", 12),
        ]
        assert apply(front, data)
        assert front.view.documents == {"policy": good["policy"]}


# Guards against updates that raise what a link does not expect, and against a revision
# beyond all positions, after which nothing would be newer.
@function_fixture
@given(st.sampled_from([f.name for f in PackedUpdate.FIELDS]), VALUES, st.booleans())
@example("revision", 10**18, True)
async def test_any_update_is_refused_or_applied(new_front, name, value, is_snapshot):
    front = new_front()
    fields = {"is_snapshot": is_snapshot, name: value}
    assert apply(front, pack_update([], **fields)) in (False, True)
    assert front.view.revision <= make_position(MAX_ERA, 10**12 - 1)
    for data in (value, [value], {"revision": 11, "changes": msgpack.packb(value)}):
        apply(new_front(), msgpack.packb(data))


@given(st.binary(max_size=80))
@example(b"\x91" * 100_000)
@example(b"\x81\xa1a" * 2_000)
@example(b"\xc7\x00\xff")
def test_any_bytes_are_refused_as_an_update(data):
    with contextlib.suppress(*MALFORMED):
        decode_update(data, 10)


async def start_grantor(reply):
    """Returns a server that gives one reply to each question, and its port."""
    body = msgpack.packb(reply)

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def limited_front(new_front, change, port=2):
    documents = {"servers/i-1": SERVER, "instances/front-1": make_entry(1, port)}
    front = new_front([change(key, doc, 1) for key, doc in documents.items()])
    backend = front.view.backends.backends["i-1"]
    backend.limit = serverlimits.ServerLimit(5.0, time.monotonic())
    return front, backend


REPLIES = {"coordinates": True, "granted": False, "wait_ms": 5.0, "per_s": 4.0}
REPLIES["age_ms"] = 0.0


# Guards against a reply after which each question is malformed, or a server is withheld
# for ever.
@function_fixture
@given(st.sampled_from(list(REPLIES)), VALUES)
@example("per_s", 1e300)
@example("age_ms", 1e300)
@example("wait_ms", 1e300)
async def test_any_reply_of_a_grantor_leaves_the_server_usable(
    new_front, change, name, value
):
    server, port = await start_grantor(REPLIES | {name: value})
    front, backend = limited_front(new_front, change, port)
    entry = front.view.instances["front-1"]
    source, wait_s = await limitgrants._ask_grantors(front, backend)
    assert source in ("front-1", "")
    assert 0.0 <= wait_s <= limitgrants.MAX_GRANT_WAIT_S
    query = {}
    original = peerlink.open_get

    def record(link, target):
        query.update(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        return original(link, target)

    with pytest.MonkeyPatch.context() as patch, contextlib.suppress(peerlink.PeerError):
        patch.setattr(peerlink, "open_get", record)
        await limitgrants._ask(front, entry, backend, take=False)
    other, _backend = limited_front(new_front, change)
    assert (await limitgrants.serve_grant(other, query)).status == 200
    server.close()
    for idle in front.grant_links.values():
        for link in idle:
            peerlink.close_link(link)


# Guards against a question that raises, or that makes the reply malformed.
@function_fixture
@given(
    st.dictionaries(
        st.sampled_from(["server", "started", "limit", "age_ms", "take"]),
        st.text(max_size=6)
        | st.sampled_from(["i-1", "5", "1", "9" * 18, "9" * 5000, "1e9", "9" * 15])
        | st.sampled_from(["٣", "-1", "nan", "inf", "\ud800", "0.5"]),
    )
)
async def test_any_question_for_a_grant_is_answered(new_front, change, query):
    front, backend = limited_front(new_front, change)
    for question in (query, {"server": "i-1", "started": "5", "age_ms": "0"} | query):
        response = await limitgrants.serve_grant(front, question)
        assert response.status in (200, 400)
        assert 0.0 <= (backend.limit.per_s or 0.0) <= serverlimits.MAX_LIMIT_PER_S
        if response.status == 200:
            reply = msgpack.unpackb(response.body)
            assert reply["per_s"] <= serverlimits.MAX_LIMIT_PER_S
            assert reply["age_ms"] <= limitgrants.MAX_AGE_MS


# Guards against targets that end the connection without a response.
@function_fixture
@given(st.text(max_size=12))
@example("//[")
@example("/view?after=٣&wait_ms=" + "9" * 5000)
@example("/view?after=" + "9" * 18 + "&max_bytes=" + "9" * 18)
async def test_any_target_is_answered(new_front, target):
    front = new_front()
    for prefix in ("", "/view?after=", "/grant?", "/grant?server=i-1&age_ms="):
        response = await handle_internal(front, prefix + target)
        assert response.status in (200, 400, 404)
