"""The path of an idempotent request: slot, backend server, whole answer."""

import asyncio

from expression import Error, Ok, Result
from flamingolift_decisions.budget import (
    RetryBudget,
    deposit,
    set_ratio,
    withdraw,
)
from flamingolift_decisions.quarantine import is_quarantined, remaining_quarantine_s
from flamingolift_model import Fault, ResultCode

from flamingolift_daemon.backendclient import (
    close_answer,
    retire_connections,
    send_request,
)
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import AVOID_S
from flamingolift_daemon.slots import acquire_slot, release_slot

__all__ = [
    "Forward",
    "ForwardedAnswer",
    "acquire_anywhere",
    "budget_of",
    "discard_answer",
    "forward_request",
    "hold_time_s",
    "regions_to_try",
    "try_once",
]

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
MAX_TRIES = 3
LATE_SHARE = 0.5
"""Share of the deadline after which a look-up is late enough for a second try."""
HOLD_SLACK_S = 1.0
DOWNLOAD_HOLD_S = 300.0
SPILL_AFTER_S = 0.1
"""Wait in the own region's queue after which other regions are asked (s)."""
UNKNOWN_SERVERS_S = AVOID_S + 0.5
"""Time for which a region without known backend servers is asked again (s): an
instance that was dialled before it was up is passed over for `AVOID_S`."""
ASK_AGAIN_S = 0.1
"""Pause before it is asked again (s)."""
_NOT_QUEUED = frozenset((ResultCode.NO_BACKEND, ResultCode.NOT_READY))
REGION_REFUSAL_S = 0.05
"""Time for which a region that refused is not asked again (s)."""


class Forward:
    """One caller's request on its way to a backend server.

    Attributes:
        service: Service name.
        rules: ServiceRules in force.
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: List of end-to-end (name, value).
        body: Bytes, an asynchronous iterator of bytes, or None.
        tenant: Tenant.
        fingerprint: Fingerprint of the request.
        deadline: Time by which the head must have arrived (s, monotonic).
    """

    __slots__ = (
        "body",
        "deadline",
        "fingerprint",
        "headers",
        "method",
        "rules",
        "service",
        "target",
        "tenant",
    )

    def __init__(
        self,
        service,
        rules,
        method,
        target,
        headers,
        body,
        tenant,
        fingerprint,
        deadline,
    ):
        self.service = service
        self.rules = rules
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.tenant = tenant
        self.fingerprint = fingerprint
        self.deadline = deadline


class ForwardedAnswer:
    """An answer under way, with the slot that it occupies.

    Attributes:
        answer: BackendAnswer.
        slot: Slot.
        started_at: Time at which the request was sent (s, monotonic).
    """

    __slots__ = ("answer", "slot", "started_at")

    def __init__(self, answer, slot, started_at):
        self.answer = answer
        self.slot = slot
        self.started_at = started_at


def budget_of(instance, forward):
    """Returns the retry budget of a service, with the ratio in force."""
    budget = instance.budgets.get(forward.service)
    ratio = forward.rules.retry_budget
    if budget is None:
        budget = instance.budgets[forward.service] = RetryBudget(ratio)
    if budget.ratio != ratio:
        set_ratio(budget, ratio)
    return budget


def regions_to_try(instance, service):
    """Returns the regions whose pools to ask, the own one first.

    Args:
        instance: Instance.
        service: Service name.

    Returns:
        List of region names that have backend servers of the service, without
        other regions that refused a moment ago.
    """
    own = instance.cfg.region
    now = instance.clock.now()
    servers = instance.live_list.backend_servers if instance.live_list else []
    others = {e.region for e in servers if e.service == service and e.region != own}
    open_regions = [
        region
        for region in sorted(others)
        if instance.unreachable.get((service, region), 0.0) <= now
    ]
    return [own, *open_regions]


