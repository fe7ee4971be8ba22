"""The listener for callers: look-ups and requests."""

import asyncio

from expression import Error
from flamingolift_decisions.hashing import digest_request
from flamingolift_decisions.policyrules import rules_for
from flamingolift_decisions.steering import block_of, origin_of
from flamingolift_model import Fault, FaultError, ResultCode, peer

from flamingolift_daemon.backendclient import DEADLINE_HEADER, end_to_end_headers
from flamingolift_daemon.bookinghome import route_booking
from flamingolift_daemon.forwarding import (
    IDEMPOTENT_METHODS,
    CallerRequest,
    discard_answer,
    forward_request,
)
from flamingolift_daemon.httpserver import make_app, track_caller
from flamingolift_daemon.load import record_busy_time
from flamingolift_daemon.lookups import look_up
from flamingolift_daemon.metrics import count, record_duration_ms
from flamingolift_daemon.streaming import stream_answer
from flamingolift_daemon.waits import bounded_wait

__all__ = ["make_caller_app"]

MAX_DEADLINE_MS = 600_000
MAX_TENANT_CHARS = 128
MAX_HEADERS = 100
MAX_TARGET_CHARS = 8_192
KEY_HEADER = "Idempotency-Key"
BODILESS_STATUSES = frozenset((204, 304))
REPLAY_HEADER = "Idempotency-Replayed"


class LookupResource:
    """``GET /v1/lookup``: tells a caller which instance to use."""

    def __init__(self, instance):
        self.instance = instance

    async def on_get(self, req, resp):
        """Answers a look-up; answers that hold an idempotency key are not cacheable."""
        service = req.get_param("service", required=True)
        address = req.get_param("client") or req.remote_addr
        answered = look_up(self.instance, service, address)
        if answered.is_error():
            raise FaultError(answered.error)
        resp.media = answered.ok
        ttl_s = int(answered.ok["ttl_s"])
        private = "idempotency_key" in answered.ok
        resp.cache_control = ["no-store"] if private else [f"max-age={ttl_s}"]


class HealthResource:
    """``GET /healthz`` (liveness) and ``GET /readyz`` (readiness)."""

    def __init__(self, instance, needs_policy):
        self.instance = instance
        self.needs_policy = needs_policy

    async def on_get(self, req, resp):
        """Answers 200; for readiness, an error without a policy or during a stop."""
        if self.instance.stopping.is_set() and self.needs_policy:
            raise FaultError(Fault(ResultCode.DRAINING, "stopping"))
        if self.needs_policy and not is_ready(self.instance):
            raise FaultError(Fault(ResultCode.NOT_READY, "no policy in force"))
        resp.media = {"ok": True}


class StopAnnouncer:
    """Middleware that announces the end of each connection during a stop."""

    def __init__(self, instance):
        self.instance = instance

    async def process_response(self, req, resp, resource, req_succeeded):
        """Closes the connection after the response while the instance stops.

        A later request would be sent on a connection that is about to be closed.
        """
        if self.instance.stopping.is_set():
            resp.set_header("Connection", "close")


def is_ready(instance):
    """Returns whether the instance can answer look-ups and requests."""
    return instance.policy is not None and bool(instance.serving)


def make_caller_app(instance):
    """Returns the ASGI application of the listener for callers.

    Args:
        instance: Instance.
    """
    app = make_app()
    app.add_middleware(StopAnnouncer(instance))
    app.add_route("/v1/lookup", LookupResource(instance))
    app.add_route("/healthz", HealthResource(instance, needs_policy=False))
    app.add_route("/readyz", HealthResource(instance, needs_policy=True))

    async def serve(req, resp, service, rest=None):
        await _serve(instance, req, resp, service)

    app.add_sink(serve, prefix=r"/s/(?P<service>[A-Za-z0-9_.-]+)(?P<rest>/.*)?$")
    return track_caller(app)


