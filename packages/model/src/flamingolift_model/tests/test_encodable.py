"""What a record takes from outside can be encoded for others."""

from flamingolift_model import Fault, ResultCode, from_plain
from flamingolift_model.conversion import MAX_UNKNOWN_DEPTH
from flamingolift_model.routing import WeightedService

GOOD = {"service": "maps", "weight": 1.0}


# Guards against a value that decodes but exceeds the depth of every encoder.
def test_unknown_field_that_is_nested_too_deeply_is_a_fault():
    inner = 0
    for _ in range(MAX_UNKNOWN_DEPTH):
        inner = [inner]
    assert from_plain(WeightedService, GOOD | {"new": inner}).is_ok()
    fault = Fault(ResultCode.POLICY_FIELD, "new: cannot be encoded again")
    for deep in ([inner], {"a": inner}):
        assert from_plain(WeightedService, GOOD | {"new": deep}).error == [fault]
