"""SIGHUP ends an instance that has just been started.

The platform changes the settings files (their `seeds`) shortly after instances were
started and says so by SIGHUP: once after the first start of all, and then in two
rounds of planned restarts.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_standins as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANGE_AFTER_S = 0.1
"""Time from a start to the change of the settings file (s)."""
RESTART_S = 0.5
"""Time after which the platform starts a process that ended (s)."""
ENDS_PER_MACHINE = 3
MACHINES = 2
"""Machines with that many own ends from which the rule is broken."""
ZONES = ("sud-hvoll", "sud-hvoll", "sud-myri", "sud-myri")
ROUTES = [["listing", st.HOST, "/list/", "safe", "3s", "400ms", 2, 2, "plotaskra"]]


async def change_settings(platform, instance, seeds):
    """Writes other seeds into a settings file, and sends SIGHUP."""
    await asyncio.sleep(CHANGE_AFTER_S)
    text = instance.settings.read_text()
    before = next(line for line in text.splitlines() if line.startswith("seeds"))
    listed = ", ".join(f'"{seed}"' for seed in seeds)
    changed = instance.settings.with_suffix(".new")
    changed.write_text(text.replace(before, f"seeds = [{listed}]"))
    changed.replace(instance.settings)
    if TROUBLE:
        instance.process.send_signal(signal.SIGHUP)
        platform.record.write(f"{instance.name}: settings changed, SIGHUP")


async def check_end(platform, instance, ends):
    """Counts an end of the process by itself, and starts it again as the platform."""
    try:
        status = await asyncio.wait_for(instance.process.wait(), 1.0)
    except TimeoutError:
        return
    ends[instance.name] += 1
    platform.record.write(f"{instance.name} ended by itself, status {status}")
    await asyncio.sleep(RESTART_S)
    await platform.launch(instance)


async def restart(platform, instance):
    """Stops an instance as planned and starts it again."""
    instance.process.send_signal(signal.SIGTERM)
    status = await asyncio.wait_for(instance.process.wait(), 6.0)
    platform.record.write(f"{instance.name} ended after SIGTERM, status {status}")
    await platform.launch(instance)


async def run(record):
    """Returns whether two machines ended by themselves three times each."""
    async with st.Platform(record) as platform:
        platform.put_config(3, ROUTES, ["plotaskra"])
        await platform.add_server("i-list-1", "plotaskra")
        instances = await asyncio.gather(
            *(
                platform.add_instance(f"front-{zone}-{number}", "sudurland", zone)
                for number, zone in enumerate(ZONES, 1)
            )
        )
        ends = {instance.name: 0 for instance in instances}
        seeds = [f"127.0.0.1:{i.ports['control']}" for i in instances]

        async def settle(instance, listed):
            await change_settings(platform, instance, listed)
            await check_end(platform, instance, ends)
            await platform.wait_ready(instance)

        await asyncio.gather(*(settle(i, seeds[:3]) for i in instances))
        for turn in range(2):
            for instance in instances:
                # Requests keep their instances: one restart at a time, all others up.
                await restart(platform, instance)
                await settle(instance, seeds[turn:][:3])
        for name, count in ends.items():
            record.write(f"{name} ended by itself {count} times")
        return sum(n >= ENDS_PER_MACHINE for n in ends.values()) >= MACHINES


st.run_case(FOLDER, run)