async def _serve(instance, req, resp, service):
    """Serves one request of a caller, from admission to the last byte of the answer."""
    if instance.refusing or instance.in_flight >= instance.cfg.max_connections:
        code = ResultCode.DRAINING if instance.refusing else ResultCode.OVERLOADED
        resp.set_header("Connection", "close")
        raise FaultError(Fault(code, "", 1000))
    if instance.policy is None:
        raise FaultError(Fault(ResultCode.NOT_READY, "no policy in force", 1000))
    started_at = instance.clock.now()
    block = block_of(req.remote_addr)
    origin = origin_of(instance.policy.blocks, block)
    wall = instance.clock.wall()
    rules = rules_for(instance.policy, service, block, origin, wall)
    if rules is None:
        raise FaultError(Fault(ResultCode.BAD_REQUEST, f"unknown service {service}"))
    request = _read_head(req, service, rules, block, started_at)
    instance.in_flight += 1
    count(instance.metrics, "requests.received")
    try:
        if rules.traffic_class == "booking" and req.method not in IDEMPOTENT_METHODS:
            await _serve_booking(instance, req, resp, request)
            _record_completion(instance, request, origin, started_at)
        else:
            await _serve_idempotent(instance, req, resp, request, origin, started_at)
    except FaultError as exc:
        count(instance.metrics, f"requests.refused.{exc.fault.code.value}")
        raise
    finally:
        if resp.stream is None:
            instance.in_flight -= 1


def _read_head(req, service, rules, block, now):
    """Returns the CallerRequest of an HTTP request, without its body."""
    raw_path = req.scope["raw_path"].decode("ascii", "strict")
    target = "/" + raw_path.split("/", 3)[3] if raw_path.count("/") >= 3 else "/"
    if req.query_string:
        target += "?" + req.query_string
    headers = end_to_end_headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in req.scope["headers"]
    )
    if len(headers) > MAX_HEADERS or len(target) > MAX_TARGET_CHARS:
        raise FaultError(Fault(ResultCode.TOO_LARGE, "too many or too long fields"))
    deadline_ms = _deadline_ms(req, rules)
    consumed = (DEADLINE_HEADER.lower(), "host", "tenant", KEY_HEADER.lower(), "expect")
    return CallerRequest(
        service,
        rules,
        req.method,
        target,
        [(n, v) for n, v in headers if n.lower() not in consumed],
        None,
        (req.get_header("Tenant") or block)[:MAX_TENANT_CHARS],
        "",
        now + deadline_ms / 1000.0,
    )


def _deadline_ms(req, rules):
    """Returns the deadline from the caller's header, or else from the policy (ms).

    Raises:
        FaultError: The header is malformed or out of range.
    """
    text = req.get_header(DEADLINE_HEADER)
    if text is None:
        return rules.deadline_ms
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        detail = f"{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}"
        raise FaultError(Fault(ResultCode.BAD_REQUEST, detail))
    return int(text)


async def _serve_booking(instance, req, resp, request):
    """Serves a booking; its answer is sent whole, not streamed."""
    key = req.get_header(KEY_HEADER)
    if not key:
        raise FaultError(
            Fault(
                ResultCode.KEY_REQUIRED,
                "the key comes with the answer to a look-up of the service",
            )
        )
    body = await _read_body_in_time(instance, req, request.deadline)
    left_s = request.deadline - instance.clock.now()
    booking = peer.Booking(
        key=key,
        service=request.service,
        method=request.method,
        target=request.target,
        headers=[peer.Header(name=n, value=v) for n, v in request.headers],
        body=body,
        tenant=request.tenant,
        deadline_ms=max(0, int(left_s * 1000)),
    )
    routed = await _route_until_stopped(instance, booking)
    if routed.is_error():
        raise FaultError(routed.error)
    answer = routed.ok
    resp.status = answer.status
    resp.data = answer.body
    for header in answer.headers:
        if header.name.lower() != "content-length":
            resp.append_header(header.name, header.value)
    if answer.replayed:
        resp.set_header(REPLAY_HEADER, "true")


async def _route_until_stopped(instance, booking):
    """Routes a booking; its outcome is unknown if the instance stops before."""
    try:
        async with bounded_wait(instance.booking_waits, None):
            return await route_booking(instance, booking)
    except TimeoutError:
        detail = "the instance stopped before the outcome was known"
        return Error(Fault(ResultCode.OUTCOME_UNKNOWN, detail, 1000))


