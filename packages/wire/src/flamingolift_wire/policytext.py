"""Policy documents as TOML text, with the line of each fault."""

import re
import tomllib

from expression import Error, Ok, Result
from flamingolift_decisions.policycheck import check_policy
from flamingolift_model import Fault, ResultCode, from_plain
from flamingolift_model.policy import Policy

__all__ = ["MAX_POLICY_BYTES", "TextFault", "parse_policy"]

MAX_POLICY_BYTES = 262_144

_SYNTAX_LINE = re.compile(r"at line (\d+)")
_HEADER = re.compile(r"^\s*\[(\[?)([^\[\]]+)\]?\]")
_ASSIGNMENT = re.compile(r"^\s*([A-Za-z0-9_-]+)\s*(?:\.|=)")
_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")


class TextFault:
    """A fault in a policy text with its place.

    Attributes:
        line: Line number, counted from 1.
        fault: Fault.
    """

    __slots__ = ("fault", "line")

    def __init__(self, line, fault):
        self.line = line
        self.fault = fault


def parse_policy(text) -> Result:
    """Reads and checks a policy document.

    Args:
        text: TOML text.

    Returns:
        Ok with the Policy, or Error with the list of all TextFaults.
    """
    if len(text.encode()) > MAX_POLICY_BYTES:
        detail = f"the document exceeds {MAX_POLICY_BYTES} bytes"
        return Error([TextFault(1, Fault(ResultCode.TOO_LARGE, detail))])
    try:
        plain = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        found = _SYNTAX_LINE.search(str(exc))
        line = int(found.group(1)) if found else text.count("\n") + 1
        return Error([TextFault(line, Fault(ResultCode.POLICY_SYNTAX, str(exc)))])
    built = from_plain(Policy, plain, strict=True)
    if built.is_error():
        places = [(f.detail.partition(":")[0], f) for f in built.error]
    else:
        places = check_policy(built.ok)
    if not places:
        return Ok(built.ok)
    lines = _index_lines(text)
    return Error([TextFault(_line_of(lines, path), fault) for path, fault in places])


def _index_lines(text):
    """Returns a map of field path to line number for the usual TOML layout."""
    lines = {}
    counts = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            prefix = _enter_table(
                counts, header.group(2).strip(), bool(header.group(1))
            )
            lines.setdefault(prefix, number)
            continue
        assignment = _ASSIGNMENT.match(line)
        if assignment:
            name = assignment.group(1)
            lines.setdefault(f"{prefix}.{name}" if prefix else name, number)
    return lines


def _enter_table(counts, name, is_array):
    """Returns the path of a table header, with the index of an array's table."""
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


def _line_of(lines, path):
    """Returns the line of a path, or of the nearest enclosing table."""
    steps = [f"[{index}]" if index else name for name, index in _STEP.findall(path)]
    while steps:
        joined = steps[0] + "".join(
            step if step.startswith("[") else f".{step}" for step in steps[1:]
        )
        if joined in lines:
            return lines[joined]
        steps.pop()
    return 1
