"""Commands for the operator: check, diff, apply, explain, status, drain, history."""

import asyncio
import datetime
import difflib
import getpass
import json
import sys

import aiohttp
import click
from flamingolift_model import CODE_FACTS, Fault, ResultCode
from flamingolift_wire.policytext import read_policy
from flamingolift_wire.storeclient import StoreClient

from flamingolift_cli.fleetview import (
    ask_all,
    ask_one,
    read_live_list,
    wait_in_force,
)
from flamingolift_cli.frontview import explain_request_path
from flamingolift_cli.policyhead import change_head, read_head
from flamingolift_cli.tracing import trace

__all__ = ["main"]

TARGET_KINDS = ("server", "domain", "region", "instance")


class Context:
    """Options that all commands share.

    Attributes:
        store_url: Base URL of the store.
        operator_key: Operator key (hex).
        as_json: Whether to print JSON.
        store_timeout_s: Timeout of one call on the store (s).
    """

    __slots__ = ("as_json", "operator_key", "store_timeout_s", "store_url")

    def __init__(self, store_url, operator_key, as_json, store_timeout_s):
        self.store_url = store_url
        self.operator_key = operator_key
        self.as_json = as_json
        self.store_timeout_s = store_timeout_s


class Report:
    """What a command prints and how it exits.

    Attributes:
        lines: Lines for a person.
        values: Plain values for ``--json``.
        code: ResultCode.
    """

    __slots__ = ("code", "lines", "values")

    def __init__(self, lines, values, code=ResultCode.OK):
        self.lines = lines
        self.values = values
        self.code = code


def _from_fault(fault, lines=(), **values):
    line = f"{fault.code.value} {fault.code.name}: {fault.detail}"
    plain = {"code": fault.code.value, "name": fault.code.name, "detail": fault.detail}
    return Report([line, *lines], {**plain, **values}, fault.code)


def _finish(ctx, report):
    """Prints a report and exits with its code's status."""
    if ctx.as_json:
        click.echo(json.dumps({"code": report.code.value, **report.values}, indent=2))
    else:
        for line in report.lines:
            click.echo(line, err=report.code != ResultCode.OK)
    sys.exit(CODE_FACTS[report.code].exit_status)


def _run(ctx, command, *args, **options):
    """Runs a command's coroutine with the store and an HTTP session."""

    async def run():
        store = StoreClient(ctx.store_url, ctx.store_timeout_s)
        try:
            async with aiohttp.ClientSession() as session:
                return await command(ctx, store, session, *args, **options)
        finally:
            await store.session.close()

    _finish(ctx, asyncio.run(run()))


@click.group(
    context_settings={"auto_envvar_prefix": "FLAMINGOLIFT"},
    epilog="Example: flamingolift --store-url http://127.0.0.1:9000 apply rail.toml. "
    "Exit codes are listed in docs/RESULT_CODES.md.",
)
@click.option(
    "--store-url",
    default="http://127.0.0.1:9000",
    show_default=True,
    help="Base URL of the platform's store.",
)
@click.option("--operator-key", default="", help="Operator key (hexadecimal).")
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@click.option(
    "--store-timeout-s",
    default=2.0,
    show_default=True,
    help="Timeout of one call on the store (s).",
)
@click.version_option(package_name="flamingolift-cli")
@click.pass_context
def main(context, store_url, operator_key, as_json, store_timeout_s):
    """Steers a flamingolift fleet by its policy."""
    context.obj = Context(store_url, operator_key, as_json, store_timeout_s)


def _read_file(path):
    """Returns (text, policy or None, Report or None) of a policy file."""
    with open(path, encoding="utf-8", errors="replace") as file:
        text = file.read()
    read = read_policy(text)
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


@main.command(epilog="Example: flamingolift check rail.toml")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def check(ctx, path):
    """Checks a policy file without any connection."""
    _, policy, fault = _read_file(path)
    if fault is not None:
        _finish(ctx, fault)
    names = [service.name for service in policy.services]
    text = f"{path}: {len(names)} services, {len(policy.exceptions)} exceptions, sound"
    values = {"services": names, "exceptions": len(policy.exceptions)}
    _finish(ctx, Report([text], values))


def _diff_lines(old, new, old_name, new_name):
    return list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), old_name, new_name, lineterm=""
        )
    )


