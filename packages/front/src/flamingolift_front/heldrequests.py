"""The list of held requests, and the operator's exceptions for single ones."""

import time

from flamingolift_decisions import quarantine
from flamingolift_model import Fault, ResultCode

from flamingolift_front import crashwatch, httpcall
from flamingolift_front.responses import json_response, problem_response

__all__ = ["serve_held", "serve_hold"]

MAX_EXCEPTION_S = 86400.0
"""Longest time for which an exception holds (s)."""
MAX_REASON_CHARS = 400
MAX_FINGERPRINT_CHARS = 64


async def serve_held(front):
    """Returns the HttpResponse with the list of the held requests.

    Args:
        front: Front.
    """
    now = time.monotonic()
    holds = quarantine.current_holds(front.crashes.record, now)
    listed = [
        {
            "fingerprint": hold.fingerprint,
            "service": hold.service,
            "servers": [end.server_id for end in hold.ends],
            "since_s": round(now - hold.since, 1),
            "until_s": round(hold.until - now, 1),
            "reason": hold.reason,
        }
        for hold in holds
    ]
    return json_response(200, {"instance": front.cfg.instance_id, "held": listed})


async def serve_hold(front, query):
    """Holds a request, or lets it through, until an exception ends.

    Args:
        front: Front.
        query: Map with the fingerprint in `request`, 1 in `hold` to hold it or 0 to
            let it through, the time in `for_s` (s) and the `reason`.

    Returns:
        HttpResponse; status 400 when a value is missing or out of range.
    """
    fingerprint, reason = query.get("request", ""), query.get("reason", "").strip()
    duration_s = httpcall.parse_decimal(query.get("for_s", ""))
    faults = [
        text
        for text, is_faulty in (
            ("request", not 0 < len(fingerprint) <= MAX_FINGERPRINT_CHARS),
            ("hold", query.get("hold") not in ("0", "1")),
            ("for_s", duration_s is None or duration_s > MAX_EXCEPTION_S),
            ("reason", not 0 < len(reason) <= MAX_REASON_CHARS),
        )
        if is_faulty
    ]
    if faults:
        detail = f"missing or out of range: {', '.join(faults)}"
        return problem_response(Fault(ResultCode.BAD_REQUEST, detail))
    now, number = time.monotonic(), int(time.time() * 1000.0)
    is_hold = query["hold"] == "1"
    exception = quarantine.HoldException(is_hold, reason, number, now, now + duration_s)
    is_new = crashwatch.apply_exception(front, fingerprint, exception)
    body = {"instance": front.cfg.instance_id, "number": number, "applied": is_new}
    return json_response(200, body)
