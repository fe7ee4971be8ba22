"""What values need so that they can be encoded, put into a header field or dialled."""

import functools
import ipaddress

__all__ = [
    "FORMATS",
    "MAX_INT",
    "MAX_UNKNOWN_DEPTH",
    "MIN_INT",
    "is_encodable",
    "is_utf8",
]

MIN_INT = -(2**63)
MAX_INT = 2**64 - 1
"""Largest integer that can be encoded; the smallest is `MIN_INT`."""
MAX_UNKNOWN_DEPTH = 32
"""Limit on the nesting of an unknown field's value, which has to be encoded again."""


# The address of an entry is checked again with each of its reports.
@functools.lru_cache(maxsize=8192)
def _is_address(text):
    """Returns whether a text is a numeric IP address without a zone."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return "%" not in text


def _is_line(text):
    """Returns whether a text can be the value of a header field."""
    return text.isprintable() and text == text.strip()


def is_utf8(value):
    """Returns whether a value is text without lone surrogates, so that it encodes."""
    if not isinstance(value, str):
        return False
    try:
        return value.isascii() or bool(value.encode())
    except UnicodeEncodeError:
        return False


def is_encodable(value, levels):
    """Returns whether a value of an unknown field can be encoded and decoded again."""
    if isinstance(value, (list, dict)):
        parts = value if isinstance(value, list) else [*value, *value.values()]
        return levels > 0 and all(is_encodable(part, levels - 1) for part in parts)
    if isinstance(value, str):
        return is_utf8(value)
    if isinstance(value, int):
        return MIN_INT <= value <= MAX_INT
    return value is None or isinstance(value, (bool, float, bytes))


FORMATS = {
    "address": (_is_address, "must be a numeric IP address"),
    "line": (_is_line, "must be printable, without spaces at its ends"),
}
"""Map of a string's form in the schema to its check and the text of its fault."""
