"""How tests read the log of a process that is writing to it."""

import json

import pytest
from flamingolift_standins.eventlog import read_event_log
from platformfleet import FrontProcess, events, read_log

FIRST = b'{"event": "policy_in_force", "policy": 1}\n'
SECOND = '{"event": "policy_in_force", "zone": "súð"}\n'.encode()


@pytest.mark.parametrize("size", range(len(SECOND) + 1))
def test_line_that_is_being_written_is_left_out(tmp_path, size):
    path = tmp_path / "front.log"
    path.write_bytes(FIRST + SECOND[:size])
    front = FrontProcess("front", {}, None, path, None)
    expected = [json.loads(FIRST)]
    if size == len(SECOND):
        expected.append(json.loads(SECOND))
    assert read_log(front) == expected
    assert events(front, "policy_in_force") == expected


def test_empty_log_has_no_events(tmp_path):
    path = tmp_path / "front.log"
    path.touch()
    assert read_event_log(path) == read_event_log(path, "policy_in_force") == []


def test_complete_line_that_is_not_json_is_an_error(tmp_path):
    path = tmp_path / "front.log"
    path.write_bytes(FIRST + b"Traceback\n" + FIRST)
    with pytest.raises(json.JSONDecodeError):
        read_event_log(path)
