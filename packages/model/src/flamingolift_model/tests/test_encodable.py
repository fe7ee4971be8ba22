"""What a record takes from outside can be encoded for others."""

import msgpack
import pytest
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.encodable import MAX_INT, MAX_UNKNOWN_DEPTH
from flamingolift_model.plan import ServiceLoad
from flamingolift_model.routing import ServiceSpec, WeightedService

GOOD = {"service": "maps", "weight": 1.0}


# Guards against a value that decodes but exceeds the depth of some encoder.
def test_unknown_field_that_is_nested_too_deeply_is_a_fault():
    inner = 0
    for _ in range(MAX_UNKNOWN_DEPTH):
        inner = [inner]
    assert from_plain(WeightedService, GOOD | {"new": inner}).is_ok()
    fault = Fault(ResultCode.POLICY_FIELD, "new: cannot be encoded again")
    for deep in ([inner], {"a": inner}):
        assert from_plain(WeightedService, GOOD | {"new": deep}).error == [fault]


# Guards against integers that only some encoders hold, and against messages that fail
# because of the digits of such a number.
@pytest.mark.parametrize(
    "number", [MAX_INT + 1, 10**400, 1 << 20_000], ids=["64 bits", "float", "text"]
)
def test_integer_beyond_64_bits_is_a_fault(number):
    fields = {"name": "maps", "max_connections": MAX_INT}
    assert msgpack.packb(to_plain(from_plain(ServiceSpec, fields).ok))
    fault = Fault(ResultCode.POLICY_FIELD, "max_connections: must fit in 64 bits")
    for odd in (number, -number):
        faults = from_plain(ServiceSpec, fields | {"max_connections": odd}).error
        assert faults == [fault]
    is_float = number < 10**308
    assert from_plain(WeightedService, GOOD | {"weight": number}).is_ok() == is_float
    assert from_plain(WeightedService, GOOD | {"new": [number]}).is_error()


# Guards against text of JSON that neither a hash nor a message can hold.
@pytest.mark.parametrize(
    "fields",
    [
        {"service": "\ud800"},
        {"service": "a\udfffb"},
        {"new": "\ud800"},
        {"new": [{"\ud800": 1}]},
        {"\ud800": 1},
    ],
)
def test_lone_surrogate_is_a_fault(fields):
    assert from_plain(WeightedService, GOOD | fields).is_error()
    assert from_plain(WeightedService, GOOD | {"service": "Köln \U0001f682"}).is_ok()


# Guards against names that cannot be compared with, or sorted among, other names.
@pytest.mark.parametrize("key", ["\ud800", b"a"])
def test_name_in_a_map_must_be_unicode_text(key):
    fields = {"service": "maps", "demand": {"upland": 1.0}}
    assert from_plain(ServiceLoad, fields).is_ok()
    assert from_plain(ServiceLoad, fields | {"demand": {key: 1.0}}).is_error()
