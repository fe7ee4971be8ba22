"""Reconstructs from the fronts' logs what happened to one request."""

import json

import click
from flamingolift_model import RESULT_CODE_INFO, ResultCode

__all__ = ["explain_request", "read_events", "trace"]

CONTEXT_S = 10.0
"""Time before a request from which events count as related to it (s)."""
CONTEXT_EVENTS = frozenset(
    (
        "evacuation_started",
        "policy_in_force",
        "request_hold_began",
        "request_hold_ended",
        "server_changed",
        "server_ended",
        "server_failed",
        "server_gone",
        "servers_cut_off",
        "servers_regained",
        "store_history_lost",
        "store_lost",
        "store_regained",
        "stopping",
    )
)
_SEND_OUTCOMES = {
    "answered": "answered",
    "not_run": "did not run it",
    "wrong_server": "is another server than expected and did not run it",
    "unreached": "accepted no connection",
    "not_sent": "was sent nothing",
    "lost": "gave no whole answer; it may have run",
    "silent": "acknowledged nothing; it may have run",
    "overdue": "was much slower than usual and was given up; it may have run",
    "late": "answered nothing until the deadline; it may have run",
    "cancelled": "was at work when the caller left",
}


def read_events(files):
    """Reads log lines.

    Args:
        files: Iterable of open text files.

    Returns:
        List of maps, ordered by time. Lines that are not JSON objects with an
        `event` are left out.
    """
    events = []
    for file in files:
        for line in file:
            start = line.find("{")
            try:
                event = json.loads(line[start:]) if start >= 0 else None
            except json.JSONDecodeError:
                continue
            if isinstance(event, dict) and "event" in event:
                events.append(event)
    return sorted(events, key=lambda event: event.get("at", 0.0))


def explain_request(events, request_id):
    """Collects the events of a request and the events related to it.

    Args:
        events: List of maps as `read_events` returns it.
        request_id: Id of the request.

    Returns:
        Tuple of the request's own events, the related events (changes on the same
        instance shortly before), and a sentence for each of its `request_done`.
    """
    request_events = [e for e in events if e.get("id") == request_id]
    ends = [e for e in request_events if e["event"] == "request_done"]
    context = []
    for end in ends:
        context += [e for e in events if _is_related(e, end) and e not in context]
    return request_events, context, [_describe_request(end) for end in ends]


def _is_related(event, end):
    if event["event"] not in CONTEXT_EVENTS or event["instance"] != end["instance"]:
        return False
    started_at = end["at"] - end["elapsed_ms"] / 1000.0
    if not started_at - CONTEXT_S <= event["at"] <= end["at"]:
        return False
    servers = {send[0] for send in end["sends"]}
    return "server" not in event or event["server"] in servers


def _describe_request(end):
    parts = [
        f"{end['instance']} took it by policy {end['policy']}"
        f" (route {end['route'] or 'none'}, service {end['service'] or 'none'})"
    ]
    age_ms = end.get("view_age_ms")
    if age_ms is not None:
        parts.append(_describe_age(age_ms))
    if end.get("waited_ms"):
        parts.append(_describe_wait(end))
    for server, rank, load, outcome, elapsed_ms in end["sends"]:
        description = _SEND_OUTCOMES.get(outcome, outcome)
        known = f"place {rank}, {load} requests known on it"
        parts.append(f"{server} ({known}) {description} after {elapsed_ms} ms")
    if end.get("handed_to"):
        parts.append(f"handed on to {end['handed_to']}, which logged the same id")
    parts.append(_describe_end(end))
    return "; ".join(parts) + "."


def _describe_age(age_ms):
    if age_ms < 0:
        return "nothing had proven how recent its view was"
    return f"its view lacked no change of more than {age_ms} ms before"


def _describe_wait(end):
    started = "was started meanwhile" if end["early"] else "was started after them"
    return (
        f"it stood behind earlier requests of its connection for {end['waited_ms']} ms"
        f" and {started}"
    )


def _describe_end(end):
    after = f"after {end['elapsed_ms']} ms"
    if end["outcome"] == "answered":
        return f"the caller got the server's {end['status']} {after}"
    if end["outcome"] == "caller_left":
        return f"the caller left {after}"
    if end["outcome"] == "unread":
        return (
            f"the connection closed before its turn {after}, so it counts as not read"
        )
    info = RESULT_CODE_INFO[ResultCode[end["outcome"]]]
    code = ResultCode[end["outcome"]].value
    detail = f" ({end['detail']})" if end["detail"] else ""
    text = info.text.removesuffix(".")
    return f"refused with {code} {end['outcome']} {after}{detail}: {text}"


@click.command(epilog="Example: flamingolift trace 9c41d07be2a35f68 front-*.log")
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File())
@click.pass_obj
def trace(ctx, request_id, files):
    """Shows what happened to a request, from the logs of the fronts."""
    request_events, context, sentences = explain_request(read_events(files), request_id)
    if ctx.as_json:
        values = {"lines": request_events, "context": context, "sentences": sentences}
        click.echo(json.dumps(values, indent=2))
    else:
        for event in sorted([*request_events, *context], key=lambda event: event["at"]):
            click.echo(json.dumps(event))
        for sentence in sentences or ["no log line reports the end of this request"]:
            click.echo(sentence)
    if not request_events:
        raise SystemExit(RESULT_CODE_INFO[ResultCode.NOT_FOUND].exit_status)
