"""Bookings: routing to the home instance, running there, and resolving at the witness.

An idempotency key names two instances and their incarnations: the home, the only one
that may run the booking, and the witness, which records the claim before the run and
the outcome after it. The rules are in `flamingolift_decisions.bookings`.
"""

import asyncio

from expression import Error, Ok, Result
from flamingolift_decisions.bookings import begin_booking, finish_booking, resolve_key
from flamingolift_decisions.hashing import digest_request
from flamingolift_decisions.policyrules import rules_for
from flamingolift_model import Fault, ResultCode, peer
from flamingolift_wire.idempotency import parse_idempotency_key

from flamingolift_daemon.backendclient import Outcome, close_answer, send_request
from flamingolift_daemon.forwarding import (
    HOLD_SLACK_S,
    MAX_ATTEMPTS,
    CallerRequest,
    acquire_in_any_region,
)
from flamingolift_daemon.instance import start_task
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import call_peer, get_link
from flamingolift_daemon.slots import release_slot

__all__ = ["resolve_as_witness", "route_booking", "run_at_home"]

CLAIM_TIMEOUT_S = 1.0
COMPLETION_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 262_144
"""Largest body of an answer to a booking (bytes)."""
MAX_WITNESS_ANSWER_BYTES = 65_536
"""Largest body that is also sent to the witness (bytes)."""
ROUTING_SLACK_S = 0.2
"""Time beyond a booking's deadline to wait for another instance's answer (s)."""


async def route_booking(instance, booking) -> Result:
    """Routes a booking from the instance that received it to its home.

    If the home cannot be reached, the witness is asked for the key's outcome.

    Args:
        instance: Instance.
        booking: Booking message.

    Returns:
        Ok with a BookingAnswer, or Error with a Fault whose code says whether
        the booking was not run, was run, or may have been.
    """
    parsed = parse_idempotency_key(instance.ticket_keys, booking.key)
    if parsed.is_error():
        return parsed
    facts = parsed.ok
    if facts.service != booking.service:
        detail = f"the key is for {facts.service}"
        return Error(Fault(ResultCode.KEY_INVALID, detail))
    self_identity = (instance.cfg.instance_id, instance.incarnation)
    if (facts.home_id, facts.home_incarnation) == self_identity:
        return await run_at_home(instance, booking, facts)
    at_home = await _forward_to_home(instance, booking, facts)
    if at_home.is_ok() or at_home.error.code != ResultCode.PEER_UNREACHABLE:
        return at_home
    return await _resolve_at_witness(instance, booking, facts)


async def _forward_to_home(instance, booking, facts) -> Result:
    """Forwards a booking to its home."""
    link = await _link_to_incarnation(instance, facts.home_id, facts.home_incarnation)
    if link.is_error():
        return link
    return await call_peer(
        link.ok, booking, booking.deadline_ms / 1000.0 + ROUTING_SLACK_S
    )


async def _resolve_at_witness(instance, booking, facts) -> Result:
    """Asks the witness for the outcome of a key whose home cannot be reached."""
    count(instance.metrics, "bookings.resolved")
    digest = _booking_digest(booking)
    self_identity = (instance.cfg.instance_id, instance.incarnation)
    if (facts.witness_id, facts.witness_incarnation) == self_identity:
        return await resolve_as_witness(
            instance, booking.key, digest, facts, booking.deadline_ms / 1000.0
        )
    link = await _link_to_incarnation(
        instance, facts.witness_id, facts.witness_incarnation
    )
    if link.is_ok():
        message = peer.Resolve(
            key=booking.key, digest=digest, deadline_ms=booking.deadline_ms
        )
        timeout_s = booking.deadline_ms / 1000.0 + ROUTING_SLACK_S
        answer = await call_peer(link.ok, message, timeout_s)
        if answer.is_ok() or answer.error.code != ResultCode.PEER_UNREACHABLE:
            return answer
    detail = "neither the home nor the witness of the key can be reached"
    return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))


async def _link_to_incarnation(instance, name, incarnation) -> Result:
    """Returns a stream to an instance, or an error if its incarnation differs."""
    known = instance.view.members.get(name)
    entry = instance.view.entries.get(name)
    if entry is None or (known is not None and known.incarnation > incarnation):
        return Error(Fault(ResultCode.PEER_UNREACHABLE, f"{name} was replaced"))
    link = await get_link(instance, entry)
    if link.is_ok() and link.ok.remote_incarnation != incarnation:
        return Error(Fault(ResultCode.PEER_UNREACHABLE, f"{name} was replaced"))
    return link


def _booking_digest(booking):
    return digest_request(booking.service, booking.method, booking.target, booking.body)


