"""Forwards a caller's request to a backend server, with retries and hedging."""

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
from flamingolift_daemon.callerrequest import CallerRequest, ForwardedAnswer
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import PEER_BACKOFF_S
from flamingolift_daemon.slots import acquire_slot, release_slot
from flamingolift_daemon.waits import bounded_wait

__all__ = [
    "CallerRequest",
    "ForwardedAnswer",
    "acquire_in_any_region",
    "discard_answer",
    "forward_request",
    "get_retry_budget",
    "hold_time_s",
    "regions_to_try",
    "try_once",
]

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
MAX_ATTEMPTS = 3
HEDGE_DELAY_SHARE = 0.5
"""Share of the time left after which a look-up is hedged, for services that set no
hedging delay; an attempt cancelled after it counts as timed out."""
HOLD_SLACK_S = 1.0
"""Time beyond the deadline for which a slot is held (s)."""
DOWNLOAD_HOLD_S = 300.0
"""Time beyond the deadline for which a download holds its slot (s)."""
SPILLOVER_DELAY_S = 0.1
"""Wait in the queue of the instance's own region before others are tried (s)."""
NO_SERVERS_RETRY_S = PEER_BACKOFF_S + 0.5
"""Longest time for which a request is retried while no backend server is known (s).
It exceeds `PEER_BACKOFF_S`, the back-off from a peer that was not yet listening."""
NO_SERVERS_PAUSE_S = 0.1
"""Pause between these retries (s)."""
ACQUIRE_SLACK_S = 0.2
"""Time beyond a request's deadline for a refusal of its slot to arrive (s)."""
_NOT_QUEUED = frozenset((ResultCode.NO_BACKEND, ResultCode.NOT_READY))
REGION_BACKOFF_S = 0.05
"""Time for which a region that refused a request is not tried again (s)."""


def get_retry_budget(instance, request):
    """Returns the retry budget of a service, with the policy's current ratio."""
    budget = instance.budgets.get(request.service)
    ratio = request.rules.retry_budget
    if budget is None:
        budget = instance.budgets[request.service] = RetryBudget(ratio)
    if budget.ratio != ratio:
        set_ratio(budget, ratio)
    return budget


def regions_to_try(instance, service):
    """Returns the regions in which to try for a slot, the instance's own first.

    Args:
        instance: Instance.
        service: Service name.

    Returns:
        List of region names: the instance's own and those that have backend servers of
        the service, except regions that refused within `REGION_BACKOFF_S`.
    """
    own = instance.cfg.region
    now = instance.clock.now()
    servers = instance.live_list.backend_servers if instance.live_list else []
    others = {e.region for e in servers if e.service == service and e.region != own}
    open_regions = [
        region
        for region in sorted(others)
        if instance.backoff_until.get((service, region), 0.0) <= now
    ]
    return [own, *open_regions]


async def acquire_in_any_region(instance, request, hold_s, wait_s, avoid) -> Result:
    """Acquires a slot in the instance's region, or in another after a short wait.

    A dispatcher without a policy or backend servers refuses at once instead of
    queueing. Such a refusal is retried for up to `NO_SERVERS_RETRY_S`, because
    instances learn of the policy, the servers and each other within a short time.
    The wait ends soon after the request's deadline, and when the instance runs out of
    time to stop.

    Args:
        instance: Instance.
        request: CallerRequest.
        hold_s: Longest time that the slot is held (s).
        wait_s: Longest wait in the queue of the instance's region (s).
        avoid: Backend servers not to use.

    Returns:
        Ok with a Slot, or Error with a Fault; on an error nothing was run.
    """
    left_s = max(wait_s, request.deadline - instance.clock.now())
    try:
        async with bounded_wait(instance.slot_waits, left_s + ACQUIRE_SLACK_S):
            return await _acquire_with_retries(instance, request, hold_s, wait_s, avoid)
    except TimeoutError:
        if instance.slot_waits.ended:
            return Error(Fault(ResultCode.DRAINING, "the instance has stopped", 1000))
        detail = "no dispatcher answered in time"
        return Error(Fault(ResultCode.DEADLINE_BEFORE_RUN, detail))


