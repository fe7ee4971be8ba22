"""Policies: the shipped ones, and the place and code of each fault."""

import pathlib

import pytest
from flamingolift_decisions.policyrules import compile_policy, rules_for
from flamingolift_wire.policytext import parse_policy

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
def test_shipped_policies_are_sound(name):
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
def test_faulty_policies_are_refused_by_code(text, code):
    assert code in {found for _, found in faults_of(text)}


def test_line_is_that_of_the_field():
    text = RAIL.replace('block = "10.12.40.0/24"', 'block = "10.12.40.0/99"')
    line = next(n for n, row in enumerate(text.splitlines(), 1) if "/99" in row)
    assert faults_of(text) == [(line, 4002)]


def test_all_faults_are_told_at_once():
    text = RAIL.replace("cap = 0.10", "cap = 9.0").replace("slots = 6", "slots = 0")
    assert len(faults_of(text)) == 2