@main.command(epilog="Example: flamingolift diff rail.toml")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def diff(ctx, path):
    """Shows how a policy file differs from the policy in force."""
    text, _, fault = _read_file(path)
    if fault is not None:
        _finish(ctx, fault)
    _run(ctx, _diff, path, text)


async def _diff(ctx, store, session, path, text):
    held = await read_head(store)
    if held.is_error():
        return _from_fault(held.error)
    head = held.ok.head
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


@main.command(epilog="Example: flamingolift apply rail.toml --message 'longer queue'")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--expect", type=int, help="Number that must be in force beforehand.")
@click.option("--message", default="", help="What was changed, for the history.")
@_author_option
@_wait_option
@click.pass_obj
def apply(ctx, path, expect, message, author, wait_s):
    """Puts a policy file into force and waits until every instance has it."""
    text, _, fault = _read_file(path)
    if fault is not None:
        _finish(ctx, fault)
    _run(ctx, _apply, path, text, expect, message, author, wait_s)


async def _apply(ctx, store, session, path, text, expect, message, author, wait_s):
    held = await read_head(store)
    if held.is_error():
        return _from_fault(held.error)
    head = held.ok.head
    if expect is not None and head.number != expect:
        return await _conflict(store, text, path)
    changed = await change_head(
        store,
        held.ok,
        text=text,
        drains=head.drains,
        author=author,
        summary=message or f"apply {path}",
    )
    if changed.is_error():
        if changed.error.code == ResultCode.POLICY_CONFLICT:
            return await _conflict(store, text, path)
        return _from_fault(changed.error)
    return await _report_force(ctx, store, session, changed.ok.number, wait_s)


async def _conflict(store, text, path):
    """Tells the operator who was first and what differs."""
    fault = Fault(ResultCode.POLICY_CONFLICT, "another operator was first")
    held = await read_head(store)
    if held.is_error():
        return _from_fault(fault)
    head = held.ok.head
    lines = _diff_lines(head.text, text, f"in force ({head.number})", path)
    author = head.history[0].author if head.history else "unknown"
    note = f"number {head.number} by {author} is in force; it differs from {path}:"
    return _from_fault(
        fault, [note, *lines], number=head.number, author=author, diff=lines
    )


async def _report_force(ctx, store, session, number, wait_s):
    """Waits until a number is in force everywhere and reports the laggards."""
    listed = await read_live_list(store)
    if listed.is_error():
        return _from_fault(listed.error, [f"accepted as number {number}"])
    entries = [e for e in listed.ok.instances if e.state == "live"]
    late = await wait_in_force(session, entries, number, ctx.operator_key, wait_s)
    values = {"number": number, "instances": len(entries), "late": late}
    if late:
        fault = Fault(ResultCode.POLICY_NOT_IN_FORCE, f"number {number} was accepted")
        lines = [f"  {name}: {state}" for name, state in sorted(late.items())]
        return _from_fault(fault, lines, **values)
    text = f"number {number} is in force on all {len(entries)} instances"
    return Report([text], values)


def _target_options(command):
    command = click.argument("name")(command)
    command = click.argument("kind", type=click.Choice(TARGET_KINDS))(command)
    command = click.option("--message", default="", help="Reason.")(command)
    return click.pass_obj(_wait_option(_author_option(command)))


@main.command(epilog="Example: flamingolift drain server timetable-3")
@_target_options
def drain(ctx, kind, name, message, author, wait_s):
    """Takes a backend server, failure domain, region or instance out of service."""
    _run(ctx, _set_drain, kind, name, True, message, author, wait_s)


@main.command(epilog="Example: flamingolift undrain server timetable-3")
@_target_options
def undrain(ctx, kind, name, message, author, wait_s):
    """Puts a drained target back into service."""
    _run(ctx, _set_drain, kind, name, False, message, author, wait_s)


DRAIN_TRIES = 5


