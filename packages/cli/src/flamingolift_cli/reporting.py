"""How the commands report what they did, and run."""

import asyncio
import json
import sys

import aiohttp
import click
from flamingolift_model import RESULT_CODE_INFO, ResultCode
from flamingolift_wire.storeclient import StoreClient

__all__ = ["Context", "Report", "finish", "from_fault", "run_command"]


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


def from_fault(fault, lines=(), **values):
    """Returns the Report of a Fault.

    Args:
        fault: Fault.
        lines: Further lines for a person.
        **values: Further plain values.
    """
    line = f"{fault.code.value} {fault.code.name}: {fault.detail}"
    plain = {"code": fault.code.value, "name": fault.code.name, "detail": fault.detail}
    return Report([line, *lines], {**plain, **values}, fault.code)


def finish(ctx, report):
    """Prints a report and exits with its code's status."""
    if ctx.as_json:
        click.echo(json.dumps({"code": report.code.value, **report.values}, indent=2))
    else:
        for line in report.lines:
            click.echo(line, err=report.code != ResultCode.OK)
    sys.exit(RESULT_CODE_INFO[report.code].exit_status)


def run_command(ctx, command, *args, **options):
    """Runs a command's coroutine with the store and an HTTP session."""

    async def run():
        store = StoreClient(ctx.store_url, ctx.store_timeout_s)
        try:
            async with aiohttp.ClientSession() as session:
                return await command(ctx, store, session, *args, **options)
        finally:
            await store.session.close()

    finish(ctx, asyncio.run(run()))
