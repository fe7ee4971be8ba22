"""Randomized soak of separate processes.

Run as ``python -m bench.soak [OPTIONS]``. The instances are real processes; store,
servers and callers run in the soak's process, which injects faults from outside.
"""

import asyncio
import pathlib
import shutil
import sys
import time

import click

from bench.soaking.events import EVENTS
from bench.soaking.play import play_run, summarize

OUT = pathlib.Path(__file__).parent / "out"


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=1, help="Number of runs, with consecutive seeds.")
@click.option("--instances", default=0, help="Instances; 0 for 4 to 6, by the seed.")
@click.option("--seconds", default=15.0, help="Time in which events start (s).")
@click.option("--build", help="Module search path of another build of the instances.")
@click.option("--without", multiple=True, type=click.Choice(sorted(EVENTS)))
def main(seed, runs, instances, seconds, build, without):
    """Plays runs; the exit status is 1 if a promise was not kept."""
    failed = []
    for number in range(seed, seed + runs):
        folder = OUT / f"soak-{number}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        began = time.monotonic()
        count = instances or 4 + number % 3
        run, findings = asyncio.run(
            play_run(
                folder,
                number,
                instances=count,
                duration_s=seconds,
                event_names=set(EVENTS) - set(without),
                search_path=build,
            )
        )
        report = summarize(run, findings)
        (folder / "report.txt").write_text(report + "\n", encoding="utf-8")
        click.echo(f"{report}\n{count} instances, {time.monotonic() - began:.0f} s")
        if findings:
            failed.append(number)
        else:
            shutil.rmtree(folder)
    click.echo(f"{runs} runs, findings on the seeds {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
