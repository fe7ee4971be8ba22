"""Messages, documents, settings and result codes, generated from the schema."""

from flamingolift_model.codes import RESULT_CODE_INFO, ResultCode, ResultCodeInfo
from flamingolift_model.conversion import from_plain, to_plain
from flamingolift_model.record import Fault, FaultError, Field, Record

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
