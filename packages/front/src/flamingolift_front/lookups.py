"""Look-ups: which instances a caller should use, and whether this one is ready."""

import asyncio

import h11
from flamingolift_decisions.hashing import rendezvous_order

from flamingolift_front import bytestream
from flamingolift_front.frontmetrics import render_metrics
from flamingolift_front.responses import text_answer
from flamingolift_front.state import live_instances

__all__ = ["addresses_for", "is_ready", "serve_control", "serve_metrics"]

MAX_ADDRESSES = 64
"""Addresses that a caller uses of one look-up."""
MIN_ADDRESSES = 2
"""Instances of a failure domain below which a caller is offered its region's."""
IDLE_TIMEOUT_S = 20.0
"""Longest idle time of a connection for look-ups and checks (s)."""


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
        caller's failure domain, of its region when these are few, or of all
        regions when it has none.
    """
    by_region = live_instances(front.view)
    entries = by_region.get(region, [])
    near = [e for e in entries if e.failure_domain == failure_domain]
    if len(near) >= MIN_ADDRESSES:
        entries = near
    if not entries:
        entries = [e for group in by_region.values() for e in group]
    by_name = {e.instance_id: e for e in entries}
    names = rendezvous_order(failure_domain, by_name)[:MAX_ADDRESSES]
    return [f"{by_name[n].host}:{by_name[n].caller_port}" for n in names]


async def serve_control(front, stream, answer_for):
    """Answers a connection's requests with a function.

    Args:
        front: Front.
        stream: ByteStream that was accepted.
        answer_for: Coroutine function of the front and a request target (str)
            that returns an HttpResponse.
    """
    parser = h11.Connection(h11.SERVER)
    try:
        async with asyncio.timeout(None) as timer:
            while await _serve_call(front, stream, parser, answer_for, timer):
                parser.start_next_cycle()
    except (TimeoutError, ConnectionError, h11.ProtocolError):
        # Nothing was promised to this peer; it asks again.
        front.metrics.requests.labels("control", "broken").inc()
    finally:
        bytestream.close(stream)


async def _serve_call(front, stream, parser, answer_for, timer):
    timer.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
    target = None
    while True:
        event = parser.next_event()
        if isinstance(event, h11.Request):
            target = event.target.decode("latin-1")
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return False
        elif event is h11.NEED_DATA:
            parser.receive_data(await bytestream.read(stream))
    answer = await answer_for(front, target)
    headers = [*answer.headers, (b"Content-Length", str(len(answer.body)).encode())]
    data = parser.send(h11.Response(status_code=answer.status, headers=headers))
    data += parser.send(h11.Data(data=answer.body))
    bytestream.write(stream, data + parser.send(h11.EndOfMessage()))
    return parser.our_state is h11.DONE


async def serve_metrics(front, _target):
    """Returns the HttpResponse with the metrics."""
    return text_answer(200, render_metrics(front))
