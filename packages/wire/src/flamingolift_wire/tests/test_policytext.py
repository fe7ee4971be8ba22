"""Shipped policies are valid; each fault in a policy has its line and code."""

import pathlib
import re

import hypothesis.strategies as st
import pytest
from flamingolift_decisions.policyrules import compile_policy, rules_for
from flamingolift_model.policy import Policy
from flamingolift_wire.codec import decode_document, encode_document
from flamingolift_wire.policytext import parse_policy
from hypothesis import example, given

POLICIES = pathlib.Path(__file__).parents[5] / "policies"
RAIL = (POLICIES / "rail.toml").read_text()
EXCEPTION = """
[[exceptions]]
name = "{name}"
reason = "A reason that can be read to a caller."
match = {{ {match} }}
change = {{ {change} }}
"""


def faults_of(text):
    return [(item.line, item.fault.code.value) for item in parse_policy(text).error]


def with_exception(match, change, name="extra"):
    return RAIL + EXCEPTION.format(name=name, match=match, change=change)


@pytest.mark.parametrize("name", ["rail.toml", "cooperative.toml"])
def test_shipped_policies_are_valid(name):
    assert parse_policy((POLICIES / name).read_text()).is_ok()


def test_exception_changes_only_what_it_matches():
    compiled = compile_policy(parse_policy(RAIL).ok, 1, [])
    school = rules_for(compiled, "timetable", "10.12.40.0/24", "ashanti", 0.0)
    other = rules_for(compiled, "timetable", "10.12.41.0/24", "ashanti", 0.0)
    assert (school.deadline_ms, school.exception.name) == (6000, "schools-week")
    assert (other.deadline_ms, other.exception) == (3000, None)


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("x = [", 4001),
        (RAIL.replace('reason = "During', 'reasons = "During'), 4002),
        (RAIL.replace("10.12.0.0/16", "10.11.0.0/16"), 4004),
        (RAIL.replace("10.12.0.0/16", "10.12.0.0/30"), 4002),
        (RAIL.replace("cap = 0.10", "cap = 0.01"), 4005),
        (RAIL.replace("queue_ms = 500\n", "queue_ms = 5000\n", 1), 4005),
        (with_exception('region = "nowhere"', "drain = true"), 4003),
        (with_exception('service = "timetable"', "deadline_ms = 0"), 4004),
        (with_exception('backend_server = "s"', "deadline_ms = 5"), 4004),
        (with_exception('service = "timetable"', "weights = { a = 0.0 }"), 4005),
        (
            with_exception(
                'not_before = "2026-01-02T00:00:00+00:00", '
                'not_after = "2026-01-01T00:00:00+00:00"',
                "drain = true",
            ),
            4004,
        ),
        (with_exception('not_before = "2026-01-02T00:00:00"', "drain = true"), 4002),
        (
            with_exception(
                'block = "10.12.40.0/24", service = "timetable"', "deadline_ms = 9"
            ),
            4004,
        ),
    ],
)
def test_invalid_policies_are_rejected_with_code(text, code):
    assert code in {found for _, found in faults_of(text)}


def test_fault_has_the_line_of_its_field():
    text = RAIL.replace('block = "10.12.40.0/24"', 'block = "10.12.40.0/99"')
    line = next(n for n, row in enumerate(text.splitlines(), 1) if "/99" in row)
    assert faults_of(text) == [(line, 4002)]


def test_all_faults_are_reported_at_once():
    text = RAIL.replace("cap = 0.10", "cap = 9.0").replace("slots = 6", "slots = 0")
    assert len(faults_of(text)) == 2


FIGURE = st.sampled_from(
    ["9" * 5000, "0x" + "f" * 5000, "1e999", "nan", "-inf", "-1", str(2**64), "0b1"]
)
WORDS = FIGURE | st.sampled_from(
    [
        *("[" * 3000, "{ a = " * 3000, "2026-99-99", "99:99:99", '"\\ud800"'),
        *('"\ud800"', "true", "''", "[]", "{}", "[[]]", '"٣"', "\x00"),
    ]
)
VALUE = re.compile(r"= *([^\n{\[]+)")


# Guards against a policy file that ends the command which should report its faults.
@given(st.integers(0, len(VALUE.findall(RAIL)) - 1), WORDS | st.text(max_size=12))
@example(0, "9" * 5000)
@example(0, "0x" + "f" * 5000)
@example(1, "[" * 3000)
@example(1, '"\ud800"')
def test_any_value_in_a_policy_gives_the_policy_or_faults(place, word):
    match = list(VALUE.finditer(RAIL))[place]
    text = RAIL[: match.start(1)] + word + RAIL[match.end(1) :]
    for document in (text, word, RAIL + word):
        read = parse_policy(document)
        if read.is_ok():
            assert decode_document(Policy, encode_document(read.ok)).ok == read.ok
        else:
            assert all(f.line >= 1 and f.fault.detail for f in read.error)