async def _set_drain(ctx, store, session, kind, name, wanted, message, author, wait_s):
    """Adds or removes one drain; operators who race on others both succeed."""
    target = f"{kind}:{name}"
    for _ in range(DRAIN_TRIES):
        held = await read_head(store)
        if held.is_error():
            return _from_fault(held.error)
        head = held.ok.head
        unknown = await _unknown_target(store, kind, name) if wanted else None
        if unknown is not None:
            return _from_fault(unknown)
        drains = sorted(set(head.drains) | {target})
        if not wanted:
            drains = sorted(set(head.drains) - {target})
        if drains == head.drains:
            return await _report_force(ctx, store, session, head.number, wait_s)
        verb = "drain" if wanted else "undrain"
        changed = await change_head(
            store,
            held.ok,
            text=head.text,
            drains=drains,
            author=author,
            summary=f"{verb} {target} {message}".strip(),
        )
        if changed.is_ok():
            return await _report_force(ctx, store, session, changed.ok.number, wait_s)
        if changed.error.code != ResultCode.POLICY_CONFLICT:
            return _from_fault(changed.error)
    return _from_fault(Fault(ResultCode.POLICY_CONFLICT, f"lost {DRAIN_TRIES} races"))


async def _unknown_target(store, kind, name):
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


@main.command(epilog="Example: flamingolift explain timetable 10.12.40.7")
@click.argument("service")
@click.argument("client")
@click.option("--instance", help="Instance to ask; any that answers by default.")
@click.pass_obj
def explain(ctx, service, client, instance):
    """Says why a caller gets the answer that it gets, for reading out."""
    _run(ctx, _explain, service, client, instance)


async def _explain(ctx, store, session, service, client, instance):
    listed = await read_live_list(store)
    if listed.is_error():
        return _from_fault(listed.error)
    entries = [e for e in listed.ok.instances if instance in (None, e.instance_id)]
    fault = Fault(ResultCode.PEER_UNREACHABLE, "no instance answered")
    path = f"/v1/explain?service={service}&client={client}"
    for entry in entries:
        asked = await ask_one(session, entry, path, ctx.operator_key)
        if asked.is_ok():
            page = asked.ok
            lines = [
                page["reason"],
                f"{client} ({page['block']}, nearest to {page['origin']}) uses "
                f"{page['instance']} at {page['site']} for {service}.",
                f"Policy {page['policy']}, plan {page['plan']}.",
            ]
            return Report(lines, page)
        fault = asked.error
        if fault.code != ResultCode.PEER_UNREACHABLE:
            break
    return _from_fault(fault)


@main.command(epilog="Example: flamingolift --json status")
@click.pass_obj
def status(ctx):
    """Shows the state of every instance and the policy in force."""
    _run(ctx, _status)


async def _status(ctx, store, session):
    listed = await read_live_list(store)
    if listed.is_error():
        return _from_fault(listed.error)
    held = await read_head(store)
    entries = listed.ok.instances
    pages = await ask_all(session, entries, "/v1/status", ctx.operator_key)
    number = held.ok.head.number if held.is_ok() else "unknown"
    drains = held.ok.head.drains if held.is_ok() else []
    lines = [f"policy {number}, drains: {', '.join(drains) or 'none'}"]
    for name, page in sorted(pages.items()):
        lines.append(f"{name}: {_describe(page)}")
    values = {
        "policy": number,
        "drains": drains,
        "instances": {n: p.ok if p.is_ok() else None for n, p in pages.items()},
    }
    return Report(lines, values)


def _describe(page):
    """Returns one line on an instance's status page."""
    if page.is_error():
        return f"{page.error.code.name} {page.error.detail}"
    state = page.ok
    flags = [flag for flag in ("stopping", "isolated") if state[flag]]
    return (
        f"policy {state['versions'].get('policy', 0)}, "
        f"plan {state['versions'].get('plan', 0)}, "
        f"{state['in_flight']} in flight, {len(state['serving'])} serving, "
        f"{len(state['pools'])} pools {' '.join(flags)}"
    ).rstrip()


@main.command(epilog="Example: flamingolift history")
@click.pass_obj
def history(ctx):
    """Lists the last accepted changes of the policy."""
    _run(ctx, _history)


async def _history(ctx, store, session):
    held = await read_head(store)
    if held.is_error():
        return _from_fault(held.error)
    rows = [
        {
            "number": entry.number,
            "author": entry.author,
            "accepted_at": entry.accepted_at,
            "summary": entry.summary,
        }
        for entry in held.ok.head.history
    ]
    lines = []
    for row in rows:
        moment = datetime.datetime.fromtimestamp(row["accepted_at"], datetime.UTC)
        stamp = moment.isoformat(timespec="seconds")
        lines.append(f"{row['number']}  {stamp}  {row['author']}  {row['summary']}")
    return Report(lines or ["no change was applied yet"], {"history": rows})


main.add_command(explain_request_path)
main.add_command(trace)


if __name__ == "__main__":
    main()
