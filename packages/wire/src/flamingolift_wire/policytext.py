"""Parses policy documents from TOML text and finds the line of each fault."""

import re
import tomllib

from expression import Error, Ok, Result
from flamingolift_decisions.policycheck import check_policy
from flamingolift_model import Fault, ResultCode, from_plain
from flamingolift_model.policy import Policy

__all__ = ["MAX_POLICY_BYTES", "TextFault", "parse_policy"]

MAX_POLICY_BYTES = 262_144
"""Size limit of a policy document (bytes)."""

_SYNTAX_LINE = re.compile(r"at line (\d+)")
_TABLE_HEADER = re.compile(r"^\s*\[(\[?)([^\[\]]+)\]?\]")
_ASSIGNMENT = re.compile(r"^\s*([A-Za-z0-9_-]+)\s*(?:\.|=)")
_PATH_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


class TextFault:
    """A fault in a policy text, with its line.

    Attributes:
        line: Line number, counted from 1.
        fault: Fault.
    """

    __slots__ = ("fault", "line")

    def __init__(self, line, fault):
        self.line = line
        self.fault = fault


def parse_policy(text) -> Result:
    """Parses and checks a policy document.

    Args:
        text: TOML text.

    Returns:
        Ok with the Policy, or Error with the list of all TextFaults.
    """
    if len(text.encode(errors="replace")) > MAX_POLICY_BYTES:
        detail = f"the document exceeds {MAX_POLICY_BYTES} bytes"
        return Error([TextFault(1, Fault(ResultCode.TOO_LARGE, detail))])
    try:
        plain = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        # `int` and the date types raise a plain ValueError.
        found = _SYNTAX_LINE.search(str(exc))
        line = int(found.group(1)) if found else text.count("\n") + 1
        return Error([TextFault(line, Fault(ResultCode.POLICY_SYNTAX, str(exc)))])
    built = from_plain(Policy, plain, strict=True)
    if built.is_error():
        faults_by_path = [(f.detail.partition(":")[0], f) for f in built.error]
    else:
        faults_by_path = check_policy(built.ok)
    if not faults_by_path:
        return Ok(built.ok)
    lines = _index_lines(text)
    return Error(
        [TextFault(_find_line(lines, path), fault) for path, fault in faults_by_path]
    )


def _index_lines(text):
    """Returns a map of field path to line number.

    Only table headers and assignments that start a line are recognized; a field
    of an inline table has no entry of its own.
    """
    lines = {}
    counts = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TABLE_HEADER.match(line)
        if header:
            prefix = _table_path(counts, header.group(2).strip(), bool(header.group(1)))
            lines.setdefault(prefix, number)
            continue
        assignment = _ASSIGNMENT.match(line)
        if assignment:
            name = assignment.group(1)
            lines.setdefault(f"{prefix}.{name}" if prefix else name, number)
    return lines


def _table_path(counts, name, is_array):
    """Returns the path that a table header names, with indexes into arrays.

    Args:
        counts: Map of the path of each array of tables to its last index; updated.
        name: Dotted name in the header.
        is_array: Whether the header starts an item of an array of tables.
    """
    parts = []
    names = [part.strip() for part in name.split(".")]
    for depth, part in enumerate(names):
        parts.append(part)
        path = ".".join(parts)
        if is_array and depth == len(names) - 1:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            parts[-1] = f"{part}[{counts[path]}]"
    return ".".join(parts)


def _find_line(lines, path):
    """Returns the line of a path, or of the nearest enclosing table."""
    steps = [
        f"[{index}]" if index else name for name, index in _PATH_STEP.findall(path)
    ]
    while steps:
        joined = steps[0] + "".join(
            step if step.startswith("[") else f".{step}" for step in steps[1:]
        )
        if joined in lines:
            return lines[joined]
        steps.pop()
    return 1
