"""Finds in the fronts' logs what happened to one request."""

import json

import click
from flamingolift_model import RESULT_CODE_INFO, ResultCode

__all__ = ["explain_request", "read_events", "trace"]

CONTEXT_S = 10.0
"""Time before a request in which changes are shown that bear on it (s)."""
CONTEXT_EVENTS = frozenset(
    (
        "evacuation_started",
        "policy_in_force",
        "server_changed",
        "server_failed",
        "server_gone",
        "store_history_lost",
        "store_lost",
        "store_regained",
        "stopping",
    )
)
_SENDS = {
    "answered": "answered",
    "not_run": "did not run it",
    "wrong_server": "is another server than expected and did not run it",
    "unreached": "accepted no connection",
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
        List of maps in the order of their time. Lines that are not JSON objects
        with an event are left out.
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
    """Gathers the lines that concern a request.

    Args:
        events: List of maps as `read_events` returns it.
        request_id: Id of the request.

    Returns:
        Tuple of the request's own lines, the lines that bear on its decisions, and
        a sentence for each of its ends.
    """
    own = [e for e in events if e.get("id") == request_id]
    ends = [e for e in own if e["event"] == "request_done"]
    context = []
    for end in ends:
        context += [e for e in events if _bears_on(e, end) and e not in context]
    return own, context, [_sentence(end) for end in ends]


def _bears_on(event, end):
    if event["event"] not in CONTEXT_EVENTS or event["instance"] != end["instance"]:
        return False
    began = end["at"] - end["elapsed_ms"] / 1000.0
    if not began - CONTEXT_S <= event["at"] <= end["at"]:
        return False
    servers = {send[0] for send in end["sends"]}
    return "server" not in event or event["server"] in servers


def _sentence(end):
    parts = [
        f"{end['instance']} took it by policy {end['policy']}"
        f" (route {end['route'] or 'none'}, service {end['service'] or 'none'})"
    ]
    for server, place, load, outcome, elapsed_ms in end["sends"]:
        told = _SENDS.get(outcome, outcome)
        known = f"place {place}, {load} requests known on it"
        parts.append(f"{server} ({known}) {told} after {elapsed_ms} ms")
    parts.append(_ending(end))
    return "; ".join(parts) + "."


def _ending(end):
    after = f"after {end['elapsed_ms']} ms"
    if end["outcome"] == "answered":
        return f"the caller got the server's {end['status']} {after}"
    if end["outcome"] == "caller_left":
        return f"the caller left {after}"
    facts = RESULT_CODE_INFO[ResultCode[end["outcome"]]]
    code = ResultCode[end["outcome"]].value
    detail = f" ({end['detail']})" if end["detail"] else ""
    text = facts.text.removesuffix(".")
    return f"refused with {code} {end['outcome']} {after}{detail}: {text}"


@click.command(epilog="Example: flamingolift trace 9c41d07be2a35f68 front-*.log")
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File())
@click.pass_obj
def trace(ctx, request_id, files):
    """Tells what happened to a request, from the logs of the fronts."""
    own, context, sentences = explain_request(read_events(files), request_id)
    if ctx.as_json:
        values = {"lines": own, "context": context, "sentences": sentences}
        click.echo(json.dumps(values, indent=2))
    else:
        for event in sorted([*own, *context], key=lambda event: event["at"]):
            click.echo(json.dumps(event))
        for sentence in sentences or ["no line ends this request"]:
            click.echo(sentence)
    if not own:
        raise SystemExit(RESULT_CODE_INFO[ResultCode.NOT_FOUND].exit_status)
