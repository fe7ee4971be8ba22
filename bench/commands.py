"""The operator's command line, as the bench and the demonstration use it."""

import asyncio
import os
import pathlib
import sys

from flamingolift_standins.fleet import OPERATOR_KEY

__all__ = ["apply_policy", "run_command"]


async def run_command(fleet, *args):
    """Runs the command line; returns (exit status, output)."""
    env = {
        **os.environ,
        "FLAMINGOLIFT_STORE_URL": fleet.store_url,
        "FLAMINGOLIFT_OPERATOR_KEY": OPERATOR_KEY,
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


async def apply_policy(fleet, text, wait_s=30.0):
    """Applies a policy text and waits until it is in force.

    Raises:
        RuntimeError: The command failed; the message has its output.
    """
    path = pathlib.Path(fleet.folder) / "bench-policy.toml"
    path.write_text(text)
    status, output = await run_command(
        fleet, "apply", str(path), "--wait-s", str(wait_s)
    )
    if status != 0:
        raise RuntimeError(output)
