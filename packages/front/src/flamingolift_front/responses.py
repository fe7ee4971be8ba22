"""Responses that the front generates itself: problem documents and plain bodies."""

import json

from flamingolift_model import RESULT_CODE_INFO
from flamingolift_wire.problems import MEDIA_TYPE, problem_body, problem_headers

from flamingolift_front.httpcall import HttpResponse

__all__ = ["binary_response", "json_response", "problem_response", "text_response"]


def _build_response(status, media_type, body, headers=()):
    fields = [(b"Content-Type", media_type)]
    fields += [(name.encode(), value.encode()) for name, value in headers]
    return HttpResponse(status, b"", fields, body, complete=True)


def problem_response(fault):
    """Returns the HttpResponse with the problem document of a Fault.

    Args:
        fault: Fault.
    """
    status = RESULT_CODE_INFO[fault.code].status
    headers = problem_headers(fault, whole_seconds=False)
    return _build_response(status, MEDIA_TYPE.encode(), problem_body(fault), headers)


def json_response(status, value):
    """Returns an HttpResponse with a JSON body."""
    return _build_response(status, b"application/json", json.dumps(value).encode())


def text_response(status, body):
    """Returns an HttpResponse with a plain text body (bytes)."""
    return _build_response(status, b"text/plain; charset=utf-8", body)


def binary_response(status, body):
    """Returns an HttpResponse with a msgpack body (bytes)."""
    return _build_response(status, b"application/msgpack", body)
