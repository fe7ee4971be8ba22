"""Problem Details (RFC 9457) for a Fault, with its result code."""

import json

from flamingolift_model import RESULT_CODE_INFO

__all__ = ["MEDIA_TYPE", "REQUEST_OUTCOMES", "problem_body", "problem_headers"]

REQUEST_OUTCOMES = {"no": "not-run", "yes": "run", "unknown": "unknown", "n/a": "none"}
"""Map of a result code's `ran` to the value of the Request-Outcome header."""
MEDIA_TYPE = "application/problem+json"


def problem_body(fault):
    """Returns the JSON body (bytes) for a Fault."""
    info = RESULT_CODE_INFO[fault.code]
    body = {
        "type": f"urn:flamingolift:result:{fault.code.value}",
        "title": info.text,
        "status": info.status,
        "detail": fault.detail,
        "code": fault.code.value,
        "name": fault.code.name,
        "outcome": REQUEST_OUTCOMES[info.ran],
    }
    return json.dumps(body).encode()


def problem_headers(fault, whole_seconds=True):
    """Returns the header fields for a Fault as a list of (name, value).

    Args:
        fault: Fault.
        whole_seconds: Whether Retry-After is rounded to whole seconds, as
            RFC 9110 requires; otherwise it has two decimal places.
    """
    info = RESULT_CODE_INFO[fault.code]
    headers = [
        ("Result-Code", str(fault.code.value)),
        ("Request-Outcome", REQUEST_OUTCOMES[info.ran]),
        ("Cache-Control", "no-store"),
    ]
    if fault.retry_after_ms:
        seconds = fault.retry_after_ms / 1000.0
        text = str(max(1, round(seconds))) if whole_seconds else f"{seconds:.2f}"
        headers.append(("Retry-After", text))
    return headers
