"""Base of the generated classes, and the faults of their conversion."""

from flamingolift_model.codes import ResultCode

__all__ = ["MISSING", "Fault", "FaultError", "Field", "Record"]

MISSING = object()
"""Default of a required field."""


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
        format: Name of the form that a string must have (`encodable.FORMATS`); empty
            for any.
        optional: Whether None is allowed.
        secret: Whether the value is left out of `repr`.
    """

    __slots__ = (
        "default",
        "enum",
        "format",
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
        format="",
    ):
        self.name = name
        self.type = type
        self.default = default
        self.min = min
        self.max = max
        self.enum = enum
        self.optional = optional
        self.secret = secret
        self.format = format


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