async def _acquire_with_retries(instance, request, hold_s, wait_s, avoid) -> Result:
    """Acquires a slot as `acquire_in_any_region`, without its bound."""
    retry_until = instance.clock.now() + min(wait_s, NO_SERVERS_RETRY_S)
    while True:
        left_s = max(0.0, wait_s)
        acquired = await _acquire_once(instance, request, hold_s, left_s, avoid)
        if acquired.is_ok() or acquired.error.code not in _NOT_QUEUED:
            return acquired
        if instance.clock.now() + NO_SERVERS_PAUSE_S >= retry_until:
            return acquired
        await asyncio.sleep(NO_SERVERS_PAUSE_S)
        wait_s -= NO_SERVERS_PAUSE_S


async def _acquire_once(instance, request, hold_s, wait_s, avoid) -> Result:
    """Tries to acquire a slot in each region once.

    The place in the queue of the instance's region is kept while other regions are
    tried, which either grant a slot at once or refuse.

    Args:
        instance: Instance.
        request: CallerRequest.
        hold_s: Longest time that the slot is held (s).
        wait_s: Longest wait in the queue of the instance's region (s).
        avoid: Backend servers not to use.

    Returns:
        Ok with a Slot, or Error with a Fault; on an error nothing was run.
    """
    own, *others = regions_to_try(instance, request.service)

    def acquire_in(region, queue_wait_s):
        return acquire_slot(
            instance,
            request.service,
            region,
            tenant=request.tenant,
            fingerprint=request.fingerprint,
            wait_s=queue_wait_s,
            hold_s=hold_s,
            avoid=avoid,
        )

    own_acquisition = asyncio.ensure_future(acquire_in(own, wait_s))
    try:
        await asyncio.wait({own_acquisition}, timeout=SPILLOVER_DELAY_S)
        if own_acquisition.done() and _is_final(own_acquisition.result()):
            return own_acquisition.result()
        for region in others:
            acquired = await acquire_in(region, 0.0)
            if acquired.is_ok():
                count(instance.metrics, "slots.other_region")
                await _cancel_acquire(instance, own_acquisition)
                return acquired
            until = instance.clock.now() + REGION_BACKOFF_S
            instance.backoff_until[request.service, region] = until
        return _as_caller_fault(await asyncio.shield(own_acquisition))
    except asyncio.CancelledError:
        await _cancel_acquire(instance, own_acquisition)
        raise


def _is_final(result):
    """Returns whether the result of the instance's region rules out trying others."""
    return result.is_ok() or result.error.code == ResultCode.QUARANTINED


async def _cancel_acquire(instance, own_acquisition):
    """Cancels an acquisition; a slot granted in the meantime is released."""
    own_acquisition.cancel()
    result = (await asyncio.gather(own_acquisition, return_exceptions=True))[0]
    if isinstance(result, Result) and result.is_ok():
        release_slot(instance, result.ok, "cancelled", 0.0)


def _as_caller_fault(result):
    """Maps PEER_UNREACHABLE, a code between instances, to NO_BACKEND for callers."""
    if result.is_ok() or result.error.code != ResultCode.PEER_UNREACHABLE:
        return result
    return Error(Fault(ResultCode.NO_BACKEND, result.error.detail, 1000))


def hold_time_s(instance, request):
    """Returns the longest time for which a request may hold a slot (s)."""
    left_s = max(0.0, request.deadline - instance.clock.now())
    if request.rules.traffic_class == "download":
        return left_s + DOWNLOAD_HOLD_S
    return left_s + HOLD_SLACK_S


