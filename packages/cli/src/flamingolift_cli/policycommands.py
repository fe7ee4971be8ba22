"""Commands that show or change the policy and its drains."""

import datetime
import difflib
import getpass

import click
from flamingolift_model import Fault, ResultCode
from flamingolift_wire.policytext import parse_policy

from flamingolift_cli.operatorclient import read_live_list, wait_until_in_force
from flamingolift_cli.policyhead import read_policy_head, write_policy_head
from flamingolift_cli.reporting import (
    Report,
    exit_with_report,
    fault_report,
    run_command,
)

__all__ = ["apply", "check", "diff", "drain", "history", "undrain"]

TARGET_KINDS = ("server", "domain", "region", "instance")
DRAIN_ATTEMPTS = 5
"""Attempts to write a drain. An attempt fails when another operator changes the policy
between its read and its write; of competing writes, one always succeeds."""


def _read_file(path):
    """Reads and checks a policy file.

    Returns:
        Tuple of the text, the Policy (None when it has faults) and the Report of
        its faults (None when it has none).
    """
    with open(path, encoding="utf-8", errors="replace") as file:
        text = file.read()
    read = parse_policy(text)
    if read.is_ok():
        return text, read.ok, None
    rows = [
        {
            "file": path,
            "line": item.line,
            "code": item.fault.code.value,
            "detail": item.fault.detail,
        }
        for item in read.error
    ]
    lines = [f"{r['file']}:{r['line']}: {r['code']} {r['detail']}" for r in rows]
    return text, None, Report(lines, {"faults": rows}, read.error[0].fault.code)


@click.command(epilog="Example: flamingolift check rail.toml")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def check(ctx, path):
    """Checks a policy file without any connection."""
    _, policy, failure = _read_file(path)
    if failure is not None:
        exit_with_report(ctx, failure)
    names = [service.name for service in policy.services]
    text = f"{path}: {len(names)} services, {len(policy.exceptions)} exceptions, valid"
    values = {"services": names, "exceptions": len(policy.exceptions)}
    exit_with_report(ctx, Report([text], values))


def _diff_lines(old, new, old_name, new_name):
    return list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
        )
    )


@click.command(epilog="Example: flamingolift diff rail.toml")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def diff(ctx, path):
    """Shows how a policy file differs from the policy in force."""
    text, _, failure = _read_file(path)
    if failure is not None:
        exit_with_report(ctx, failure)
    run_command(ctx, _diff, path, text)


async def _diff(ctx, store, session, path, text):
    stored = await read_policy_head(store)
    if stored.is_error():
        return fault_report(stored.error)
    head = stored.ok.head
    lines = _diff_lines(head.text, text, f"in force ({head.number})", path)
    return Report(lines or ["no difference"], {"number": head.number, "diff": lines})


def _author_option(command):
    return click.option(
        "--author", default=getpass.getuser, show_default="user name", help="Operator."
    )(command)


def _wait_option(command):
    return click.option(
        "--wait-s",
        default=8.0,
        show_default=True,
        help="Longest wait until it is in force everywhere (s).",
    )(command)


@click.command(epilog="Example: flamingolift apply rail.toml --message 'longer queue'")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--expect", type=int, help="Number that must be in force beforehand.")
@click.option("--message", default="", help="What was changed, for the history.")
@_author_option
@_wait_option
@click.pass_obj
def apply(ctx, path, expect, message, author, wait_s):
    """Applies a policy file and waits until it is in force on every instance."""
    text, _, failure = _read_file(path)
    if failure is not None:
        exit_with_report(ctx, failure)
    run_command(ctx, _apply, path, text, expect, message, author, wait_s)


async def _apply(ctx, store, session, path, text, expect, message, author, wait_s):
    stored = await read_policy_head(store)
    if stored.is_error():
        return fault_report(stored.error)
    head = stored.ok.head
    if expect is not None and head.number != expect:
        return await _conflict_report(store, text, path)
    changed = await write_policy_head(
        store,
        stored.ok,
        text=text,
        drains=head.drains,
        author=author,
        summary=message or f"apply {path}",
    )
    if changed.is_error():
        if changed.error.code == ResultCode.POLICY_CONFLICT:
            return await _conflict_report(store, text, path)
        return fault_report(changed.error)
    return await _report_in_force(ctx, store, session, changed.ok.number, wait_s)


async def _conflict_report(store, text, path):
    """Returns a Report that names the author of the policy in force and the diff."""
    fault = Fault(
        ResultCode.POLICY_CONFLICT, "another operator changed the policy first"
    )
    stored = await read_policy_head(store)
    if stored.is_error():
        return fault_report(fault)
    head = stored.ok.head
    lines = _diff_lines(head.text, text, f"in force ({head.number})", path)
    author = head.history[0].author if head.history else "unknown"
    note = f"number {head.number} by {author} is in force; it differs from {path}:"
    return fault_report(
        fault, [note, *lines], number=head.number, author=author, diff=lines
    )


