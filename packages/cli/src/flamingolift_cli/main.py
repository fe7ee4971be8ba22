"""The operator's command line."""

import click
from flamingolift_model import Fault, ResultCode

from flamingolift_cli import policycommands
from flamingolift_cli.explainpath import (
    explain_request_path,
    hold_request,
    list_held,
    release_request,
)
from flamingolift_cli.operatorclient import (
    query_instance,
    query_instances,
    read_live_list,
)
from flamingolift_cli.policyhead import read_policy_head
from flamingolift_cli.reporting import Context, Report, fault_report, run_command
from flamingolift_cli.tracing import trace

__all__ = ["main"]


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
    """Operates a flamingolift fleet through its policy."""
    context.obj = Context(store_url, operator_key, as_json, store_timeout_s)


@main.command(epilog="Example: flamingolift explain timetable 10.12.40.7")
@click.argument("service")
@click.argument("client")
@click.option("--instance", help="Instance to ask; any that answers by default.")
@click.pass_obj
def explain(ctx, service, client, instance):
    """Explains a caller's look-up answer, in sentences to read to the caller."""
    run_command(ctx, _explain, service, client, instance)


async def _explain(ctx, store, session, service, client, instance):
    listed = await read_live_list(store)
    if listed.is_error():
        return fault_report(listed.error)
    entries = [e for e in listed.ok.instances if instance in (None, e.instance_id)]
    fault = Fault(ResultCode.PEER_UNREACHABLE, "no instance answered")
    path = f"/v1/explain?service={service}&client={client}"
    for entry in entries:
        response = await query_instance(session, entry, path, ctx.operator_key)
        if response.is_ok():
            page = response.ok
            lines = [
                page["reason"],
                f"{client} ({page['block']}, nearest to {page['origin']}) uses "
                f"{page['instance']} at {page['site']} for {service}.",
                f"Policy {page['policy']}, plan {page['plan']}.",
            ]
            return Report(lines, page)
        fault = response.error
        if fault.code != ResultCode.PEER_UNREACHABLE:
            break
    return fault_report(fault)


@main.command(epilog="Example: flamingolift --json status")
@click.pass_obj
def status(ctx):
    """Shows the state of every instance and the policy in force."""
    run_command(ctx, _status)


async def _status(ctx, store, session):
    listed = await read_live_list(store)
    if listed.is_error():
        return fault_report(listed.error)
    stored = await read_policy_head(store)
    entries = listed.ok.instances
    pages = await query_instances(session, entries, "/v1/status", ctx.operator_key)
    number = stored.ok.head.number if stored.is_ok() else "unknown"
    drains = stored.ok.head.drains if stored.is_ok() else []
    lines = [f"policy {number}, drains: {', '.join(drains) or 'none'}"]
    for name, page in sorted(pages.items()):
        lines.append(f"{name}: {_status_line(page)}")
    values = {
        "policy": number,
        "drains": drains,
        "instances": {n: p.ok if p.is_ok() else None for n, p in pages.items()},
    }
    return Report(lines, values)


def _status_line(page):
    """Returns a one-line summary of an instance's status page."""
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


for command in (
    policycommands.check,
    policycommands.diff,
    policycommands.apply,
    policycommands.drain,
    policycommands.undrain,
    policycommands.history,
    explain_request_path,
    list_held,
    hold_request,
    release_request,
    trace,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
