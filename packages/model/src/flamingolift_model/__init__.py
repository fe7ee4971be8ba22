"""Generated messages, documents, settings and result codes."""

from flamingolift_model.codes import RESULT_CODE_INFO, ResultCode, ResultCodeInfo
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
    "Fault",
    "FaultError",
    "Field",
    "Record",
    "ResultCode",
    "ResultCodeInfo",
    "from_plain",
    "to_plain",
]