async def run_at_home(instance, booking, facts) -> Result:
    """Runs a booking at its home, awaits a run in progress, or replays its answer.

    Args:
        instance: Instance.
        booking: Booking message.
        facts: KeyFacts of its key.

    Returns:
        Ok with a BookingAnswer, or Error with a Fault.
    """
    key, digest = booking.key, _booking_digest(booking)
    begin_result = begin_booking(
        instance.bookings, key, digest, facts, instance.clock.wall()
    )
    if begin_result.is_error():
        return begin_result
    if isinstance(begin_result.ok, peer.BookingAnswer):
        count(instance.metrics, "bookings.replayed")
        return Ok(_as_replay(begin_result.ok))
    if begin_result.ok == "run":
        future = asyncio.get_running_loop().create_future()
        instance.booking_futures[key] = future
        # A task of its own, so that the run outlives the caller's connection and a
        # resend finds its outcome.
        start_task(instance, _run_and_report(instance, booking, facts, future))
    else:
        future = instance.booking_futures[key]
    try:
        return await asyncio.wait_for(
            asyncio.shield(future), booking.deadline_ms / 1000.0 + ROUTING_SLACK_S
        )
    except TimeoutError:
        detail = "the booking is still in progress"
        return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))


def _as_replay(answer):
    return peer.BookingAnswer(
        status=answer.status, headers=answer.headers, body=answer.body, replayed=True
    )


async def _run_and_report(instance, booking, facts, future):
    """Runs a booking, records its outcome and reports it to the witness."""
    result = Error(Fault(ResultCode.OUTCOME_UNKNOWN, "the home instance stopped"))
    try:
        result = await _run_and_record(instance, booking, facts)
        code = ResultCode.OK if result.is_ok() else result.error.code
        answer = result.ok if result.is_ok() else None
        await _report_completion(instance, booking.key, facts, code, answer)
    finally:
        # Callers and resends wait for it, however the run has ended.
        if not future.done():
            future.set_result(result)


async def _run_and_record(instance, booking, facts) -> Result:
    """Runs a booking and records its outcome, unknown if the run raises."""
    result = Error(Fault(ResultCode.OUTCOME_UNKNOWN, "the home instance stopped"))
    try:
        result = await _claim_and_run(instance, booking, facts)
    except Exception as exc:
        logger.error("unexpected_exception", exc_info=exc)
        result = Error(Fault(ResultCode.OUTCOME_UNKNOWN, type(exc).__name__))
    finally:
        code = ResultCode.OK if result.is_ok() else result.error.code
        answer = result.ok if result.is_ok() else None
        finish_booking(instance.bookings, booking.key, code, answer)
        count(instance.metrics, f"bookings.{code.name.lower()}")
        instance.booking_futures.pop(booking.key, None)
    return result


async def _report_completion(instance, key, facts, code, answer):
    """Reports a booking's outcome to the witness, before the caller is answered."""
    if not facts.witness_id:
        return
    link = instance.links.get(facts.witness_id)
    if link is None or link.remote_incarnation != facts.witness_incarnation:
        return
    if answer is not None and len(answer.body) > MAX_WITNESS_ANSWER_BYTES:
        answer = None
    message = peer.Completion(key=key, code=code, answer=answer)
    await call_peer(link, message, COMPLETION_TIMEOUT_S)


async def _claim_and_run(instance, booking, facts) -> Result:
    """Claims the key and acquires a slot concurrently, then runs the booking."""
    deadline = instance.clock.now() + booking.deadline_ms / 1000.0
    request = _as_caller_request(instance, booking, deadline)
    if isinstance(request, Fault):
        return Error(request)
    claim = asyncio.ensure_future(_claim(instance, booking, facts))
    try:
        acquired = await _acquire_slot(instance, request, ())
        claimed = await claim
    finally:
        claim.cancel()
    if claimed.is_error():
        if acquired.is_ok():
            release_slot(instance, acquired.ok, "cancelled", 0.0)
        return claimed
    return await _send_with_retries(instance, request, acquired)


async def _claim(instance, booking, facts) -> Result:
    """Has the witness record the claim.

    Without its confirmation the booking is not run, and BOOKING_NOT_RUN makes the home
    refuse the key permanently.
    """
    if not facts.witness_id:
        return Ok(None)
    link = await _link_to_incarnation(
        instance, facts.witness_id, facts.witness_incarnation
    )
    if link.is_ok():
        message = peer.Claim(key=booking.key, digest=_booking_digest(booking))
        answer = await call_peer(link.ok, message, CLAIM_TIMEOUT_S)
        if answer.is_ok() and answer.ok.granted:
            return Ok(None)
        if answer.is_ok() and answer.ok.code == ResultCode.BOOKING_TABLE_FULL:
            return Error(Fault(ResultCode.BOOKING_TABLE_FULL, "at the witness", 5000))
    detail = "the witness did not record the claim"
    return Error(Fault(ResultCode.BOOKING_NOT_RUN, detail))


