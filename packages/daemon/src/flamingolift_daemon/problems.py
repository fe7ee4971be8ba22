"""Problem Details answers with the numbered result code (RFC 9457)."""

import json

from flamingolift_model import CODE_FACTS

__all__ = ["OUTCOMES", "problem_body", "problem_headers", "write_problem"]

OUTCOMES = {"no": "not-run", "yes": "run", "unknown": "unknown", "n/a": "none"}
MEDIA_TYPE = "application/problem+json"


def problem_body(fault):
    """Returns the JSON body (bytes) for a Fault."""
    facts = CODE_FACTS[fault.code]
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


def problem_headers(fault):
    """Returns the header fields for a Fault as a list of (name, value)."""
    facts = CODE_FACTS[fault.code]
    headers = [
        ("Result-Code", str(fault.code.value)),
        ("Request-Outcome", OUTCOMES[facts.ran]),
        ("Cache-Control", "no-store"),
    ]
    if fault.retry_after_ms:
        seconds = max(1, round(fault.retry_after_ms / 1000.0))
        headers.append(("Retry-After", str(seconds)))
    return headers


def write_problem(resp, fault):
    """Fills a falcon response with a Fault.

    Args:
        resp: falcon response.
        fault: Fault.
    """
    resp.status = CODE_FACTS[fault.code].status
    resp.content_type = MEDIA_TYPE
    resp.data = problem_body(fault)
    resp.stream = None
    for name, value in problem_headers(fault):
        resp.set_header(name, value)
