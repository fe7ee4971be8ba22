"""Plays one run of the soak and reports it."""

import asyncio
import collections
import itertools
import random
import signal
import time

from bench.soaking.callers import run_callers, send_single
from bench.soaking.checks import Finding, check_run, count_cuts
from bench.soaking.events import run_events
from bench.soaking.records import Run, note
from bench.soaking.site import (
    add_instance,
    add_soak_server,
    put_change,
    start_beats,
    watch_lag,
)
from integration.platformfleet import make_platform, stop_platform, wait_until

__all__ = ["play_run", "summarize"]

SERVICES = {"reads": 3, "books": 3, "rows": 2}
"""Number of servers of each service."""
START_TIMEOUT_S = 30.0
SETTLE_S = 4.0
"""Time after the last event in which callers go on (s)."""
QUIET_S = 0.5
"""Time for which servers finish after the last answer (s)."""
CALLERS_PER_INSTANCE = 5
STOP_TIMEOUT_S = 10.0


async def play_run(
    folder,
    seed,
    *,
    instances=5,
    duration_s=15.0,
    event_names=None,
    stop_signal=signal.SIGTERM,
    search_path=None,
):
    """Plays one run.

    Args:
        folder: Folder of settings and logs.
        seed: Seed of the events and callers.
        instances: Number of instances.
        duration_s: Time during which events start (s).
        event_names: Names of the events to draw from; None for all.
        stop_signal: Signal that a planned stop sends.
        search_path: Module search path of the instances' build; None for this one.

    Returns:
        The Run and its list of Findings.
    """
    rng = random.Random(seed)
    run = Run(seed, await make_platform(folder, policy=False), stop_signal, search_path)
    background = [asyncio.create_task(f(run)) for f in (start_beats, watch_lag)]
    try:
        await _start_site(run, rng, instances)
        run.ends_at = time.monotonic() + 3600.0
        names = itertools.count(1)
        callers = asyncio.create_task(
            run_callers(run, rng, CALLERS_PER_INSTANCE * min(instances, 8), names)
        )
        await run_events(run, random.Random(f"{seed} events"), duration_s, event_names)
        await asyncio.sleep(SETTLE_S)
        findings = [f async for f in _check_service(run, rng, names)]
        run.ends_at = time.monotonic()
        await callers
        await asyncio.sleep(QUIET_S)
        await _stop_instances(run)
        return run, findings + check_run(run)
    finally:
        for task in background:
            task.cancel()
        await stop_platform(run.fleet)


async def _start_site(run, rng, instances):
    put_change(run, rng)
    for service, count in SERVICES.items():
        for _ in range(count):
            await add_soak_server(run, rng, service)
    names = [f"front-{number}" for number in range(instances)]
    await asyncio.gather(*(add_instance(run, name) for name in names))
    boots = [instance.boots[0] for instance in run.instances]
    await wait_until(lambda: all(boot.ready for boot in boots), START_TIMEOUT_S)
    note(run, "all instances are ready")


async def _check_service(run, rng, names):
    """Checks that each instance serves again once all disruptions have ended."""
    for instance in run.instances:
        boot = instance.boots[-1]
        calls = [await send_single(run, rng, boot, names) for _ in range(5)]
        if not any(call is not None and call.status == 200 for call in calls):
            statuses = [call.status if call else None for call in calls]
            detail = f"{boot.front.name} does not serve: {statuses}"
            yield Finding("service", detail, time.monotonic())


async def _stop_instances(run):
    """Stops all processes that still run, as a planned stop."""
    boots = [instance.boots[-1] for instance in run.instances]
    for boot in boots:
        if boot.exited_at is None:
            boot.stop_at = time.monotonic()
            boot.front.process.send_signal(run.stop_signal)
    await asyncio.wait({boot.task for boot in boots}, timeout=STOP_TIMEOUT_S)
    for boot in boots:
        if boot.exited_at is None:
            boot.front.process.kill()
            await boot.task


def summarize(run, findings):
    """Returns the report of a run as text."""
    ends = collections.Counter(
        str(call.status) if call.end == "answer" else call.end or "unsent"
        for call in run.calls
    )
    lines = [
        f"seed {run.seed}: {len(run.calls)} requests, {dict(sorted(ends.items()))}"
    ]
    rates = [
        f"{cut} of {sent} ({1000 * cut / max(1, sent):.2f} per thousand)"
        for cut, sent in count_cuts(run)
    ]
    lines.append(f"cut beside changes {rates[0]}, away from them {rates[1]}")
    lag_s = max((lag[2] for lag in run.lags), default=0.0)
    lines.append(f"longest delay of the soak's own timers {lag_s:.2f} s")
    if findings:
        lines += [f"  {at:8.3f} {text}" for at, text in run.log]
    for finding in findings:
        at = (finding.at or run.started_at) - run.started_at
        lines.append(f"FOUND {finding.check} at {at:.3f}: {finding.detail}")
    return "\n".join(lines)
