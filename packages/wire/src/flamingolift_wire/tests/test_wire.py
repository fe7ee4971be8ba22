"""Frames, keys, idempotency keys and documents against damage and forgery."""

import asyncio

import hypothesis.strategies as st
import msgpack
import pytest
from flamingolift_decisions.bookings import KeyFacts
from flamingolift_model import ResultCode
from flamingolift_model.peer import Acquire, Heartbeat, Hello
from flamingolift_model.plan import LiveList
from flamingolift_wire.codec import (
    decode_document,
    decode_message,
    encode_document,
    encode_message,
)
from flamingolift_wire.frames import FrameState, encode_frame, read_frame
from flamingolift_wire.idempotency import issue_idempotency_key, parse_idempotency_key
from flamingolift_wire.keys import parse_key_ring
from hypothesis import given, settings

RING = parse_key_ring("new:" + "11" * 16 + ",old:" + "22" * 16).ok
KEY = b"k" * 32


def reader_of(data):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return reader


async def test_frames_arrive_in_order_only():
    sending = FrameState(KEY, b"c", 1024)
    first, second = encode_frame(sending, b"one"), encode_frame(sending, b"two")
    receiving = FrameState(KEY, b"c", 1024)
    reader = reader_of(first + second)
    assert (await read_frame(reader, receiving)).ok[0] == b"one"
    assert (await read_frame(reader, receiving)).ok[0] == b"two"
    swapped = reader_of(second + first)
    bad = await read_frame(swapped, FrameState(KEY, b"c", 1024))
    assert bad.error.code == ResultCode.PEER_AUTH


@pytest.mark.parametrize(
    ("key", "direction"), [(b"x" * 32, b"c"), (KEY, b"s")], ids=["key", "direction"]
)
async def test_foreign_and_reflected_frames_are_refused(key, direction):
    frame = encode_frame(FrameState(key, direction, 1024), b"one")
    bad = await read_frame(reader_of(frame), FrameState(KEY, b"c", 1024))
    assert bad.error.code == ResultCode.PEER_AUTH


async def test_length_is_checked_before_the_body_is_read():
    head = (1 << 30).to_bytes(4, "big") + bytes(16)
    bad = await read_frame(reader_of(head), FrameState(KEY, b"c", 1024))
    assert bad.error.code == ResultCode.PEER_FRAME


@given(st.binary(max_size=300))
def test_any_bytes_decode_or_are_refused(data):
    decoded = decode_message(data)
    if decoded.is_error():
        assert decoded.error.code == ResultCode.PEER_FRAME
    document = decode_document(LiveList, data)
    assert document.is_error() or document.ok.number >= 0


plain_values = st.none() | st.integers(-(2**63), 2**63) | st.text()


@given(st.recursive(plain_values, st.lists, max_leaves=20))
@settings(max_examples=50)
def test_any_value_decodes_or_is_refused(value):
    assert decode_message(msgpack.packb([5, 1, 0, value])).is_error()


def test_messages_return_as_they_were():
    message = Acquire(service="timetable", wait_ms=5, hold_ms=10, avoid=["s1"])
    decoded, call_id, reply_to = decode_message(encode_message(message, 7, 3)).ok
    assert (decoded, call_id, reply_to) == (message, 7, 3)


def test_unknown_fields_of_a_newer_release_are_carried_on():
    plain = {"number": 4, "instances": [], "backend_servers": [], "tomorrow": [1]}
    record = decode_document(LiveList, msgpack.packb(plain)).ok
    again = msgpack.unpackb(encode_document(record))
    assert again["tomorrow"] == [1]


def test_out_of_range_fields_are_refused():
    hello = Hello(instance_id="i", incarnation=1, key_id="k", nonce=b"short")
    assert decode_message(encode_message(hello)).is_error()
    beat = Heartbeat(versions={str(n): n for n in range(17)})
    assert decode_message(encode_message(beat)).is_error()


def make_facts():
    return KeyFacts("home", 5, "witness", 6, 1_000.0, "seat-booking")


def test_idempotency_key_says_what_was_put_in():
    facts = parse_idempotency_key(RING, issue_idempotency_key(RING, make_facts())).ok
    assert (facts.home_id, facts.witness_incarnation) == ("home", 6)
    assert facts.service == "seat-booking"


def test_keys_are_distinct_and_verify_after_a_rotation():
    old_ring = parse_key_ring("old:" + "22" * 16).ok
    first, second = (
        issue_idempotency_key(old_ring, make_facts()),
        issue_idempotency_key(old_ring, make_facts()),
    )
    assert first != second
    assert parse_idempotency_key(RING, first).is_ok()
    assert parse_idempotency_key(
        parse_key_ring("new:" + "11" * 16).ok, first
    ).is_error()


@given(st.data())
def test_changed_idempotency_keys_are_refused(data):
    key = issue_idempotency_key(RING, make_facts())
    place = data.draw(st.integers(0, len(key) - 1))
    letter = data.draw(st.sampled_from("ABCxyz019-_="))
    changed = key[:place] + letter + key[place + 1 :]
    if changed != key:
        assert parse_idempotency_key(RING, changed).error.code == ResultCode.KEY_INVALID


@pytest.mark.parametrize("text", ["", "k", "k:zz", "k:11", ":" + "11" * 16])
def test_malformed_key_rings_are_refused_without_showing_them(text):
    refused = parse_key_ring(text)
    assert refused.error.code == ResultCode.SETTING_INVALID
    assert "11" * 16 not in refused.error.detail
