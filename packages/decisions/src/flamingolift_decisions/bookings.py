"""At-most-once execution of bookings by a home and a witness instance.

Each idempotency key names two instances and their incarnations: the home, the
only instance that may run the booking, and the witness. Two rules give at-most-once
execution without a call to the store:

* The home runs a booking only after the witness has recorded its claim.
* Either of the two may permanently refuse a key that it has no record of: the home
  by never claiming it, the witness by rejecting every later claim.

Running a booking therefore needs both instances, refusing it needs only one, and
when one of them fails the other can still answer for every key. docs/DESIGN.md
compares alternatives and spec/booking.pml checks the rules.
"""

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

__all__ = [
    "BookingRecord",
    "BookingTable",
    "KeyFacts",
    "begin_booking",
    "complete_claim",
    "expire_records",
    "finish_booking",
    "record_claim",
    "resolve_key",
]

RECORD_OVERHEAD_BYTES = 512
"""Memory accounted for a record without its answer (bytes)."""
MAX_FUTURE_LIFETIMES = 2.0
"""Longest time to the expiry of a key that gets a record, relative to the lifetime of
a key (ratio)."""


class KeyFacts:
    """Contents of an idempotency key whose signature was verified.

    Attributes:
        home_id: Instance that may run the booking.
        home_incarnation: Incarnation of the home.
        witness_id: Witness instance; empty when no other instance was serving.
        witness_incarnation: Incarnation of the witness.
        expires_at: End of the key's lifetime (s since the epoch).
        service: Service that the key is for.
    """

    __slots__ = (
        "expires_at",
        "home_id",
        "home_incarnation",
        "service",
        "witness_id",
        "witness_incarnation",
    )

    def __init__(
        self,
        home_id,
        home_incarnation,
        witness_id,
        witness_incarnation,
        expires_at,
        service,
    ):
        self.home_id = home_id
        self.home_incarnation = home_incarnation
        self.witness_id = witness_id
        self.witness_incarnation = witness_incarnation
        self.expires_at = expires_at
        self.service = service


class BookingRecord:
    """Record of one key at its home or at its witness.

    Attributes:
        state: "claimed" while the booking may run; "done" when it has run;
            "unknown" when the answer was lost; "refused" when it will never run;
            "open" when an attempt ended without running it, for example for
            overload, and the key may be claimed again.
        digest: Digest of the request that the key was first used for.
        code: ResultCode that the booking ended with; OK when it was answered.
        answer: BookingAnswer, or None when it is not stored.
        expires_at: Time at which the record is dropped (s since the epoch).
        size: Memory accounted for (bytes).
    """

    __slots__ = ("answer", "code", "digest", "expires_at", "size", "state")

    def __init__(self, state, digest, expires_at):
        self.state = state
        self.digest = digest
        self.code = ResultCode.OK
        self.answer = None
        self.expires_at = expires_at
        self.size = RECORD_OVERHEAD_BYTES


class BookingTable:
    """Records of one instance in its current incarnation.

    Attributes:
        records: Map of key to BookingRecord.
        max_records: Largest number of records.
        max_bytes: Memory for records and stored answers (bytes).
        used_bytes: Memory in use (bytes).
        lifetime_s: Lifetime of a key (s).
    """

    __slots__ = ("lifetime_s", "max_bytes", "max_records", "records", "used_bytes")

    def __init__(self, max_records, max_bytes, lifetime_s):
        self.records = {}
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.lifetime_s = lifetime_s


def _check_new_record(table, facts, now):
    """Returns a Fault when no new record may be added for a key, else None."""
    if now >= facts.expires_at:
        return Fault(ResultCode.KEY_EXPIRED, "the key's lifetime is over")
    if facts.expires_at > now + MAX_FUTURE_LIFETIMES * table.lifetime_s:
        return Fault(ResultCode.KEY_INVALID, "the key's lifetime is too long")
    if len(table.records) >= table.max_records:
        return Fault(ResultCode.BOOKING_TABLE_FULL, "", 5000)
    return None


def _add_record(table, key, state, digest, facts):
    # The record outlives the key by one lifetime. Otherwise the key could be claimed
    # anew when the clock of the other instance is behind.
    record = BookingRecord(state, digest, facts.expires_at + table.lifetime_s)
    table.records[key] = record
    table.used_bytes += record.size
    return record


def _finished_result(record):
    """Returns the Result that a finished record holds, or None while it is claimed."""
    if record.state == "done":
        if record.answer is None:
            return Error(Fault(ResultCode.ANSWER_NOT_KEPT, "the booking was taken"))
        return Ok(record.answer)
    if record.state == "refused":
        return Error(Fault(record.code, "the key was refused before"))
    if record.state == "unknown":
        return Error(Fault(record.code, "the first attempt's answer was lost"))
    return None