async def acquire_anywhere(instance, forward, hold_s, wait_s, avoid) -> Result:
    """Gets a slot in the own region, or in another one when that takes long.

    A region that knows no backend server yet does not queue, so that it is asked
    again for a short while: instances learn of the policy, the servers and each
    other within moments.

    Args:
        instance: Instance.
        forward: Forward.
        hold_s: Longest time that the slot is held (s).
        wait_s: Longest wait in the own region's queue (s).
        avoid: Backend servers not to use.

    Returns:
        Ok with a Slot, or Error with a Fault: then nothing was run.
    """
    ask_until = instance.clock.now() + min(wait_s, UNKNOWN_SERVERS_S)
    while True:
        left_s = max(0.0, wait_s)
        got = await _acquire_once(instance, forward, hold_s, left_s, avoid)
        if got.is_ok() or got.error.code not in _NOT_QUEUED:
            return got
        if instance.clock.now() + ASK_AGAIN_S >= ask_until:
            return got
        await asyncio.sleep(ASK_AGAIN_S)
        wait_s -= ASK_AGAIN_S


async def _acquire_once(instance, forward, hold_s, wait_s, avoid) -> Result:
    """Asks each region once.

    Args:
        instance: Instance.
        forward: Forward.
        hold_s: Longest time that the slot is held (s).
        wait_s: Longest wait in the own region's queue (s).
        avoid: Backend servers not to use.

    Returns:
        Ok with a Slot, or Error with a Fault: then nothing was run. The place in
        the own queue is kept while other regions are asked, which never queue.
    """
    own, *others = regions_to_try(instance, forward.service)

    def ask(region, patience_s):
        return acquire_slot(
            instance,
            forward.service,
            region,
            tenant=forward.tenant,
            fingerprint=forward.fingerprint,
            wait_s=patience_s,
            hold_s=hold_s,
            avoid=avoid,
        )

    waiting = asyncio.ensure_future(ask(own, wait_s))
    try:
        await asyncio.wait({waiting}, timeout=SPILL_AFTER_S)
        if waiting.done() and _is_final(waiting.result()):
            return waiting.result()
        for region in others:
            got = await ask(region, 0.0)
            if got.is_ok():
                count(instance.metrics, "slots.other_region")
                await _give_up(instance, waiting)
                return got
            until = instance.clock.now() + REGION_REFUSAL_S
            instance.unreachable[forward.service, region] = until
        return _as_not_run(await asyncio.shield(waiting))
    except asyncio.CancelledError:
        await _give_up(instance, waiting)
        raise


def _is_final(result):
    """Returns whether other regions need not be asked."""
    return result.is_ok() or result.error.code == ResultCode.QUARANTINED


async def _give_up(instance, waiting):
    """Cancels a wait; a slot that arrived at the same moment is given back."""
    waiting.cancel()
    result = (await asyncio.gather(waiting, return_exceptions=True))[0]
    if isinstance(result, Result) and result.is_ok():
        release_slot(instance, result.ok, "cancelled", 0.0)


def _as_not_run(result):
    """Names a dispatcher that cannot be reached by the caller's code for it."""
    if result.is_ok() or result.error.code != ResultCode.PEER_UNREACHABLE:
        return result
    return Error(Fault(ResultCode.NO_BACKEND, result.error.detail, 1000))


def hold_time_s(instance, forward):
    """Returns the longest time for which the request may hold a slot (s)."""
    left_s = max(0.0, forward.deadline - instance.clock.now())
    if forward.rules.traffic_class == "download":
        return left_s + DOWNLOAD_HOLD_S
    return left_s + HOLD_SLACK_S


async def try_once(instance, forward, slot, timeout_s) -> Result:
    """Sends the request on a slot; the slot is released on an error."""
    started_at = instance.clock.now()
    late_at = started_at + LATE_SHARE * timeout_s
    outcome_name, result = "cancelled", None
    try:
        result = await send_request(
            instance.backends,
            slot,
            forward.method,
            forward.target,
            forward.headers,
            forward.body,
            timeout_s=timeout_s,
        )
        if result.is_ok():
            return Ok(ForwardedAnswer(result.ok, slot, started_at))
        outcome_name = result.error.name
        return result
    finally:
        if result is None or result.is_error():
            now = instance.clock.now()
            if result is None and now >= late_at:
                # Another try was faster. To the dispatcher this one timed out, and
                # what is still open to the server may have gone silent.
                outcome_name = "timeout"
                retire_connections(instance.backends, slot.server_id)
            release_slot(instance, slot, outcome_name, (now - started_at) * 1000.0)


