"""Generated messages, documents, settings and result codes."""

from flamingolift_model.codes import RESULT_CODE_INFO, CodeFacts, ResultCode
from flamingolift_model.record import (
    Fault,
    FaultError,
    Field,
    Record,
    from_plain,
    to_plain,
)

__all__ = [
    "RESULT_CODE_INFO",
    "CodeFacts",
    "Fault",
    "FaultError",
    "Field",
    "Record",
    "ResultCode",
    "from_plain",
    "to_plain",
]