def _as_caller_request(instance, booking, deadline):
    """Returns the CallerRequest of a booking, or a Fault."""
    if instance.policy is None:
        return Fault(ResultCode.NOT_READY, "no policy")
    now = instance.clock.wall()
    rules = rules_for(instance.policy, booking.service, "0.0.0.0/24", "", now)
    if rules is None:
        return Fault(ResultCode.BAD_REQUEST, f"unknown service {booking.service}")
    fingerprint = _booking_digest(booking).hex()
    headers = [(h.name, h.value) for h in booking.headers]
    return CallerRequest(
        booking.service,
        rules,
        booking.method,
        booking.target,
        headers,
        booking.body,
        booking.tenant,
        fingerprint,
        deadline,
    )


async def _acquire_slot(instance, request, avoid) -> Result:
    left_s = request.deadline - instance.clock.now()
    wait_s = min(left_s, request.rules.queue_ms / 1000.0)
    hold_s = max(0.0, left_s) + HOLD_SLACK_S
    return await acquire_in_any_region(instance, request, hold_s, wait_s, avoid)


async def _send_with_retries(instance, request, acquired) -> Result:
    """Sends a claimed booking; retries it on another server only if it did not run."""
    avoid = []
    for _ in range(MAX_ATTEMPTS):
        if acquired.is_error():
            return acquired
        slot = acquired.ok
        result = await _send_once(instance, request, slot)
        if result.is_ok():
            return result
        outcome = result.error
        if outcome.sent:
            detail = f"{slot.server_id}: {outcome.name}"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail))
        avoid.append(slot.server_id)
        if request.deadline <= instance.clock.now():
            return Error(Fault(ResultCode.DEADLINE_BEFORE_RUN, "no time was left"))
        acquired = await _acquire_slot(instance, request, avoid)
    if acquired.is_ok():
        release_slot(instance, acquired.ok, "cancelled", 0.0)
    return Error(
        Fault(ResultCode.OVERLOADED, "no backend server accepted the booking", 1000)
    )


async def _send_once(instance, request, slot) -> Result:
    """Sends a booking once, over a new connection, and reads its whole answer."""
    started_at = instance.clock.now()
    outcome_name = "cancelled"
    try:
        result = await send_request(
            instance.backends,
            slot,
            request.method,
            request.target,
            request.headers,
            request.body,
            timeout_s=request.deadline - started_at,
            unpooled=True,
        )
        if result.is_error():
            outcome_name = result.error.name
            return result
        read = await _read_whole(result.ok, request.deadline - instance.clock.now())
        outcome_name = "ok" if read.is_ok() else read.error.name
        return read
    finally:
        elapsed_ms = (instance.clock.now() - started_at) * 1000.0
        release_slot(instance, slot, outcome_name, elapsed_ms)


async def _read_whole(answer, timeout_s) -> Result:
    """Reads a whole answer; if it is truncated or too large, the outcome is unknown."""
    body = bytearray()
    fault = Fault(ResultCode.OUTCOME_UNKNOWN, "the answer was truncated or too large")
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            async for chunk in answer.resp.content.iter_any():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    return Error(Outcome("ok", True, fault))
    except TimeoutError:
        return Error(Outcome("timeout", True, fault))
    except Exception:
        return Error(Outcome("crashed", True, fault))
    finally:
        await close_answer(answer)
    headers = [peer.Header(name=n, value=v) for n, v in answer.headers]
    return Ok(
        peer.BookingAnswer(status=answer.status, headers=headers, body=bytes(body))
    )


async def resolve_as_witness(instance, key, digest, facts, timeout_s) -> Result:
    """Resolves a key at its witness, waiting for the home to report the outcome.

    Args:
        instance: Instance.
        key: Idempotency key.
        digest: Digest of the booking.
        facts: KeyFacts of the key.
        timeout_s: Longest wait (s).

    Returns:
        Ok with the BookingAnswer that the witness keeps, or Error with a Fault.
    """
    table = instance.bookings
    resolved = resolve_key(table, key, digest, facts, instance.clock.wall())
    if resolved.is_ok() and resolved.ok == "wait":
        future = instance.booking_futures.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            instance.booking_futures[key] = future
        try:
            await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            detail = "the home claimed the booking and has not reported its outcome"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))
        resolved = resolve_key(table, key, digest, facts, instance.clock.wall())
        if resolved.is_ok() and resolved.ok == "wait":
            detail = "the booking is in progress"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))
    return resolved.map(_as_replay)
