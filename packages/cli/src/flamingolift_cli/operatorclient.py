"""Client of the live list and of the instances' operator API."""

import asyncio
import json
import time

import aiohttp
from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode
from flamingolift_model.plan import LiveList
from flamingolift_wire.bodies import read_body
from flamingolift_wire.codec import decode_document
from flamingolift_wire.storeclient import watch_live_list

__all__ = ["query_instance", "query_instances", "read_live_list", "wait_until_in_force"]

QUERY_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1
MAX_PARALLEL = 64
"""Limit on concurrent queries to instances."""
MAX_PAGE_BYTES = 4 << 20
"""Size limit of a page (bytes), `MAX_PARALLEL` of which may be read at once."""


async def read_live_list(store) -> Result:
    """Reads the platform's live list; Ok holds a LiveList."""
    listed = await watch_live_list(store, -1, 0.0)
    if listed.is_error():
        return listed
    if not listed.ok:
        return Ok(LiveList(number=0))
    return decode_document(LiveList, listed.ok)


async def query_instance(session, entry, path, operator_key) -> Result:
    """Gets one page of an instance's operator API.

    Args:
        session: aiohttp session.
        entry: InstanceEntry.
        path: Path and query.
        operator_key: Operator key (hex).

    Returns:
        Ok with the page as plain values, or Error with the instance's Fault, or
        with PEER_UNREACHABLE.
    """
    url = f"http://{entry.host}:{entry.operator_port}{path}"
    headers = {"Authorization": f"Bearer {operator_key}"}
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
    try:
        async with session.get(url, headers=headers, timeout=timeout) as resp:
            page = json.loads(await read_body(resp, MAX_PAGE_BYTES))
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
        detail = f"{entry.instance_id}: {type(exc).__name__}"
        return Error(Fault(ResultCode.PEER_UNREACHABLE, detail))
    if resp.status != 200:
        code = page.get("code", ResultCode.INTERNAL) if isinstance(page, dict) else 5900
        detail = page.get("detail", "") if isinstance(page, dict) else ""
        return Error(Fault(code, f"{entry.instance_id}: {detail}"))
    return Ok(page)


async def query_instances(session, entries, path, operator_key):
    """Gets one page of many instances, at most `MAX_PARALLEL` at a time.

    Returns:
        Map of instance name to its Result.
    """
    semaphore = asyncio.Semaphore(MAX_PARALLEL)

    async def query_bounded(entry):
        async with semaphore:
            return await query_instance(session, entry, path, operator_key)

    answers = await asyncio.gather(*(query_bounded(entry) for entry in entries))
    return {e.instance_id: a for e, a in zip(entries, answers, strict=True)}


async def wait_until_in_force(session, entries, number, operator_key, timeout_s):
    """Waits until a policy is in force on every instance.

    Args:
        session: aiohttp session.
        entries: List of InstanceEntry.
        number: Policy number.
        operator_key: Operator key (hex).
        timeout_s: Longest wait (s).

    Returns:
        Map of instance name to the policy number that it has, or to the error of
        the query, for each instance where the policy is not in force; empty when
        all have it.
    """
    deadline = time.monotonic() + timeout_s
    pending = list(entries)
    while True:
        answers = await query_instances(session, pending, "/v1/status", operator_key)
        late = {}
        for name, answer in answers.items():
            if answer.is_error():
                late[name] = answer.error.detail
            elif answer.ok["versions"].get("policy", 0) < number:
                late[name] = answer.ok["versions"].get("policy", 0)
        if not late or time.monotonic() > deadline:
            return late
        pending = [entry for entry in pending if entry.instance_id in late]
        await asyncio.sleep(POLL_INTERVAL_S)
