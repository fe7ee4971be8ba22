"""Instance look-ups for callers, readiness, and the server of the control ports."""

import functools
import time

import h11
from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_model import Fault, ResultCode

from flamingolift_front import bytestream, controlbytes
from flamingolift_front.eventlog import LARGE_MESSAGE_BYTES, log_event
from flamingolift_front.frontmetrics import render_metrics
from flamingolift_front.responses import problem_response, text_response
from flamingolift_front.state import live_instances
from flamingolift_front.timelimit import time_limit

__all__ = ["addresses_for", "is_ready", "serve_control", "serve_metrics"]

MAX_ADDRESSES = 64
"""Largest number of addresses in one look-up."""
MIN_ADDRESSES = 2
"""Live instances of a failure domain below which a caller gets those of its region."""
IDLE_TIMEOUT_S = 20.0
"""Longest idle time of a connection to a control port (s)."""


def is_ready(front):
    """Returns whether the instance can take callers' requests."""
    return front.view.table is not None and not front.stopping


def addresses_for(front, region, failure_domain):
    """Picks the instances that a caller should use.

    Args:
        front: Front.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.

    Returns:
        List of "host:port", at most `MAX_ADDRESSES`: the live instances of the
        caller's failure domain, of its region when the domain has fewer than
        `MIN_ADDRESSES`, or of all regions when the region has none.
    """
    by_region = live_instances(front.view)
    entries = by_region.get(region, [])
    same_domain = [e for e in entries if e.failure_domain == failure_domain]
    if len(same_domain) >= MIN_ADDRESSES:
        entries = same_domain
    if not entries:
        entries = [e for group in by_region.values() for e in group]
    by_name = {e.instance_id: e for e in entries}
    names = rendezvous_order(failure_domain, by_name)[:MAX_ADDRESSES]
    return [f"{by_name[n].host}:{by_name[n].caller_port}" for n in names]


async def serve_control(front, stream, handler, max_body_bytes=0):
    """Serves the requests of one connection to a control port.

    Args:
        front: Front.
        stream: ByteStream that was accepted.
        handler: Coroutine function of the front and a request target (str)
            that returns an HttpResponse.
        max_body_bytes: Largest body of a request that the handler takes as a further
            argument (bytes); 0 for a handler without one.
    """
    parser = h11.Connection(h11.SERVER)
    request = controlbytes.RequestBytes()
    stream.on_data = functools.partial(controlbytes.count_bytes, front, stream, request)
    controlbytes.restart_count(front, request, len(stream.buffer))
    try:
        while await _serve_request_in_time(
            front, stream, parser, handler, max_body_bytes
        ):
            parser.start_next_cycle()
            waiting = len(parser.trailing_data[0]) + len(stream.buffer)
            controlbytes.restart_count(front, request, waiting)
    except (TimeoutError, ConnectionError, h11.ProtocolError):
        # Control requests have no side effects, so the client can retry.
        front.metrics.requests.labels("control", "broken").inc()
    finally:
        stream.on_data = None
        controlbytes.restart_count(front, request, 0)
        bytestream.close(stream)


async def _serve_request_in_time(front, stream, parser, handler, max_body_bytes):
    async with time_limit(time.monotonic() + IDLE_TIMEOUT_S):
        return await _serve_request(front, stream, parser, handler, max_body_bytes)


async def _serve_request(front, stream, parser, handler, max_body_bytes):
    target, body = None, bytearray()
    while True:
        event = parser.next_event()
        if isinstance(event, h11.Request):
            target = event.target.decode("latin-1")
        elif isinstance(event, h11.Data) and max_body_bytes:
            body += event.data
            if len(body) > max_body_bytes:
                raise ConnectionAbortedError("a request's body is too large")
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return False
        elif event is h11.NEED_DATA:
            parser.receive_data(await bytestream.read(stream))
    arguments = (target, bytes(body)) if max_body_bytes else (target,)
    response = await _run_handler(front, handler, arguments)
    headers = [*response.headers, (b"Content-Length", str(len(response.body)).encode())]
    data = parser.send(h11.Response(status_code=response.status, headers=headers))
    data += parser.send(h11.Data(data=response.body))
    started = time.monotonic()
    bytestream.write(stream, data + parser.send(h11.EndOfMessage()))
    await bytestream.flush(stream)
    if len(response.body) >= LARGE_MESSAGE_BYTES:
        log_event(
            front.log,
            "response_sent",
            peer=bytestream.peer_host(stream),
            path=target.partition("?")[0],
            bytes=len(response.body),
            send_ms=round((time.monotonic() - started) * 1000.0, 1),
        )
    return parser.our_state is h11.DONE


async def _run_handler(front, handler, arguments):
    """Returns the handler's HttpResponse, or that of a failure."""
    try:
        return await handler(front, *arguments)
    except Exception as exc:
        log_event(front.log, "task_failed", task="control", cause=repr(exc))
        return problem_response(Fault(ResultCode.INTERNAL, "the handler failed"))


async def serve_metrics(front, _target):
    """Returns the HttpResponse with the metrics."""
    return text_response(200, render_metrics(front))