async def _report_in_force(ctx, store, session, number, wait_s):
    """Waits until a policy is in force on every live instance.

    The Report lists the instances where it is not in force in time.
    """
    listed = await read_live_list(store)
    if listed.is_error():
        return fault_report(listed.error, [f"accepted as number {number}"])
    entries = [e for e in listed.ok.instances if e.state == "live"]
    late = await wait_until_in_force(session, entries, number, ctx.operator_key, wait_s)
    values = {"number": number, "instances": len(entries), "late": late}
    if late:
        fault = Fault(ResultCode.POLICY_NOT_IN_FORCE, f"number {number} was accepted")
        lines = [f"  {name}: {state}" for name, state in sorted(late.items())]
        return fault_report(fault, lines, **values)
    text = f"number {number} is in force on all {len(entries)} instances"
    return Report([text], values)


def _target_options(command):
    command = click.argument("name")(command)
    command = click.argument("kind", type=click.Choice(TARGET_KINDS))(command)
    command = click.option("--message", default="", help="Reason.")(command)
    return click.pass_obj(_wait_option(_author_option(command)))


@click.command(epilog="Example: flamingolift drain server timetable-3")
@_target_options
def drain(ctx, kind, name, message, author, wait_s):
    """Takes a backend server, failure domain, region or instance out of service."""
    run_command(ctx, _change_drain, kind, name, True, message, author, wait_s)


@click.command(epilog="Example: flamingolift undrain server timetable-3")
@_target_options
def undrain(ctx, kind, name, message, author, wait_s):
    """Puts a drained target back into service."""
    run_command(ctx, _change_drain, kind, name, False, message, author, wait_s)


async def _change_drain(
    ctx, store, session, kind, name, wanted, message, author, wait_s
):
    """Adds or removes one drain, and retries when another change came first."""
    target = f"{kind}:{name}"
    for _ in range(DRAIN_ATTEMPTS):
        stored = await read_policy_head(store)
        if stored.is_error():
            return fault_report(stored.error)
        head = stored.ok.head
        unknown = await _check_target(store, kind, name) if wanted else None
        if unknown is not None:
            return fault_report(unknown)
        drains = sorted(set(head.drains) | {target})
        if not wanted:
            drains = sorted(set(head.drains) - {target})
        if drains == head.drains:
            return await _report_in_force(ctx, store, session, head.number, wait_s)
        verb = "drain" if wanted else "undrain"
        changed = await write_policy_head(
            store,
            stored.ok,
            text=head.text,
            drains=drains,
            author=author,
            summary=f"{verb} {target} {message}".strip(),
        )
        if changed.is_ok():
            return await _report_in_force(
                ctx, store, session, changed.ok.number, wait_s
            )
        if changed.error.code != ResultCode.POLICY_CONFLICT:
            return fault_report(changed.error)
    return fault_report(
        Fault(ResultCode.POLICY_CONFLICT, f"gave up after {DRAIN_ATTEMPTS} conflicts")
    )


async def _check_target(store, kind, name):
    """Returns a Fault when the live list has no such target."""
    listed = await read_live_list(store)
    if listed.is_error():
        return listed.error
    servers, instances = listed.ok.backend_servers, listed.ok.instances
    names = {
        "server": {e.server_id for e in servers},
        "domain": {e.failure_domain for e in [*servers, *instances]},
        "region": {e.region for e in [*servers, *instances]},
        "instance": {e.instance_id for e in instances},
    }
    if name in names[kind]:
        return None
    return Fault(ResultCode.POLICY_NAME, f"the live list has no {kind} {name}")


@click.command(epilog="Example: flamingolift history")
@click.pass_obj
def history(ctx):
    """Lists the latest accepted changes of the policy."""
    run_command(ctx, _history)


async def _history(ctx, store, session):
    stored = await read_policy_head(store)
    if stored.is_error():
        return fault_report(stored.error)
    rows = [
        {
            "number": entry.number,
            "author": entry.author,
            "accepted_at": entry.accepted_at,
            "summary": entry.summary,
        }
        for entry in stored.ok.head.history
    ]
    lines = []
    for row in rows:
        timestamp = _timestamp(row["accepted_at"])
        lines.append(f"{row['number']}  {timestamp}  {row['author']}  {row['summary']}")
    return Report(lines or ["no change was applied yet"], {"history": rows})


def _timestamp(at):
    """Returns a time (s since the epoch) as text, "unknown" for one out of range."""
    try:
        accepted_time = datetime.datetime.fromtimestamp(at, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return "unknown"
    return accepted_time.isoformat(timespec="seconds")
