"""Runs the operator's command line for tests, the benchmark and the demo."""

import asyncio
import os
import pathlib
import sys

from flamingolift_standins.fleet import OPERATOR_KEY

__all__ = ["apply_policy", "run_command"]


async def run_command(fleet, *args, store_timeout_s=2.0):
    """Runs the command line in its own process, against the store of a fleet.

    Args:
        fleet: Fleet.
        *args: Arguments of ``flamingolift``.
        store_timeout_s: Timeout of a call to the store (s).

    Returns:
        Tuple of the exit status and the output, standard error included.
    """
    env = {
        **os.environ,
        "FLAMINGOLIFT_STORE_URL": fleet.store_url,
        "FLAMINGOLIFT_OPERATOR_KEY": OPERATOR_KEY,
        "FLAMINGOLIFT_STORE_TIMEOUT_S": str(store_timeout_s),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "flamingolift_cli.main",
        *args,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def apply_policy(fleet, text, *args, name="policy.toml", **options):
    """Writes a policy to a file in the fleet's folder and applies it.

    Args:
        fleet: Fleet.
        text: Policy as TOML.
        *args: Further arguments of ``flamingolift apply``.
        name: Name of the file.
        **options: Passed on to `run_command`.

    Returns:
        Tuple of the exit status and the output.
    """
    path = pathlib.Path(fleet.folder) / name
    path.write_text(text)
    return await run_command(fleet, "apply", str(path), *args, **options)
