"""The front's own answers: numbered problems and plain documents."""

import json

from flamingolift_model import RESULT_CODE_INFO
from flamingolift_wire.problems import MEDIA_TYPE, problem_body, problem_headers

from flamingolift_front.httpcall import HttpResponse

__all__ = ["binary_answer", "json_response", "problem_response", "text_answer"]


def _own_answer(status, media_type, body, headers=()):
    fields = [(b"Content-Type", media_type)]
    fields += [(name.encode(), value.encode()) for name, value in headers]
    return HttpResponse(status, b"", fields, body, complete=True)


def problem_response(fault):
    """Returns the HttpResponse that tells a caller of a Fault.

    Args:
        fault: Fault.
    """
    status = RESULT_CODE_INFO[fault.code].status
    headers = problem_headers(fault, whole_seconds=False)
    return _own_answer(status, MEDIA_TYPE.encode(), problem_body(fault), headers)


def json_response(status, value):
    """Returns an HttpResponse with a JSON body."""
    return _own_answer(status, b"application/json", json.dumps(value).encode())


def text_answer(status, body):
    """Returns an HttpResponse with a plain text body (bytes)."""
    return _own_answer(status, b"text/plain; charset=utf-8", body)


def binary_answer(status, body):
    """Returns an HttpResponse with a msgpack body (bytes)."""
    return _own_answer(status, b"application/msgpack", body)