def begin_booking(table, key, digest, facts, now) -> Result:
    """Decides at the home whether to run a booking.

    Args:
        table: BookingTable of the home.
        key: Idempotency key.
        digest: Digest of the request.
        facts: KeyFacts of the key.
        now: Home's clock (s since the epoch, must not go backwards).

    Returns:
        Ok("run") when the home should claim and run it, Ok("wait") when an
        earlier attempt is in progress, Ok with the stored BookingAnswer, or Error
        with a Fault. Expiry is decided by the home's clock alone: the clock by
        which the record is dropped is also the one by which the key is refused.
    """
    record = table.records.get(key)
    if record is None:
        fault = _check_new_record(table, facts, now)
        if fault is not None:
            return Error(fault)
        _add_record(table, key, "claimed", digest, facts)
        return Ok("run")
    if record.digest != digest:
        return Error(Fault(ResultCode.KEY_REUSED, "the key belongs to another request"))
    if record.state == "open":
        if now >= facts.expires_at:
            return Error(Fault(ResultCode.KEY_EXPIRED, "the key's lifetime is over"))
        record.state = "claimed"
        return Ok("run")
    finished = _finished_result(record)
    return finished if finished is not None else Ok("wait")


def finish_booking(table, key, code, answer=None):
    """Records at the home how a claimed booking ended.

    Args:
        table: BookingTable of the home.
        key: Idempotency key.
        code: ResultCode.OK with an answer; OUTCOME_UNKNOWN when the answer was
            lost; BOOKING_NOT_RUN to refuse the key permanently; any other code of
            a request that did not run leaves the key open for a retry.
        answer: BookingAnswer, stored when it fits into `max_bytes`.
    """
    record = table.records[key]
    record.code = code
    if code == ResultCode.OK:
        record.state = "done"
        _store_answer(table, record, answer)
    elif code == ResultCode.OUTCOME_UNKNOWN:
        record.state = "unknown"
    elif code == ResultCode.BOOKING_NOT_RUN:
        record.state = "refused"
    else:
        record.state = "open"


def _store_answer(table, record, answer):
    size = len(answer.body) + sum(len(h.name) + len(h.value) for h in answer.headers)
    if table.used_bytes + size <= table.max_bytes:
        record.answer = answer
        record.size += size
        table.used_bytes += size


def record_claim(table, key, digest, facts, now) -> Result:
    """Records at the witness that the home is about to run a booking.

    Args:
        table: BookingTable of the witness.
        key: Idempotency key.
        digest: Digest of the request.
        facts: KeyFacts of the key.
        now: Witness's clock (s since the epoch).

    Returns:
        Ok(None) when the home may run it; repeating a claim is idempotent.
        Error with a Fault when the witness has refused the key, has a record of
        another request or of a finished booking under it, or may add no record.
    """
    record = table.records.get(key)
    if record is None:
        fault = _check_new_record(table, facts, now)
        if fault is not None:
            return Error(fault)
        _add_record(table, key, "claimed", digest, facts)
        return Ok(None)
    if record.state in ("claimed", "open") and record.digest == digest:
        record.state = "claimed"
        return Ok(None)
    code = record.code if record.state == "refused" else ResultCode.KEY_REUSED
    return Error(Fault(code, "the witness has refused the key"))


def complete_claim(table, key, code, answer):
    """Records at the witness how a claimed booking ended at its home.

    Args:
        table: BookingTable of the witness.
        key: Idempotency key; ignored when the witness has no claim of it.
        code: ResultCode that the home ended with.
        answer: BookingAnswer or None.
    """
    record = table.records.get(key)
    if record is None or record.state not in ("claimed", "open"):
        return
    if code == ResultCode.OK and answer is None:
        record.state = "done"
        return
    finish_booking(table, key, code, answer)


def resolve_key(table, key, digest, facts, now) -> Result:
    """Decides at the witness how to answer for a key whose home is unreachable.

    Args:
        table: BookingTable of the witness.
        key: Idempotency key.
        digest: Digest of the request.
        facts: KeyFacts of the key.
        now: Witness's clock (s since the epoch).

    Returns:
        Ok with the stored BookingAnswer, Ok("wait") while the home may still be
        running it, or Error with a Fault. A key without a claim is refused
        permanently: it was not run, and a later claim by the home is rejected.
    """
    record = table.records.get(key)
    if record is None:
        fault = _check_new_record(table, facts, now)
        if fault is not None:
            return Error(fault)
        record = _add_record(table, key, "refused", digest, facts)
        record.code = ResultCode.BOOKING_NOT_RUN
        return Error(Fault(ResultCode.BOOKING_NOT_RUN, "the key was never claimed"))
    if record.digest != digest:
        return Error(Fault(ResultCode.KEY_REUSED, "the key belongs to another request"))
    if record.state == "open":
        record.state = "refused"
        record.code = ResultCode.BOOKING_NOT_RUN
    finished = _finished_result(record)
    return finished if finished is not None else Ok("wait")


def expire_records(table, now):
    """Drops expired records.

    Args:
        table: BookingTable.
        now: The instance's clock (s since the epoch).

    Returns:
        Number of records dropped.
    """
    old = [key for key, record in table.records.items() if record.expires_at <= now]
    for key in old:
        table.used_bytes -= table.records.pop(key).size
    return len(old)