async def _read_body_in_time(instance, req, deadline):
    """Reads the body of a booking until the deadline, or the end of a stop.

    Raises:
        FaultError: The body exceeds the limit, or did not arrive in time.
    """
    left_s = max(0.0, deadline - instance.clock.now())
    try:
        async with bounded_wait(instance.slot_waits, left_s):
            return await _read_body(req, instance.cfg.max_booking_bytes)
    except TimeoutError:
        stopped = instance.slot_waits.ended
        code = ResultCode.DRAINING if stopped else ResultCode.REQUEST_TIMEOUT
        raise FaultError(Fault(code, "the body did not arrive in time", 1000)) from None


async def _read_body(req, limit):
    """Reads a body of bounded size.

    Raises:
        FaultError: The body exceeds the limit.
    """
    fault = Fault(ResultCode.TOO_LARGE, f"the body exceeds {limit} bytes")
    if (req.content_length or 0) > limit:
        raise FaultError(fault)
    body = bytearray()
    async for chunk in req.stream:
        body += chunk
        if len(body) > limit:
            raise FaultError(fault)
    return bytes(body)


async def _serve_idempotent(instance, req, resp, request, origin, started_at):
    """Forwards a request and streams the answer back."""
    has_body = bool(req.content_length) or req.get_header("Transfer-Encoding")
    if has_body:
        request.body = _stream_body(req)
    identity = request.headers if has_body else []
    request.fingerprint = digest_request(
        request.service, request.method, request.target, repr(identity).encode()
    ).hex()
    gone = req.scope["caller_gone"]
    forwarded = await _cancel_if_gone(
        gone, forward_request(instance, request), instance
    )
    if forwarded is None:
        count(instance.metrics, "requests.caller_gone")
        return
    if forwarded.is_error():
        raise FaultError(forwarded.error)
    answer = forwarded.ok.answer
    resp.status = answer.status
    for name, value in answer.headers:
        resp.append_header(name, value)
    body = _stream_to_caller(instance, request, forwarded.ok, gone, origin, started_at)
    if req.method == "HEAD" or answer.status in BODILESS_STATUSES:
        # The stream of a bodiless answer is not iterated later, so it is read to its
        # end here, which releases the slot. That also decrements in_flight, which
        # `_serve` does for an answer without a stream.
        async for _ in body:
            pass
        instance.in_flight += 1
        return
    resp.stream = body


async def _stream_body(req):
    """Yields the chunks of a caller's body as they arrive."""
    async for chunk in req.stream:
        if chunk:
            yield chunk


async def _cancel_if_gone(gone, coro, instance):
    """Awaits a Result; cancels it and returns None if the caller disconnects."""
    task = asyncio.ensure_future(coro)
    disconnected = asyncio.ensure_future(gone.wait())
    try:
        await asyncio.wait({task, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        return None
    finally:
        disconnected.cancel()
        if not task.done():
            task.cancel()
            finished = (await asyncio.gather(task, return_exceptions=True))[0]
            if not isinstance(finished, BaseException) and finished.is_ok():
                await discard_answer(instance, finished.ok)


async def _stream_to_caller(instance, request, forwarded, gone, origin, started_at):
    """Yields an answer's body until its end or until the caller disconnects."""
    body = stream_answer(instance, request, forwarded)
    try:
        async for chunk in body:
            if gone.is_set():
                count(instance.metrics, "requests.caller_gone")
                break
            yield chunk
    finally:
        await body.aclose()
        instance.in_flight -= 1
        _record_completion(instance, request, origin, started_at, forwarded.started_at)


def _record_completion(instance, request, origin, started_at, sent_at=None):
    """Records a request's duration for the histograms and its load for the planner.

    Args:
        instance: Instance.
        request: CallerRequest.
        origin: Caller's origin region.
        started_at: Time at which the request arrived (s, monotonic).
        sent_at: Time at which it was sent to a backend server, if known (s,
            monotonic).
    """
    now = instance.clock.now()
    elapsed_s = now - started_at
    metrics = instance.metrics
    record_duration_ms(
        metrics, request.service, request.rules.traffic_class, elapsed_s * 1000
    )
    record_duration_ms(
        metrics, request.service, f"tenant:{request.tenant}", elapsed_s * 1000
    )
    record_busy_time(instance, request.service, origin, now - (sent_at or started_at))
