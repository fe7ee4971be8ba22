"""Bookings: the home that runs them, and what others ask of home and witness."""

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
    MAX_TRIES,
    Forward,
    acquire_anywhere,
)
from flamingolift_daemon.instance import start_task
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import call_peer, get_link
from flamingolift_daemon.slots import release_slot

__all__ = ["resolve_here", "run_at_home", "take_booking"]

CLAIM_TIMEOUT_S = 1.0
COMPLETION_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 262_144
KEPT_ANSWER_BYTES = 65_536
ROUTE_SLACK_S = 0.2


async def take_booking(instance, booking) -> Result:
    """Takes a booking at whichever instance the caller has sent it to.

    Args:
        instance: Instance.
        booking: Booking of the schema.

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
    me = (instance.cfg.instance_id, instance.incarnation)
    if (facts.home_id, facts.home_incarnation) == me:
        return await run_at_home(instance, booking, facts)
    at_home = await _ask_home(instance, booking, facts)
    if at_home.is_ok() or at_home.error.code != ResultCode.PEER_UNREACHABLE:
        return at_home
    return await _ask_witness(instance, booking, facts)


async def _ask_home(instance, booking, facts) -> Result:
    """Sends a booking on to its home."""
    link = await _link_to(instance, facts.home_id, facts.home_incarnation)
    if link.is_error():
        return link
    return await call_peer(
        link.ok, booking, booking.deadline_ms / 1000.0 + ROUTE_SLACK_S
    )


async def _ask_witness(instance, booking, facts) -> Result:
    """Asks the witness for the fate of a key whose home does not answer."""
    count(instance.metrics, "bookings.resolved")
    digest = _digest_of(booking)
    me = (instance.cfg.instance_id, instance.incarnation)
    if (facts.witness_id, facts.witness_incarnation) == me:
        return await resolve_here(
            instance, booking.key, digest, facts, booking.deadline_ms / 1000.0
        )
    link = await _link_to(instance, facts.witness_id, facts.witness_incarnation)
    if link.is_ok():
        message = peer.Resolve(
            key=booking.key, digest=digest, deadline_ms=booking.deadline_ms
        )
        timeout_s = booking.deadline_ms / 1000.0 + ROUTE_SLACK_S
        answer = await call_peer(link.ok, message, timeout_s)
        if answer.is_ok() or answer.error.code != ResultCode.PEER_UNREACHABLE:
            return answer
    detail = "neither instance named in the key can be asked"
    return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))


async def _link_to(instance, name, incarnation) -> Result:
    """Returns a stream to one incarnation of an instance."""
    known = instance.view.members.get(name)
    entry = instance.view.entries.get(name)
    if entry is None or (known is not None and known.incarnation > incarnation):
        return Error(Fault(ResultCode.PEER_UNREACHABLE, f"{name} was replaced"))
    link = await get_link(instance, entry)
    if link.is_ok() and link.ok.remote_incarnation != incarnation:
        return Error(Fault(ResultCode.PEER_UNREACHABLE, f"{name} was replaced"))
    return link


def _digest_of(booking):
    return digest_request(booking.service, booking.method, booking.target, booking.body)


async def run_at_home(instance, booking, facts) -> Result:
    """Runs a booking at its home, waits for it, or repeats its answer.

    Args:
        instance: Instance.
        booking: Booking message.
        facts: KeyFacts of its key.

    Returns:
        Ok with a BookingAnswer, or Error with a Fault.
    """
    key, digest = booking.key, _digest_of(booking)
    begun = begin_booking(instance.bookings, key, digest, facts, instance.clock.wall())
    if begun.is_error():
        return begun
    if isinstance(begun.ok, peer.BookingAnswer):
        count(instance.metrics, "bookings.replayed")
        return Ok(_as_replay(begun.ok))
    if begun.ok == "run":
        future = asyncio.get_running_loop().create_future()
        instance.booking_waits[key] = future
        # The run outlives the caller's connection: a resend finds its outcome.
        start_task(instance, _run_and_tell(instance, booking, facts, future))
    else:
        future = instance.booking_waits[key]
    try:
        return await asyncio.wait_for(
            asyncio.shield(future), booking.deadline_ms / 1000.0 + ROUTE_SLACK_S
        )
    except TimeoutError:
        detail = "the booking is still in progress"
        return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))


def _as_replay(answer):
    return peer.BookingAnswer(
        status=answer.status, headers=answer.headers, body=answer.body, replayed=True
    )


async def _run_and_tell(instance, booking, facts, future):
    """Runs a claimed booking, records its end and tells the witness."""
    result = Error(Fault(ResultCode.OUTCOME_UNKNOWN, "the home stopped"))
    try:
        result = await _claim_and_run(instance, booking, facts)
    finally:
        code = ResultCode.OK if result.is_ok() else result.error.code
        answer = result.ok if result.is_ok() else None
        finish_booking(instance.bookings, booking.key, code, answer)
        count(instance.metrics, f"bookings.{code.name.lower()}")
        instance.booking_waits.pop(booking.key, None)
    await _tell_witness(instance, booking.key, facts, code, answer)
    if not future.done():
        future.set_result(result)


async def _tell_witness(instance, key, facts, code, answer):
    """Tells the witness how a booking ended, before the caller hears of it."""
    if not facts.witness_id:
        return
    link = instance.links.get(facts.witness_id)
    if link is None or link.remote_incarnation != facts.witness_incarnation:
        return
    if answer is not None and len(answer.body) > KEPT_ANSWER_BYTES:
        answer = None
    message = peer.Completion(key=key, code=code, answer=answer)
    await call_peer(link, message, COMPLETION_TIMEOUT_S)


async def _claim_and_run(instance, booking, facts) -> Result:
    """Claims the key and gets a slot side by side, then runs the booking."""
    deadline = instance.clock.now() + booking.deadline_ms / 1000.0
    forward = _as_forward(instance, booking, deadline)
    if isinstance(forward, Fault):
        return Error(forward)
    claim = asyncio.ensure_future(_claim(instance, booking, facts))
    try:
        got = await _acquire(instance, forward, ())
        claimed = await claim
    finally:
        claim.cancel()
    if claimed.is_error():
        if got.is_ok():
            release_slot(instance, got.ok, "cancelled", 0.0)
        return claimed
    return await _run(instance, forward, got)


async def _claim(instance, booking, facts) -> Result:
    """Asks the witness; without its word the key is refused for good."""
    if not facts.witness_id:
        return Ok(None)
    link = await _link_to(instance, facts.witness_id, facts.witness_incarnation)
    if link.is_ok():
        message = peer.Claim(key=booking.key, digest=_digest_of(booking))
        answer = await call_peer(link.ok, message, CLAIM_TIMEOUT_S)
        if answer.is_ok() and answer.ok.granted:
            return Ok(None)
        if answer.is_ok() and answer.ok.code == ResultCode.BOOKING_TABLE_FULL:
            return Error(Fault(ResultCode.BOOKING_TABLE_FULL, "at the witness", 5000))
    detail = "the witness did not record the claim"
    return Error(Fault(ResultCode.BOOKING_NOT_RUN, detail))


def _as_forward(instance, booking, deadline):
    """Returns the Forward of a booking, or a Fault."""
    if instance.policy is None:
        return Fault(ResultCode.NOT_READY, "no policy")
    now = instance.clock.wall()
    rules = rules_for(instance.policy, booking.service, "0.0.0.0/24", "", now)
    if rules is None:
        return Fault(ResultCode.BAD_REQUEST, f"unknown service {booking.service}")
    fingerprint = _digest_of(booking).hex()
    headers = [(h.name, h.value) for h in booking.headers]
    return Forward(
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


async def _acquire(instance, forward, avoid) -> Result:
    left_s = forward.deadline - instance.clock.now()
    wait_s = min(left_s, forward.rules.queue_ms / 1000.0)
    hold_s = max(0.0, left_s) + HOLD_SLACK_S
    return await acquire_anywhere(instance, forward, hold_s, wait_s, avoid)


async def _run(instance, forward, got) -> Result:
    """Sends a claimed booking; only what did not run is sent elsewhere."""
    avoid = []
    for _ in range(MAX_TRIES):
        if got.is_error():
            return got
        slot = got.ok
        result = await _send(instance, forward, slot)
        if result.is_ok():
            return result
        outcome = result.error
        if outcome.sent:
            detail = f"{slot.server_id}: {outcome.name}"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail))
        avoid.append(slot.server_id)
        if forward.deadline <= instance.clock.now():
            return Error(Fault(ResultCode.DEADLINE_BEFORE_RUN, "no time was left"))
        got = await _acquire(instance, forward, avoid)
    if got.is_ok():
        release_slot(instance, got.ok, "cancelled", 0.0)
    return Error(Fault(ResultCode.OVERLOADED, "every try was shed", 1000))


async def _send(instance, forward, slot) -> Result:
    """Sends a booking once, over a new connection, and reads all of its answer."""
    started_at = instance.clock.now()
    outcome_name = "cancelled"
    try:
        result = await send_request(
            instance.backends,
            slot,
            forward.method,
            forward.target,
            forward.headers,
            forward.body,
            timeout_s=forward.deadline - started_at,
            unpooled=True,
        )
        if result.is_error():
            outcome_name = result.error.name
            return result
        read = await _read_whole(result.ok, forward.deadline - instance.clock.now())
        outcome_name = "ok" if read.is_ok() else read.error.name
        return read
    finally:
        elapsed_ms = (instance.clock.now() - started_at) * 1000.0
        release_slot(instance, slot, outcome_name, elapsed_ms)


async def _read_whole(answer, timeout_s) -> Result:
    """Reads a booking's whole answer; a cut or an excess is an unknown outcome."""
    body = bytearray()
    fault = Fault(ResultCode.OUTCOME_UNKNOWN, "the answer was cut")
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


async def resolve_here(instance, key, digest, facts, timeout_s) -> Result:
    """Decides the fate of a key at its witness, waiting for the home's word.

    Args:
        instance: Instance.
        key: Idempotency key.
        digest: Digest of the booking.
        facts: KeyFacts of the key.
        timeout_s: Longest wait (s).

    Returns:
        Ok with what the witness knows, or Error with a Fault.
    """
    table = instance.bookings
    resolved = resolve_key(table, key, digest, facts, instance.clock.wall())
    if resolved.is_ok() and resolved.ok == "wait":
        future = instance.booking_waits.get(key)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            instance.booking_waits[key] = future
        try:
            await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            detail = "the home claimed the booking and has not reported its end"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))
        resolved = resolve_key(table, key, digest, facts, instance.clock.wall())
        if resolved.is_ok() and resolved.ok == "wait":
            detail = "the booking is in progress"
            return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))
    return resolved.map(_as_replay)
