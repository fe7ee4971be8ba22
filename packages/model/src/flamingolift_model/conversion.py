"""Conversion of records to and from plain values, and their checks.

Plain values are what msgpack and TOML decode to: dicts, lists and scalars.
"""

import copy
import functools
import math
import re
import sys

from expression import Error, Ok, Result

from flamingolift_model.codes import ResultCode
from flamingolift_model.encodable import (
    FORMATS,
    MAX_INT,
    MAX_UNKNOWN_DEPTH,
    MIN_INT,
    is_encodable,
    is_utf8,
)
from flamingolift_model.record import MISSING, Fault, Field, Record

__all__ = ["from_plain", "to_plain"]

MAX_UNKNOWN_FIELDS = 32
"""Limit on the unknown fields that one record carries."""
MAX_DEPTH = 8

_SCALARS = {"int": int, "float": (int, float), "str": str, "bool": bool, "bytes": bytes}
# Types that decoders return; a subclass of one is accepted as well.
_USUAL_TYPES = {"int": int, "float": float, "str": str, "bool": bool, "bytes": bytes}
_SCALAR_TYPES = frozenset((*_USUAL_TYPES.values(), type(None)))
_CONTAINER = re.compile(r"^(list|map)\[(.+)\]$")
_INVALID = object()
"""Result of a check that found faults."""


def to_plain(record):
    """Converts a record to plain values.

    Args:
        record: A Record, or any value made of records, lists, maps and scalars.

    Returns:
        The value with every record replaced by a dict, unknown fields included.
    """
    # Scalars are recognised in place; a call for each would cost more than the rest.
    if isinstance(record, list):
        if not record:
            return []
        return [
            item if type(item) in _SCALAR_TYPES else to_plain(item) for item in record
        ]
    if isinstance(record, Record):
        plain, fields = _plain_layout(type(record))
        plain = plain.copy()
        for name, usual_type in fields:
            item = getattr(record, name)
            if type(item) is not usual_type:
                item = to_plain(item)
            plain[name] = item
        if record.unknown:
            plain.update(record.unknown)
        return plain
    if isinstance(record, dict):
        return {
            key: item if type(item) in _SCALAR_TYPES else to_plain(item)
            for key, item in record.items()
        }
    return record


@functools.cache
def _plain_layout(cls):
    """Returns a dict with all fields, and each name with its usual scalar type."""
    fields = tuple((f.name, _USUAL_TYPES.get(f.type)) for f in cls.FIELDS)
    return dict.fromkeys(name for name, _ in fields), fields


def from_plain(cls, value, strict=False) -> Result:
    """Builds a record from plain values and validates it.

    Args:
        cls: Generated class to build.
        value: Dict of plain values, as a decoder returns it.
        strict: Whether an unknown field is a fault, as in operators' documents.
            Otherwise the record keeps unknown fields, as in messages and stored
            values, which a newer release may have written.

    Returns:
        Ok with the record, or Error with a list of Faults, one for each field
        that is missing, of the wrong type or out of range. Each detail starts
        with the path of the field.
    """
    found = []
    record = _make_record_check(cls)(value, found, strict, 0)
    if record is not _INVALID:
        return Ok(record)
    return Error([_make_fault(path, text) for path, text in found])


def _make_fault(path, text):
    path = path.removeprefix(".") or "document"
    return Fault(ResultCode.POLICY_FIELD, f"{path}: {text}")


# A check is a function (value, found, strict, depth) that returns the value to keep,
# or _INVALID after it added one or more (path, text) to `found`. Paths are relative to
# the checked value; each caller puts its own step before them, so that a value without
# a fault costs no path.


def _prepend_step(found, start, step):
    """Puts a step before the paths from `start` on; returns the number of faults."""
    found[start:] = [(step + path, text) for path, text in found[start:]]
    return len(found)


@functools.cache
def _make_record_check(cls):
    fields = None  # Made at the first use: a class may refer to itself.

    def check_record(value, found, strict, depth):
        nonlocal fields
        if not isinstance(value, dict):
            found.append(("", "must be a table"))
            return _INVALID
        if depth > MAX_DEPTH:
            found.append(("", "is nested too deeply"))
            return _INVALID
        if fields is None:
            fields = _make_field_checks(cls)
        start = end = len(found)
        known = len(fields)
        # Filled in place: the constructor would bind each field by its name again.
        record = cls.__new__(cls)
        for name, usual_type, sized, low, high, check, make_default in fields:
            if name in value:
                item = value[name]
                # Most fields are usual scalars; a call for each would cost more.
                if type(item) is not usual_type or not (
                    low <= (len(item) if sized else item) <= high
                    and (usual_type is not str or item.isascii())
                ):
                    item = check(item, found, strict, depth + 1)
            else:
                known -= 1
                item = make_default(found)
            if item is _INVALID:
                end = _prepend_step(found, end, f".{name}")
            setattr(record, name, item)
        if len(value) == known:
            record.unknown = {}
        else:
            record.unknown = _unknown_fields(cls, value, found, strict)
        return record if len(found) == start else _INVALID

    return check_record


def _make_field_checks(cls):
    """Returns what `check_record` needs of each field, in their order."""
    return tuple(
        (
            field.name,
            None if field.enum or field.format else _USUAL_TYPES.get(field.type),
            field.type in ("str", "bytes"),
            *_bounds(field, field.type),
            _make_check(cls, field, field.type),
            _make_default_function(field),
        )
        for field in cls.FIELDS
    )


def _make_default_function(field):
    """Returns a function of `found` that returns the value of an absent field."""
    default = field.default

    def add_required_fault(found):
        found.append(("", "is required"))
        return _INVALID

    def make_container(found):
        return copy.deepcopy(default) if default else type(default)()

    if isinstance(default, (list, dict)):
        return make_container
    if field.optional:
        return lambda found: None
    return add_required_fault if default is MISSING else lambda found: default


