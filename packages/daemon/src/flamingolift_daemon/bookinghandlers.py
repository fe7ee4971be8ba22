"""Handles peers' messages about bookings, as their home or their witness."""

import asyncio

from flamingolift_decisions.bookings import complete_claim, expire_records, record_claim
from flamingolift_model import ResultCode, peer
from flamingolift_wire.idempotency import parse_idempotency_key

from flamingolift_daemon.bookinghome import resolve_as_witness, run_at_home
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import refuse_failed_call, send_message

__all__ = [
    "handle_booking",
    "handle_claim",
    "handle_completion",
    "handle_resolve",
    "run_record_expiry",
]

EXPIRY_INTERVAL_S = 5.0


async def _reply_when_done(instance, link, message, call_id, coro):
    """Awaits a Result and sends it as the reply to a call."""
    try:
        result = await coro
    except Exception as exc:
        refusal = refuse_failed_call(instance, link, message, exc)
        send_message(link, refusal, reply_to=call_id)
        return
    if result.is_ok():
        send_message(link, result.ok, reply_to=call_id)
        return
    fault = result.error
    refusal = peer.Refusal(
        code=fault.code,
        detail=fault.detail[:500],
        retry_after_ms=fault.retry_after_ms,
    )
    send_message(link, refusal, reply_to=call_id)


def handle_booking(instance, link, message, call_id):
    """Runs a booking that another instance forwarded to this home."""
    parsed = parse_idempotency_key(instance.ticket_keys, message.key)
    self_identity = (instance.cfg.instance_id, instance.incarnation)
    if parsed.is_error():
        fault = parsed.error
        return peer.Refusal(code=fault.code, detail=fault.detail)
    facts = parsed.ok
    if (facts.home_id, facts.home_incarnation) != self_identity:
        return peer.Refusal(
            code=ResultCode.PEER_UNREACHABLE,
            detail="this is not the home named in the key",
        )
    running = run_at_home(instance, message, facts)
    return _reply_when_done(instance, link, message, call_id, running)


def handle_claim(instance, link, message, call_id):
    """Records the claim of a booking's home at this witness."""
    parsed = parse_idempotency_key(instance.ticket_keys, message.key)
    if parsed.is_error():
        return peer.ClaimAnswer(granted=False, code=parsed.error.code)
    facts = parsed.ok
    is_witness = (facts.witness_id, facts.witness_incarnation) == (
        instance.cfg.instance_id,
        instance.incarnation,
    )
    from_home = (facts.home_id, facts.home_incarnation) == (
        link.remote_id,
        link.remote_incarnation,
    )
    if not (is_witness and from_home):
        return peer.ClaimAnswer(granted=False, code=ResultCode.KEY_INVALID)
    now = instance.clock.wall()
    recorded = record_claim(instance.bookings, message.key, message.digest, facts, now)
    if recorded.is_error():
        return peer.ClaimAnswer(granted=False, code=recorded.error.code)
    return peer.ClaimAnswer(granted=True)


def handle_completion(instance, link, message, call_id):
    """Records the outcome of a booking at this witness."""
    complete_claim(instance.bookings, message.key, message.code, message.answer)
    future = instance.booking_futures.pop(message.key, None)
    if future is not None and not future.done():
        future.set_result(None)
    return peer.Acknowledgement()


def handle_resolve(instance, link, message, call_id):
    """Resolves a key whose home another instance cannot reach."""
    parsed = parse_idempotency_key(instance.ticket_keys, message.key)
    if parsed.is_error():
        fault = parsed.error
        return peer.Refusal(code=fault.code, detail=fault.detail)
    facts = parsed.ok
    self_identity = (instance.cfg.instance_id, instance.incarnation)
    if (facts.witness_id, facts.witness_incarnation) != self_identity:
        return peer.Refusal(
            code=ResultCode.PEER_UNREACHABLE,
            detail="this is not the witness named in the key",
        )
    timeout_s = message.deadline_ms / 1000.0
    resolving = resolve_as_witness(
        instance, message.key, message.digest, facts, timeout_s
    )
    return _reply_when_done(instance, link, message, call_id, resolving)


async def run_record_expiry(instance):
    """Deletes expired booking records until cancelled."""
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        dropped = expire_records(instance.bookings, instance.clock.wall())
        count(instance.metrics, "bookings.expired", dropped)
        for key in set(instance.booking_futures) - set(instance.bookings.records):
            del instance.booking_futures[key]
