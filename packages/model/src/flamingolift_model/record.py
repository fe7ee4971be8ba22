"""Base of the generated classes, and their conversion to and from plain values.

Plain values are what msgpack and TOML decode to: dicts, lists and scalars.
"""

import re

from expression import Error, Ok, Result

from flamingolift_model.codes import ResultCode

__all__ = [
    "MISSING",
    "Fault",
    "FaultError",
    "Field",
    "Record",
    "from_plain",
    "to_plain",
]

MAX_UNKNOWN_FIELDS = 32
"""Limit on the unknown fields that one record carries."""
MAX_DEPTH = 8

MISSING = object()
"""Default of a required field."""

_SCALARS = {"int": int, "float": (int, float), "str": str, "bool": bool, "bytes": bytes}
_CONTAINER = re.compile(r"^(list|map)\[(.+)\]$")


class Fault:
    """A numbered fault, returned as the error of a Result.

    Attributes:
        code: ResultCode of the fault.
        detail: Description of this occurrence.
        retry_after_ms: Delay after which a retry is useful (ms); 0 when not
            applicable.
    """

    __slots__ = ("code", "detail", "retry_after_ms")

    def __init__(self, code, detail="", retry_after_ms=0):
        self.code = ResultCode(code)
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def __repr__(self):
        return f"Fault({self.code.name}, {self.detail!r})"

    def __eq__(self, other):
        return (
            isinstance(other, Fault)
            and self.code == other.code
            and self.detail == other.detail
        )

    __hash__ = None


class FaultError(Exception):
    """Carries a Fault through code that signals errors by exceptions.

    Attributes:
        fault: The Fault.
    """

    def __init__(self, fault):
        super().__init__(f"{fault.code.value} {fault.code.name}: {fault.detail}")
        self.fault = fault


class Field:
    """Type, default and bounds of one field of a generated class.

    Attributes:
        name: Field name.
        type: Type in the schema's notation, for example ``list[str]``.
        default: Default value, or MISSING for a required field.
        min: Smallest value, or smallest length of a string, bytes or container;
            None for no bound.
        max: Largest value or length; None for no bound.
        enum: Allowed values; empty for any.
        optional: Whether None is allowed.
        secret: Whether the value is left out of `repr`.
    """

    __slots__ = (
        "default",
        "enum",
        "max",
        "min",
        "name",
        "optional",
        "secret",
        "type",
    )

    def __init__(
        self,
        name,
        type,
        default=MISSING,
        min=None,
        max=None,
        enum=(),
        optional=False,
        secret=False,
    ):
        self.name = name
        self.type = type
        self.default = default
        self.min = min
        self.max = max
        self.enum = enum
        self.optional = optional
        self.secret = secret


class Record:
    """Base of the generated slotted classes.

    Fields that this release does not know are kept in `unknown` and encoded again,
    so that an older release does not drop fields that a newer one added.
    """

    __slots__ = ("unknown",)
    FIELDS = ()
    REFERENCES = {}

    def __init__(self):
        self.unknown = {}

    def __eq__(self, other):
        return type(self) is type(other) and all(
            getattr(self, f.name) == getattr(other, f.name) for f in self.FIELDS
        )

    __hash__ = None

    def __repr__(self):
        shown = (f for f in self.FIELDS if not f.secret)
        values = ", ".join(f"{f.name}={getattr(self, f.name)!r}" for f in shown)
        return f"{type(self).__name__}({values})"


def to_plain(record):
    """Converts a record to plain values.

    Args:
        record: A Record, or any value made of records, lists, maps and scalars.

    Returns:
        The value with every record replaced by a dict, unknown fields included.
    """
    if isinstance(record, Record):
        plain = {f.name: to_plain(getattr(record, f.name)) for f in record.FIELDS}
        plain.update(record.unknown)
        return plain
    if isinstance(record, list):
        return [to_plain(item) for item in record]
    if isinstance(record, dict):
        return {key: to_plain(item) for key, item in record.items()}
    return record


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
    faults = []
    record = _build(cls, value, "", strict, faults, 0)
    return Error(faults) if faults else Ok(record)