def _unknown_fields(cls, value, found, strict):
    known = {field.name for field in cls.FIELDS}
    unknown = {k: v for k, v in value.items() if k not in known}
    if strict:
        found.extend((f".{name}", "is not a known field") for name in unknown)
    elif len(unknown) > MAX_UNKNOWN_FIELDS:
        found.append(("", "has too many unknown fields"))
    else:
        for name, item in unknown.items():
            if not is_encodable([name, item], MAX_UNKNOWN_DEPTH + 1):
                found.append((f".{name}", "cannot be encoded again"))
    return unknown


def _make_check(cls, field, type_name):
    container = _CONTAINER.match(type_name)
    if container:
        kind, inner = container.groups()
        item_field = Field(field.name, inner, max=field.max if "[" in inner else None)
        make_container = _make_list_check if kind == "list" else _make_map_check
        check = make_container(field, _make_check(cls, item_field, inner))
    elif type_name in cls.REFERENCES:
        check = _make_record_check(cls.REFERENCES[type_name])
    else:
        check = _make_scalar_check(field, type_name)
    return _allow_none(field, check) if field.optional else check


def _allow_none(field, check):
    make_default = _make_default_function(field)

    def check_optional(value, found, strict, depth):
        if value is None:
            return make_default(found)
        return check(value, found, strict, depth)

    return check_optional


def _make_list_check(field, check_item):
    low, high = _bounds(field, field.type)

    def check_list(value, found, strict, depth):
        if not isinstance(value, list):
            found.append(("", "must be a list"))
            return _INVALID
        if not low <= len(value) <= high:
            return _add_range_fault(field, len(value), "has {} entries", found)
        start = end = len(found)
        items = []
        for item in value:
            item = check_item(item, found, strict, depth + 1)
            if item is _INVALID:
                end = _prepend_step(found, end, f"[{len(items)}]")
            items.append(item)
        return items if end == start else _INVALID

    return check_list


def _make_map_check(field, check_item):
    low, high = _bounds(field, field.type)

    def check_map(value, found, strict, depth):
        if not isinstance(value, dict):
            found.append(("", "must be a table"))
            return _INVALID
        if not low <= len(value) <= high:
            return _add_range_fault(field, len(value), "has {} entries", found)
        start = end = len(found)
        items = {}
        for key, item in value.items():
            item = check_item(item, found, strict, depth + 1)
            if item is not _INVALID and not is_utf8(key):
                found.append(("", "must be named by Unicode text"))
                item = _INVALID
            if item is _INVALID:
                end = _prepend_step(found, end, f".{key}")
            items[key] = item
        return items if end == start else _INVALID

    return check_map


def _make_scalar_check(field, type_name):
    """Returns a check that accepts usual values at once and others by each rule."""
    low, high = _bounds(field, type_name)
    usual_type = _USUAL_TYPES[type_name]

    def check_any(value, found, strict, depth):
        return _check_scalar(field, type_name, value, found)

    def check_number(value, found, strict, depth):
        if type(value) is usual_type and low <= value <= high:
            return value
        return _check_scalar(field, type_name, value, found)

    def check_length(value, found, strict, depth):
        is_usual = type(value) is usual_type and low <= len(value) <= high
        if is_usual and (usual_type is bytes or value.isascii()):
            return value
        return _check_scalar(field, type_name, value, found)

    if field.enum or field.format:
        return check_any
    return check_length if type_name in ("str", "bytes") else check_number


def _bounds(field, type_name):
    if type_name == "bool":
        return False, True
    low, high = -math.inf, math.inf
    if type_name == "float":
        low, high = -sys.float_info.max, sys.float_info.max
    elif type_name == "int":
        low, high = MIN_INT, MAX_INT
    low = low if field.min is None else max(field.min, low)
    return low, high if field.max is None else min(field.max, high)


def _to_float(value):
    """Returns an integer or a float as a float, infinity when it is too large."""
    try:
        return float(value)
    except OverflowError:
        return math.inf


def _check_scalar(field, type_name, value, found):
    if not isinstance(value, _SCALARS[type_name]) or (
        isinstance(value, bool) and type_name != "bool"
    ):
        found.append(("", f"must be of type {type_name}"))
        return _INVALID
    if field.enum and value not in field.enum:
        found.append(("", f"must be one of {', '.join(field.enum)}"))
        return _INVALID
    if type_name == "float":
        value = _to_float(value)
        if not math.isfinite(value):
            found.append(("", "must be a finite number"))
            return _INVALID
    elif type_name == "int" and not MIN_INT <= value <= MAX_INT:
        # Its digits are left out: Python limits the length of integers in text.
        found.append(("", "must fit in 64 bits"))
        return _INVALID
    low, high = _bounds(field, type_name)
    if type_name in ("str", "bytes"):
        if not low <= len(value) <= high:
            return _add_range_fault(field, len(value), "has length {}", found)
        if type_name == "str" and not is_utf8(value):
            found.append(("", "must be Unicode text"))
            return _INVALID
        if field.format:
            has_format, text = FORMATS[field.format]
            if not has_format(value):
                found.append(("", text))
                return _INVALID
    elif not low <= value <= high:
        return _add_range_fault(field, value, "is {}", found)
    return value


def _add_range_fault(field, size, phrase, found):
    if field.min is not None and size < field.min:
        bound = f"at least {field.min} is required"
    else:
        bound = f"at most {field.max} is allowed"
    found.append(("", f"{phrase.format(size)}; {bound}"))
    return _INVALID
