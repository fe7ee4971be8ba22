"""The command that explains how a front handles a request."""

import asyncio
import json

import aiohttp
import click
from flamingolift_model import RESULT_CODE_INFO, ResultCode

__all__ = ["explain_request_path"]

QUERY_TIMEOUT_S = 3.0
"""Timeout of the query (s): an operator may have a caller waiting on the phone."""


async def _query_front(address, query):
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{address}/explain", params=query) as reply,
    ):
        reply.raise_for_status()
        return await reply.json()


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
    try:
        page = asyncio.run(_query_front(front, query))
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        code = ResultCode.PEER_UNREACHABLE
        click.echo(f"{code.value} {code.name}: {type(exc).__name__} {exc}", err=True)
        raise SystemExit(RESULT_CODE_INFO[code].exit_status) from exc
    if ctx.as_json:
        click.echo(json.dumps(page, indent=2))
        return
    for sentence in page["sentences"]:
        click.echo(sentence)
    click.echo(f"{page['instance']}, view of revision {page['revision']}.")
