"""Generated messages, documents, settings and result codes."""

from flamingolift_model.codes import CODE_FACTS, CodeFacts, ResultCode
from flamingolift_model.record import (
    Fault,
    FaultError,
    Field,
    Record,
    from_plain,
    to_plain,
)

__all__ = [
    "CODE_FACTS",
    "CodeFacts",
    "Fault",
    "FaultError",
    "Field",
    "Record",
    "ResultCode",
    "from_plain",
    "to_plain",
]
