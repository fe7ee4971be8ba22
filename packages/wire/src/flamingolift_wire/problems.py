"""Problem Details answers with the numbered result code (RFC 9457)."""

import json

from flamingolift_model import RESULT_CODE_INFO

__all__ = ["MEDIA_TYPE", "OUTCOMES", "problem_body", "problem_headers"]

OUTCOMES = {"no": "not-run", "yes": "run", "unknown": "unknown", "n/a": "none"}
MEDIA_TYPE = "application/problem+json"


def problem_body(fault):
    """Returns the JSON body (bytes) for a Fault."""
    facts = RESULT_CODE_INFO[fault.code]
    body = {
        "type": f"urn:flamingolift:result:{fault.code.value}",
        "title": facts.text,
        "status": facts.status,
        "detail": fault.detail,
        "code": fault.code.value,
        "name": fault.code.name,
        "outcome": OUTCOMES[facts.ran],
    }
    return json.dumps(body).encode()


def problem_headers(fault, whole_seconds=True):
    """Returns the header fields for a Fault as a list of (name, value).

    Args:
        fault: Fault.
        whole_seconds: Whether Retry-After is rounded to whole seconds, as
            RFC 9110 has it.
    """
    facts = RESULT_CODE_INFO[fault.code]
    headers = [
        ("Result-Code", str(fault.code.value)),
        ("Request-Outcome", OUTCOMES[facts.ran]),
        ("Cache-Control", "no-store"),
    ]
    if fault.retry_after_ms:
        seconds = fault.retry_after_ms / 1000.0
        text = str(max(1, round(seconds))) if whole_seconds else f"{seconds:.2f}"
        headers.append(("Retry-After", text))
    return headers
