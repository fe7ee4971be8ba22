"""Bodies of answers: streamed with bounded memory, and continued after a cut."""

import asyncio

from flamingolift_decisions.budget import withdraw
from flamingolift_model import Fault, FaultError, ResultCode

from flamingolift_daemon.backendclient import close_answer
from flamingolift_daemon.forwarding import (
    Forward,
    acquire_anywhere,
    budget_of,
    discard_answer,
    hold_time_s,
    try_once,
)
from flamingolift_daemon.metrics import count
from flamingolift_daemon.slots import release_slot

__all__ = ["stream_answer"]

CHUNK_BYTES = 65_536


async def stream_answer(instance, forward, forwarded):
    """Yields the body of an answer and ends its slot.

    A download that is cut is continued from another backend server when a strong
    validator proves that it is the same content; else the caller sees the cut.

    Args:
        instance: Instance.
        forward: Forward.
        forwarded: ForwardedAnswer.

    Yields:
        Chunks of at most 64 KiB.

    Raises:
        FaultError: The body was cut and could not be continued.
    """
    position = 0
    current = forwarded
    while True:
        outcome = "cancelled"
        try:
            while True:
                chunk = await _read_chunk(current.answer)
                if chunk is None:
                    outcome = "ok"
                    return
                if isinstance(chunk, Fault):
                    outcome = "crashed"
                    break
                if current.answer.resp.content.at_eof():
                    # The backend server is free before the caller has it all.
                    _release_now(instance, current, "ok")
                yield chunk
                position += len(chunk)
        finally:
            _release_now(instance, current, outcome)
            await close_answer(current.answer)
        current = await _resume(instance, forward, forwarded, position, current)
        if current is None:
            count(instance.metrics, "answers.cut")
            raise FaultError(chunk)


def _release_now(instance, forwarded, outcome):
    """Gives back the slot of an answer; the second time does nothing."""
    elapsed_ms = (instance.clock.now() - forwarded.started_at) * 1000.0
    release_slot(instance, forwarded.slot, outcome, elapsed_ms)


async def _read_chunk(answer):
    """Returns the next chunk, None at the whole end, or a Fault at a cut."""
    try:
        chunk = await answer.resp.content.read(CHUNK_BYTES)
    except asyncio.CancelledError:
        raise
    except Exception as exc:
        detail = f"the answer was cut: {type(exc).__name__}"
        return Fault(ResultCode.BACKEND_FAILED, detail)
    return chunk or None


def _resume_range(forward, forwarded, position):
    """Returns (first byte, entity tag) to resume from, or None."""
    headers = {name.lower(): value for name, value in forwarded.answer.headers}
    etag = headers.get("etag", "")
    if (
        forward.method != "GET"
        or not etag.startswith('"')
        or "content-length" not in headers
    ):
        return None
    if forwarded.answer.status == 200:
        return position, etag
    content_range = headers.get("content-range", "")
    first, dash, _ = content_range.removeprefix("bytes ").partition("-")
    if forwarded.answer.status == 206 and dash and first.isdigit():
        return int(first) + position, etag
    return None


async def _resume(instance, forward, forwarded, position, cut):
    """Continues a cut download; returns a ForwardedAnswer or None."""
    where = _resume_range(forward, forwarded, position)
    if where is None or not withdraw(budget_of(instance, forward)):
        return None
    first, etag = where
    last = first - position + int(_header(forwarded, "content-length")) - 1
    dropped = ("range", "if-range")
    headers = [(n, v) for n, v in forward.headers if n.lower() not in dropped]
    headers += [("Range", f"bytes={first}-{last}"), ("If-Range", etag)]
    again = Forward(
        forward.service,
        forward.rules,
        "GET",
        forward.target,
        headers,
        None,
        forward.tenant,
        forward.fingerprint,
        instance.clock.now() + forward.rules.deadline_ms / 1000.0,
    )
    hold_s = hold_time_s(instance, again)
    got = await acquire_anywhere(instance, again, hold_s, 1.0, [cut.slot.server_id])
    if got.is_error():
        return None
    result = await try_once(
        instance, again, got.ok, again.deadline - instance.clock.now()
    )
    if result.is_error():
        return None
    resumed = result.ok
    same = (
        resumed.answer.status == 206
        and _header(resumed, "etag") == etag
        and _header(resumed, "content-range").startswith(f"bytes {first}-{last}/")
    )
    if same:
        count(instance.metrics, "downloads.resumed")
        return resumed
    await discard_answer(instance, resumed)
    return None


def _header(forwarded, name):
    """Returns the first value of a header field of an answer, or ""."""
    for field, value in forwarded.answer.headers:
        if field.lower() == name:
            return value
    return ""
