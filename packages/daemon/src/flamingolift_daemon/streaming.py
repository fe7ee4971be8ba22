"""Streams answer bodies in bounded memory and resumes interrupted downloads."""

import asyncio

from flamingolift_decisions.budget import withdraw
from flamingolift_model import Fault, FaultError, ResultCode

from flamingolift_daemon.backendclient import close_answer
from flamingolift_daemon.forwarding import (
    CallerRequest,
    acquire_in_any_region,
    discard_answer,
    get_retry_budget,
    hold_time_s,
    try_once,
)
from flamingolift_daemon.metrics import count
from flamingolift_daemon.slots import release_slot

__all__ = ["stream_answer"]

CHUNK_BYTES = 65_536


async def stream_answer(instance, request, forwarded):
    """Yields the body of an answer, and releases its slot at the end.

    An interrupted answer is resumed by a range request to another backend server if a
    strong entity tag shows that the content is the same. Otherwise an error
    ends the body early, and the caller sees a truncated answer.

    Args:
        instance: Instance.
        request: CallerRequest.
        forwarded: ForwardedAnswer.

    Yields:
        Chunks of at most 64 KiB.

    Raises:
        FaultError: The body was interrupted and could not be resumed.

    Notes:
        The server may send for as long as the slot is held. After that the dispatcher
        grants the slot to another request. What has arrived is delivered, also late.
    """
    position = 0
    current = forwarded
    while True:
        outcome = "cancelled"
        try:
            while True:
                chunk = await _read_chunk(instance, current)
                if chunk is None:
                    outcome = "ok"
                    return
                if isinstance(chunk, Fault):
                    late = chunk.code is ResultCode.BACKEND_TIMEOUT
                    outcome = "timeout" if late else "crashed"
                    break
                if current.answer.resp.content.at_eof():
                    # The server has sent the whole body, so that its slot is free
                    # before a slow caller has read the last chunk.
                    _release_once(instance, current, "ok")
                yield chunk
                position += len(chunk)
        finally:
            _release_once(instance, current, outcome)
            await close_answer(current.answer)
        current = await _resume(instance, request, forwarded, position, current)
        if current is None:
            count(instance.metrics, "answers.cut")
            raise FaultError(chunk)


def _release_once(instance, forwarded, outcome):
    """Releases the slot of an answer; a repeated call does nothing."""
    elapsed_ms = (instance.clock.now() - forwarded.started_at) * 1000.0
    release_slot(instance, forwarded.slot, outcome, elapsed_ms)


async def _read_chunk(instance, forwarded):
    """Returns the next chunk, None after a complete body, or a Fault on a failure."""
    content = forwarded.answer.resp.content
    left_s = forwarded.slot.held_until - instance.clock.now()
    if left_s <= 0.0 and not content.is_eof():
        return _expired_fault()
    try:
        async with asyncio.timeout(left_s) as timer:
            chunk = await content.read(CHUNK_BYTES)
    except asyncio.CancelledError:
        raise
    except Exception as exc:
        if timer.expired():
            return _expired_fault()
        detail = f"the answer was truncated: {type(exc).__name__}"
        return Fault(ResultCode.BACKEND_FAILED, detail)
    return chunk or None


def _expired_fault():
    detail = "the answer did not end before its slot expired"
    return Fault(ResultCode.BACKEND_TIMEOUT, detail)


def _resume_range(request, forwarded, position):
    """Returns (next byte position, strong entity tag), or None if not resumable."""
    headers = {name.lower(): value for name, value in forwarded.answer.headers}
    etag = headers.get("etag", "")
    if (
        request.method != "GET"
        or not etag.startswith('"')
        or "content-length" not in headers
    ):
        return None
    if forwarded.answer.status == 200:
        return position, etag
    content_range = headers.get("content-range", "")
    first, dash, _ = content_range.removeprefix("bytes ").partition("-")
    if forwarded.answer.status == 206 and dash and first.isdecimal():
        return int(first) + position, etag
    return None


async def _resume(instance, request, forwarded, position, interrupted):
    """Resumes an interrupted answer; returns a ForwardedAnswer, or None on failure."""
    resume_from = _resume_range(request, forwarded, position)
    if resume_from is None or not withdraw(get_retry_budget(instance, request)):
        return None
    first, etag = resume_from
    last = first - position + int(_header(forwarded, "content-length")) - 1
    dropped = ("range", "if-range")
    headers = [(n, v) for n, v in request.headers if n.lower() not in dropped]
    headers += [("Range", f"bytes={first}-{last}"), ("If-Range", etag)]
    range_request = CallerRequest(
        request.service,
        request.rules,
        "GET",
        request.target,
        headers,
        None,
        request.tenant,
        request.fingerprint,
        instance.clock.now() + request.rules.deadline_ms / 1000.0,
    )
    hold_s = hold_time_s(instance, range_request)
    acquired = await acquire_in_any_region(
        instance, range_request, hold_s, 1.0, [interrupted.slot.server_id]
    )
    if acquired.is_error():
        return None
    result = await try_once(
        instance,
        range_request,
        acquired.ok,
        range_request.deadline - instance.clock.now(),
    )
    if result.is_error():
        return None
    resumed = result.ok
    is_continuation = (
        resumed.answer.status == 206
        and _header(resumed, "etag") == etag
        and _header(resumed, "content-range").startswith(f"bytes {first}-{last}/")
    )
    if is_continuation:
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