def _add_fault(faults, path, text):
    faults.append(Fault(ResultCode.POLICY_FIELD, f"{path or 'document'}: {text}"))


def _build(cls, value, path, strict, faults, depth):
    if not isinstance(value, dict):
        _add_fault(faults, path, "must be a table")
        return None
    if depth > MAX_DEPTH:
        _add_fault(faults, path, "is nested too deeply")
        return None
    faults_before = len(faults)
    arguments = {}
    for field in cls.FIELDS:
        field_path = f"{path}.{field.name}" if path else field.name
        if field.name in value:
            item = value[field.name]
            arguments[field.name] = _check(
                cls, field, field.type, item, field_path, strict, faults, depth
            )
        elif field.default is MISSING and not field.optional:
            _add_fault(faults, field_path, "is required")
    unknown = _unknown_fields(cls, value, path, strict, faults)
    if len(faults) > faults_before:
        return None
    record = cls(**arguments)
    record.unknown = unknown
    return record


def _unknown_fields(cls, value, path, strict, faults):
    known = {field.name for field in cls.FIELDS}
    unknown = {k: v for k, v in value.items() if k not in known}
    if strict:
        for name in unknown:
            field_path = f"{path}.{name}" if path else str(name)
            _add_fault(faults, field_path, "is not a known field")
    elif len(unknown) > MAX_UNKNOWN_FIELDS:
        _add_fault(faults, path, "has too many unknown fields")
    return unknown


def _check(cls, field, type_name, value, path, strict, faults, depth):
    if value is None and field.optional:
        return None
    container = _CONTAINER.match(type_name)
    if container:
        return _check_container(
            cls, field, container, value, path, strict, faults, depth
        )
    if type_name in cls.REFERENCES:
        target = cls.REFERENCES[type_name]
        return _build(target, value, path, strict, faults, depth + 1)
    return _check_scalar(field, type_name, value, path, faults)


def _check_container(cls, field, container, value, path, strict, faults, depth):
    kind, inner = container.groups()
    expected = list if kind == "list" else dict
    if not isinstance(value, expected):
        _add_fault(faults, path, f"must be a {'list' if kind == 'list' else 'table'}")
        return None
    if not _in_range(field, len(value), path, "has {} entries", faults):
        return None
    item_field = Field(field.name, inner, max=field.max if "[" in inner else None)
    if kind == "list":
        return [
            _check(
                cls, item_field, inner, item, f"{path}[{i}]", strict, faults, depth + 1
            )
            for i, item in enumerate(value)
        ]
    return {
        key: _check(
            cls, item_field, inner, item, f"{path}.{key}", strict, faults, depth + 1
        )
        for key, item in value.items()
    }


def _check_scalar(field, type_name, value, path, faults):
    expected = _SCALARS[type_name]
    if not isinstance(value, expected) or (
        isinstance(value, bool) and type_name != "bool"
    ):
        _add_fault(faults, path, f"must be of type {type_name}")
        return None
    if field.enum and value not in field.enum:
        _add_fault(faults, path, f"must be one of {', '.join(field.enum)}")
        return None
    if type_name in ("str", "bytes"):
        ok = _in_range(field, len(value), path, "has length {}", faults)
        return value if ok else None
    if type_name == "float":
        value = float(value)
        if value != value or value in (float("inf"), float("-inf")):
            _add_fault(faults, path, "must be a finite number")
            return None
    if type_name == "bool":
        return value
    return value if _in_range(field, value, path, "is {}", faults) else None


def _in_range(field, size, path, phrase, faults):
    if field.min is not None and size < field.min:
        _add_fault(
            faults, path, f"{phrase.format(size)}; at least {field.min} is required"
        )
        return False
    if field.max is not None and size > field.max:
        _add_fault(
            faults, path, f"{phrase.format(size)}; at most {field.max} is allowed"
        )
        return False
    return True
