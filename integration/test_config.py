"""An accepted policy is in force on all instances within seconds, for good."""

import asyncio
import json
import time

import pytest
from flamingolift_standins.commands import apply_policy, run_command
from flamingolift_standins.fleet import (
    operator_get,
    start_instance,
    wait_ready,
    wait_until,
)
from flamingolift_standins.fleetcontrol import set_store_faults
from helpers import RAIL_POLICY

pytestmark = pytest.mark.asyncio(loop_scope="module")

IN_FORCE_S = 2.0
"""Promised bound for a fleet of this size while the store is up (s)."""
TARGET_SIZE_IN_FORCE_S = 8.0
"""Promised bound at the fleet's target size (s)."""
RACING_OPERATORS = 4
FLEET_OPTIONS = {"per_domain": 2}


def policy_with_queue(ms):
    return RAIL_POLICY.replace("queue_ms = 500\n", f"queue_ms = {ms}\n", 1)


async def policy_numbers(fleet, names=None):
    """Returns the policy number of each instance."""
    found = {}
    for name, inst in fleet.instances.items():
        if names is None or name in names:
            page = await operator_get(fleet, inst, "/v1/status")
            found[name] = page["versions"].get("policy", 0)
    return found


async def test_apply_is_in_force_within_the_bound(fleet):
    for ms in (501, 502, 503):
        args = ("--wait-s", str(IN_FORCE_S))
        status, output = await apply_policy(fleet, policy_with_queue(ms), *args)
        assert status == 0, output
    status, output = await run_command(fleet, "--json", "history")
    assert status == 0
    rows = json.loads(output)["history"]
    assert [r["number"] for r in rows] == sorted(
        (r["number"] for r in rows), reverse=True
    )


async def test_one_of_racing_operators_wins_and_the_others_get_a_conflict(fleet):
    base = max((await policy_numbers(fleet)).values())
    args = ("--expect", str(base))
    results = await asyncio.gather(
        *(
            apply_policy(fleet, policy_with_queue(600 + i), *args, name=f"race{i}.toml")
            for i in range(RACING_OPERATORS)
        )
    )
    winners = [output for status, output in results if status == 0]
    losers = [output for status, output in results if status != 0]
    assert len(winners) == 1
    assert all(status in (0, 41) for status, _ in results)
    assert all("4006" in output and "queue_ms" in output for output in losers)
    assert set((await policy_numbers(fleet)).values()) == {base + 1}


async def test_lost_answer_is_resolved_by_reading_back(fleet):
    base = max((await policy_numbers(fleet)).values())
    await set_store_faults(fleet, lose_answers=1)
    status, output = await apply_policy(fleet, policy_with_queue(701))
    await set_store_faults(fleet, lose_answers=0)
    assert status == 0, output
    assert set((await policy_numbers(fleet)).values()) == {base + 1}


async def test_replaced_instance_gets_the_newest_policy_during_an_outage(fleet):
    status, output = await apply_policy(fleet, policy_with_queue(801))
    assert status == 0, output
    newest = max((await policy_numbers(fleet)).values())
    await set_store_faults(fleet, mode="down")
    try:
        replaced = ["accra-central-1", "kumasi-yard-2"]
        for name in replaced:
            fleet.instances[name].process.kill()
            await fleet.instances[name].process.wait()
            await start_instance(fleet, fleet.instances[name])
        await wait_ready(fleet, replaced)
        assert set((await policy_numbers(fleet, replaced)).values()) == {newest}
        status, output = await run_command(fleet, "history")
        assert status == 50, output
        assert "5001" in output
    finally:
        await set_store_faults(fleet, mode="up")


async def test_all_instances_but_one_replaced_during_an_outage(fleet):
    """If all instances but one are replaced, they get the policy from that one."""
    newest = max((await policy_numbers(fleet)).values())
    await set_store_faults(fleet, mode="down")
    try:
        names = sorted(fleet.instances)[1:]
        for name in names:
            fleet.instances[name].process.kill()
            await fleet.instances[name].process.wait()
        for name in names:
            await start_instance(fleet, fleet.instances[name])
        await wait_ready(fleet)
        assert set((await policy_numbers(fleet)).values()) == {newest}
    finally:
        await set_store_faults(fleet, mode="up")

    async def accepted():
        status, _ = await apply_policy(fleet, policy_with_queue(802))
        return status == 0

    await wait_until(accepted, 20, "apply after the outage")


async def test_policy_numbers_never_decrease(fleet):
    seen = {name: 0 for name in fleet.instances}
    stop = asyncio.Event()

    async def watch():
        while not stop.is_set():
            for name, number in (await policy_numbers(fleet)).items():
                assert number >= seen[name], name
                seen[name] = number
            await asyncio.sleep(0.02)

    watching = asyncio.ensure_future(watch())
    for ms in range(900, 906):
        await apply_policy(fleet, policy_with_queue(ms))
    stop.set()
    await watching


async def test_slow_store_keeps_to_the_bound_of_the_target_size(fleet):
    await set_store_faults(fleet, mode="slow", delay_s=0.5)
    try:
        started = time.monotonic()
        status, output = await apply_policy(
            fleet, policy_with_queue(950), "--wait-s", str(TARGET_SIZE_IN_FORCE_S)
        )
        assert status == 0, output
        print("slow store:", round(time.monotonic() - started, 2), "s")
    finally:
        await set_store_faults(fleet, mode="up", delay_s=0.0)


async def test_store_calls_grow_with_domains_not_instances(fleet):
    async def store_calls():
        url = f"{fleet.store_url}/admin/stats"
        async with fleet.session.get(url) as resp:
            return (await resp.json())["calls"]

    await asyncio.sleep(1.0)
    before = await store_calls()
    await asyncio.sleep(5.0)
    after = await store_calls()
    domains = len({inst.failure_domain for inst in fleet.instances.values()})
    grown = {kind: after[kind] - before.get(kind, 0) for kind in after}
    per_s = sum(grown.values()) / 5.0
    print("store calls a second:", round(per_s, 2), grown)
    # A failure domain writes one report a second and has two relays, each with two
    # watches; its first relay reads the lease of the planner every two seconds. The
    # planner adds a renewal, a read and a listing every two seconds.
    assert per_s <= domains * (1.0 + 4.0 / 25.0 + 0.5) + 1.5 + 1.0


async def test_malformed_policies_are_refused_with_a_line_number(fleet):
    base = max((await policy_numbers(fleet)).values())
    cases = {
        "fleet = \n": (1, "4001"),
        RAIL_POLICY.replace("cap = 0.10", "cap = 7.0"): (6, "4002"),
        RAIL_POLICY.replace("cap = 0.10", "capp = 0.1"): (6, "4002"),
        RAIL_POLICY.replace('service = "timetable", block', 'service = "tt", block'): (
            None,
            "4003",
        ),
        RAIL_POLICY.replace("[shift]", "[shift]\nhysteresis = 0.2"): (6, "4005"),
        "#" * 300_000: (1, "1002"),
    }
    for text, (line, code) in cases.items():
        status, output = await apply_policy(fleet, text, name="bad.toml")
        assert status in (20, 40), output
        assert f" {code} " in output
        if line is not None:
            assert f"bad.toml:{line}:" in output
    assert set((await policy_numbers(fleet)).values()) == {base}
