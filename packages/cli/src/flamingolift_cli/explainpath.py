"""The commands that ask a front: how it handles a request, and which it holds."""

import asyncio
import json

import aiohttp
import click
from flamingolift_model import RESULT_CODE_INFO, ResultCode
from flamingolift_wire.bodies import read_body

__all__ = ["explain_request_path", "hold_request", "list_held", "release_request"]

QUERY_TIMEOUT_S = 3.0
"""Timeout of the query (s): an operator may have a caller waiting on the phone."""

MAX_PAGE_BYTES = 16 << 20
"""Size limit of the reply (bytes)."""


async def _query_front(address, query, path="/explain"):
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{address}{path}", params=query) as reply,
    ):
        page = await read_body(reply, MAX_PAGE_BYTES)
        if reply.status == 400:
            raise click.UsageError(json.loads(page)["detail"])
        reply.raise_for_status()
        return json.loads(page)


def _ask_front(address, query, path="/explain"):
    """Returns the front's reply; ends with a numbered error when there is none."""
    try:
        return asyncio.run(_query_front(address, query, path))
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        code = ResultCode.PEER_UNREACHABLE
        click.echo(f"{code.value} {code.name}: {type(exc).__name__} {exc}", err=True)
        raise SystemExit(RESULT_CODE_INFO[code].exit_status) from exc


@click.command(
    "explain-path",
    epilog="Example: flamingolift explain-path 10.1.0.15:7620 a.example /maps/north",
)
@click.argument("front")
@click.argument("host")
@click.argument("path")
@click.option("--object", "object_key", default="", help="Object of the request.")
@click.pass_obj
def explain_request_path(ctx, front, host, path, object_key):
    """Explains how a front handles a request, in sentences to read to a caller.

    FRONT is the host and peer port of an instance.
    """
    query = {"host": host, "path": path, "object": object_key}
    page = _ask_front(front, query)
    if ctx.as_json:
        click.echo(json.dumps(page, indent=2))
        return
    for sentence in page["sentences"]:
        click.echo(sentence)
    click.echo(f"{page['instance']}, view of revision {page['revision']}.")


@click.command("held", epilog="Example: flamingolift held 10.1.0.15:7620")
@click.argument("front")
@click.pass_obj
def list_held(ctx, front):
    """Lists the requests that are held, since backend servers ended under them.

    FRONT is the host and peer port of any instance.
    """
    page = _ask_front(front, {}, "/held")
    if ctx.as_json:
        click.echo(json.dumps(page, indent=2))
        return
    for hold in page["held"]:
        servers = ", ".join(hold["servers"]) or "none"
        click.echo(
            f"{hold['fingerprint']}  {hold['service'] or 'any service'}, held for"
            f" {hold['since_s']} s, {hold['until_s']} s to go; servers that ended:"
            f" {servers}; {hold['reason']}"
        )
    click.echo(f"{len(page['held'])} held, as {page['instance']} knows.")


def _set_exception(ctx, front, request, is_hold, for_s, reason):
    query = {"request": request, "hold": str(int(is_hold))}
    page = _ask_front(front, {**query, "for_s": for_s, "reason": reason}, "/hold")
    if ctx.as_json:
        click.echo(json.dumps(page, indent=2))
        return
    done = "held" if is_hold else "let through"
    click.echo(f"{request} is {done} for {for_s} s, as exception {page['number']}.")


@click.command(
    "hold",
    epilog='Example: flamingolift hold 10.1.0.15:7620 5f2c91 --reason "ends servers"',
)
@click.argument("front")
@click.argument("request")
@click.option("--for-s", default="3600", help="Time for which it is held (s).")
@click.option("--reason", required=True, help="Reason, to be read out to a caller.")
@click.pass_obj
def hold_request(ctx, front, request, for_s, reason):
    """Holds a request on all instances, as an exception with a reason.

    FRONT is the host and peer port of any instance, REQUEST the fingerprint.
    """
    _set_exception(ctx, front, request, True, for_s, reason)


@click.command(
    "release",
    epilog='Example: flamingolift release 10.1.0.15:7620 5f2c91 --reason "repaired"',
)
@click.argument("front")
@click.argument("request")
@click.option("--for-s", default="3600", help="Time for which it is let through (s).")
@click.option("--reason", required=True, help="Reason of the exception.")
@click.pass_obj
def release_request(ctx, front, request, for_s, reason):
    """Lets a held request through on all instances, as an exception with a reason.

    FRONT is the host and peer port of any instance, REQUEST the fingerprint.
    """
    _set_exception(ctx, front, request, False, for_s, reason)