async def try_once(instance, request, slot, timeout_s) -> Result:
    """Sends a request on a slot; the slot is released unless an answer arrives."""
    started_at = instance.clock.now()
    late_at = started_at + HEDGE_DELAY_SHARE * timeout_s
    outcome_name, result = "cancelled", None
    try:
        result = await send_request(
            instance.backends,
            slot,
            request.method,
            request.target,
            request.headers,
            request.body,
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
                # Cancelled late, because another attempt was faster. It is reported
                # as a timeout, and the connections to its server are retired, since
                # the server may have stopped answering on them.
                outcome_name = "timeout"
                retire_connections(instance.backends, slot.server_id)
            release_slot(instance, slot, outcome_name, (now - started_at) * 1000.0)


async def _try_with_hedge(instance, request, slot, timeout_s) -> Result:
    """Sends a request, and a hedged copy to another server when it is slow."""
    first = asyncio.ensure_future(try_once(instance, request, slot, timeout_s))
    attempts = {first}
    winner = None
    try:
        delay_s = request.rules.hedge_after_ms / 1000.0 or HEDGE_DELAY_SHARE * timeout_s
        await asyncio.wait(attempts, timeout=delay_s)
        if not first.done() and withdraw(get_retry_budget(instance, request)):
            hold_s = hold_time_s(instance, request)
            avoid = [slot.server_id]
            second = await acquire_in_any_region(instance, request, hold_s, 0.0, avoid)
            if second.is_ok():
                count(instance.metrics, "requests.hedged")
                left_s = request.deadline - instance.clock.now()
                hedge = try_once(instance, request, second.ok, left_s)
                attempts.add(asyncio.ensure_future(hedge))
        winner = await _first_answer(attempts)
        return winner
    finally:
        for attempt in attempts:
            attempt.cancel()
        for loser in await asyncio.gather(*attempts, return_exceptions=True):
            if isinstance(loser, Result) and loser.is_ok() and loser is not winner:
                await discard_answer(instance, loser.ok)


async def _first_answer(attempts):
    """Returns the first answer, or an error when every attempt failed.

    The error of an attempt that was sent takes precedence over that of one that was
    not, so that a caller is never told "not run" about a request that may have run.
    """
    pending, failed = set(attempts), None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            result = attempt.result()
            if result.is_ok():
                return result
            if failed is None or not failed.error.sent:
                failed = result
    return failed


async def discard_answer(instance, forwarded):
    """Closes an answer that will not be read, and releases its slot."""
    release_slot(instance, forwarded.slot, "cancelled", 0.0)
    await close_answer(forwarded.answer)


async def forward_request(instance, request) -> Result:
    """Sends a request until a backend server answers, within the retry budget.

    A request is retried only when it did not run, or when it is idempotent.

    Args:
        instance: Instance.
        request: CallerRequest; it is retried only if its body is bytes or None,
            since a streamed body can be read only once.

    Returns:
        Ok with a ForwardedAnswer whose slot is still held, or Error with a Fault.
        The Fault is that of an attempt that may have run, if there was one.
    """
    idempotent = request.method in IDEMPOTENT_METHODS
    replayable = request.body is None or isinstance(request.body, bytes)
    budget = get_retry_budget(instance, request)
    deposit(budget)
    avoid, may_have_run, fault = [], False, None
    for attempt in range(MAX_ATTEMPTS):
        now = instance.clock.now()
        left_s = request.deadline - now
        if is_quarantined(instance.crash_log, request.fingerprint, now):
            fault = fault if may_have_run else _quarantine_fault(instance, request)
            break
        if left_s <= 0.0:
            break
        wait_s = min(left_s, request.rules.queue_ms / 1000.0)
        hold_s = hold_time_s(instance, request)
        acquired = await acquire_in_any_region(instance, request, hold_s, wait_s, avoid)
        if acquired.is_error():
            fault = fault if may_have_run else acquired.error
            break
        left_s = request.deadline - instance.clock.now()
        is_lookup = request.rules.traffic_class == "lookup"
        hedged = idempotent and is_lookup and attempt == 0
        send = _try_with_hedge if hedged else try_once
        result = await send(instance, request, acquired.ok, left_s)
        if result.is_ok():
            return result
        outcome = result.error
        if outcome.sent or not may_have_run:
            fault = outcome.fault
        may_have_run = may_have_run or outcome.sent
        avoid.append(acquired.ok.server_id)
        may_repeat = (idempotent or not outcome.sent) and replayable
        if not may_repeat or not withdraw(budget):
            break
        count(instance.metrics, "requests.retried")
    return Error(fault or Fault(ResultCode.DEADLINE_BEFORE_RUN, "no time was left"))


def _quarantine_fault(instance, request):
    """Returns the Fault of a quarantined request, with the time left as retry-after."""
    now = instance.clock.now()
    left_ms = int(
        remaining_quarantine_s(instance.crash_log, request.fingerprint, now) * 1000
    )
    return Fault(ResultCode.QUARANTINED, f"fingerprint {request.fingerprint}", left_ms)
