"""Tests that `KNOWN-RED.txt` names: a run prints their failures and passes over them."""

__all__ = ["read_known_red"]

_FIELD = "test: "


def read_known_red(text):
    r"""Reads the ids of the tests that are listed as known to fail.

    Args:
        text: Content of the list. An entry begins with a line "test: ID", where the id
            is that of one test, parameters included.

    Returns:
        Set of ids. An entry that names no single test has no effect on a run.

    Examples:
        >>> sorted(read_known_red("test: a/test_b.py::test_c[1]\n  seen: once\n"))
        ['a/test_b.py::test_c[1]']
    """
    lines = (line for line in text.splitlines() if line.startswith(_FIELD))
    named = (line.removeprefix(_FIELD).strip() for line in lines)
    return {name for name in named if "::" in name and " " not in name}