async def _try_with_hedge(instance, forward, slot, timeout_s) -> Result:
    """Sends the request, and once more elsewhere when the answer is late."""
    first = asyncio.ensure_future(try_once(instance, forward, slot, timeout_s))
    runs = {first}
    winner = None
    try:
        delay_s = forward.rules.hedge_after_ms / 1000.0 or LATE_SHARE * timeout_s
        await asyncio.wait(runs, timeout=delay_s)
        if not first.done() and withdraw(budget_of(instance, forward)):
            hold_s = hold_time_s(instance, forward)
            avoid = [slot.server_id]
            second = await acquire_anywhere(instance, forward, hold_s, 0.0, avoid)
            if second.is_ok():
                count(instance.metrics, "requests.hedged")
                left_s = forward.deadline - instance.clock.now()
                hedge = try_once(instance, forward, second.ok, left_s)
                runs.add(asyncio.ensure_future(hedge))
        winner = await _first_success(runs)
        return winner
    finally:
        for run in runs:
            run.cancel()
        for loser in await asyncio.gather(*runs, return_exceptions=True):
            if isinstance(loser, Result) and loser.is_ok() and loser is not winner:
                await discard_answer(instance, loser.ok)


async def _first_success(runs):
    """Returns the first answer, or an error when every run failed.

    The error of a run that was sent goes before that of one that was not, so that
    the caller is never told "not run" about a request that may have run.
    """
    waiting, failed = set(runs), None
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for run in done:
            result = run.result()
            if result.is_ok():
                return result
            if failed is None or not failed.error.sent:
                failed = result
    return failed


async def discard_answer(instance, forwarded):
    """Ends an answer that nobody will read, and its slot."""
    release_slot(instance, forwarded.slot, "cancelled", 0.0)
    await close_answer(forwarded.answer)


async def forward_request(instance, forward) -> Result:
    """Gets the head of a backend server's answer, within the retry budget.

    Args:
        instance: Instance.
        forward: Forward; its body can be sent only once unless it is bytes or
            None.

    Returns:
        Ok with a ForwardedAnswer whose slot is still held, or Error with a
        Fault. A request is sent again only when it did not run, or when it is
        idempotent.
    """
    idempotent = forward.method in IDEMPOTENT_METHODS
    replayable = forward.body is None or isinstance(forward.body, bytes)
    budget = budget_of(instance, forward)
    deposit(budget)
    avoid, ran, fault = [], False, None
    for attempt in range(MAX_TRIES):
        now = instance.clock.now()
        left_s = forward.deadline - now
        if is_quarantined(instance.crash_log, forward.fingerprint, now):
            fault = fault if ran else _quarantine_fault(instance, forward)
            break
        if left_s <= 0.0:
            break
        wait_s = min(left_s, forward.rules.queue_ms / 1000.0)
        hold_s = hold_time_s(instance, forward)
        got = await acquire_anywhere(instance, forward, hold_s, wait_s, avoid)
        if got.is_error():
            fault = fault if ran else got.error
            break
        left_s = forward.deadline - instance.clock.now()
        is_lookup = forward.rules.traffic_class == "lookup"
        hedged = idempotent and is_lookup and attempt == 0
        send = _try_with_hedge if hedged else try_once
        result = await send(instance, forward, got.ok, left_s)
        if result.is_ok():
            return result
        outcome = result.error
        if outcome.sent or not ran:
            fault = outcome.fault
        ran = ran or outcome.sent
        avoid.append(got.ok.server_id)
        may_repeat = (idempotent or not outcome.sent) and replayable
        if not may_repeat or not withdraw(budget):
            break
        count(instance.metrics, "requests.retried")
    return Error(fault or Fault(ResultCode.DEADLINE_BEFORE_RUN, "no time was left"))


def _quarantine_fault(instance, forward):
    """Returns the refusal of a quarantined request, with the time left."""
    now = instance.clock.now()
    left_ms = int(
        remaining_quarantine_s(instance.crash_log, forward.fingerprint, now) * 1000
    )
    return Fault(ResultCode.QUARANTINED, f"fingerprint {forward.fingerprint}", left_ms)
