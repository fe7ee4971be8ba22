"""Shares the limits that backend servers name between the instances.

Before it sends a request to a server that names a limit, an instance asks the server's
coordinator for a grant, or the deputy when the coordinator does not respond. Each
question and reply also carries what its sender knows of the limit.
"""

import asyncio
import time
import urllib.parse

import msgpack
from flamingolift_decisions import instancecount, serverlimits
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.grants import GrantReply

from flamingolift_front import httpcall, peerlink
from flamingolift_front.backgroundtasks import start_task
from flamingolift_front.eventlog import log_event
from flamingolift_front.responses import binary_response, problem_response

__all__ = ["close_ended_links", "observe_answer", "obtain_grant", "serve_grant"]

GRANT_TIMEOUT_S = 0.3
"""Longest time for a grantor's reply (s): a connection and a round trip between
regions, with room for a busy instance."""
GRANTOR_RETRY_S = 1.0
"""Time for which a grantor that failed is not asked (s)."""
NO_GRANTOR_PAUSE_S = 0.5
"""Time for which a server gets no request after no grantor responded (s)."""
MAX_IDLE_LINKS = 4
"""Idle connections that are kept to each grantor."""
MAX_TOLD_AT_ONCE = 8
"""Instances that are told of a change at the same time."""
MAX_AGE_MS = 1e12
"""Largest age of an answer that is told to other instances (ms)."""
MAX_GRANT_WAIT_S = 60.0
"""Longest time for which a grantor's reply withholds a server (s)."""
MAX_LOGGED_CHARS = 40
"""Characters of a malformed header field that are logged."""


def observe_answer(front, backend, value, now):
    """Records what an answer of a server says about its limit.

    Args:
        front: Front.
        backend: Backend.
        value: Value of the header field that names the limit; None when it is missing.
        now: Current time (s, monotonic).
    """
    per_s = None
    if value is not None:
        per_s = httpcall.parse_decimal(value)
        if per_s is None or per_s > serverlimits.MAX_LIMIT_PER_S:
            _log_invalid(front, backend, value)
            return
    _observe(front, backend, per_s, now, "answer")


def _log_invalid(front, backend, value):
    if backend.limit_invalid:
        return
    backend.limit_invalid = True
    server_id = backend.entry.server_id
    shown = value[:MAX_LOGGED_CHARS]
    log_event(front.log, "server_limit_invalid", server=server_id, value=shown)


def _observe(front, backend, per_s, observed_at, source):
    """Applies an observation, logs a change, and tells other instances of it.

    An instance that learns of a change from an answer tells the grantors, and the
    first grantor that hears of it tells all other instances.
    """
    change = serverlimits.record_limit(backend, per_s, observed_at)
    if change.is_none():
        return
    log_event(
        front.log,
        "server_limit_changed",
        server=backend.entry.server_id,
        change=change.value,
        limit_per_s=per_s or 0.0,
        source=source,
        age_s=round(time.monotonic() - observed_at, 3),
    )
    if change.value == "changed":
        # The questions for grants carry it.
        return
    rank = _own_rank(front, backend)
    if rank == 0:
        peers = front.view.instances.values()
    elif source == "answer":
        peers = serverlimits.grantors(backend.entry, front.view.instances.values())
    else:
        return
    start_task(front, _tell(front, backend, list(peers)))


async def obtain_grant(front, backend, trace):
    """Obtains a grant for one request to a server that names a limit.

    Args:
        front: Front.
        backend: Backend.
        trace: Trace of the request; receives a refused grant.

    Returns:
        Whether the request may be sent now. If not, the server is withheld until
        another grant may be available.
    """
    source, wait_s = await _ask_grantors(front, backend)
    result = "granted" if wait_s == 0.0 else "refused" if source else "unreachable"
    front.metrics.limit_grants.labels(result).inc()
    if wait_s == 0.0:
        return True
    backend.next_grant_at = time.monotonic() + wait_s
    trace.withheld.append((backend.entry.server_id, source, round(wait_s, 3)))
    return False


async def _ask_grantors(front, backend):
    """Returns the instance that decided, empty for none, and the time to wait (s)."""
    instances = front.view.instances.values()
    for rank, entry in enumerate(serverlimits.grantors(backend.entry, instances)):
        if not serverlimits.is_limited(backend):
            # The limit ended while a grantor was asked.
            return entry.instance_id, 0.0
        if entry.instance_id == front.cfg.instance_id:
            return entry.instance_id, _take_own(front, backend, rank)
        if time.monotonic() < front.failed_grantors.get(entry.instance_id, 0.0):
            continue
        try:
            reply = await _ask(front, entry, backend, take=True)
        except peerlink.PeerError as exc:
            _record_failure(front, entry, exc)
            continue
        if not reply.coordinates:
            continue
        if not serverlimits.is_limited(backend):
            return entry.instance_id, 0.0
        return entry.instance_id, _wait_s(reply)
    return "", NO_GRANTOR_PAUSE_S


def _wait_s(reply):
    if reply.granted:
        return 0.0
    return min(MAX_GRANT_WAIT_S, reply.wait_ms / 1000.0)


def _record_failure(front, entry, exc):
    until = time.monotonic() + GRANTOR_RETRY_S
    front.failed_grantors[entry.instance_id] = until
    peer = f"{entry.host}:{entry.peer_port}"
    log_event(front.log, "peer_failed", peer=peer, cause=f"grant: {exc}")


def _take_own(front, backend, rank):
    now = time.monotonic()
    share = instancecount.listed_share(front.view.instance_count, now)
    return serverlimits.take_grant(backend, rank, share, now)


async def _ask(front, entry, backend, take):
    """Sends a question to a grantor and applies what the reply says of the limit.

    Returns:
        GrantReply.

    Raises:
        PeerError: There is no usable reply.
    """
    limit = backend.limit
    age_ms = _age_ms(limit, time.monotonic())
    query = {
        "server": backend.entry.server_id,
        "started": backend.entry.started_ms,
        "limit": "" if limit.per_s is None else f"{limit.per_s:f}",
        "age_ms": int(age_ms),
        "take": int(take),
    }
    address = (entry.host, entry.peer_port)
    idle = front.grant_links.get(address)
    link = idle.pop() if idle else peerlink.PeerLink(address)
    with peerlink.failures_as_peer_errors(link):
        target = f"/grant?{urllib.parse.urlencode(query)}"
        call, response = await peerlink.exchange(link, target, GRANT_TIMEOUT_S)
        if response.status != 200:
            raise httpcall.InvalidResponseError(f"status {response.status}")
        reply = from_plain(GrantReply, msgpack.unpackb(response.body))
        if reply.is_error():
            raise ValueError(reply.error[0].detail)
    idle = front.grant_links.setdefault(address, [])
    if httpcall.is_reusable(call) and len(idle) < MAX_IDLE_LINKS:
        idle.append(link)
    else:
        peerlink.close_link(link)
    if reply.ok.age_ms >= 0.0:
        per_s = None if reply.ok.per_s < 0.0 else reply.ok.per_s
        observed_at = time.monotonic() - reply.ok.age_ms / 1000.0
        _observe(front, backend, per_s, observed_at, peerlink.link_name(link))
    return reply.ok


def _age_ms(limit, now):
    return min(MAX_AGE_MS, max(0.0, (now - limit.observed_at) * 1000.0))


async def _tell(front, backend, peers):
    """Tells other instances what is known of a server's limit."""
    peers = [e for e in peers if e.instance_id != front.cfg.instance_id]
    front.rng.shuffle(peers)

    async def tell_next():
        while peers and backend.limit is not None:
            entry = peers.pop()
            try:
                await _ask(front, entry, backend, take=False)
            except peerlink.PeerError as exc:
                _record_failure(front, entry, exc)

    await asyncio.gather(*(tell_next() for _ in range(MAX_TOLD_AT_ONCE)))


async def serve_grant(front, query):
    """Answers another instance's question for a grant.

    Args:
        front: Front.
        query: Map with the `server`, the start of its process (`started`, ms since the
            epoch), the `limit` that the sender knows (empty for none), its `age_ms`,
            and in `take` 1 to take a grant.

    Returns:
        HttpResponse with a GrantReply.
    """
    backend = front.view.backends.backends.get(query.get("server", ""))
    started = query.get("started", "")
    age_ms = httpcall.parse_count(query.get("age_ms", ""))
    per_s = httpcall.parse_decimal(query.get("limit", ""))
    is_limit = per_s is not None and per_s <= serverlimits.MAX_LIMIT_PER_S
    if age_ms is None or (query.get("limit") and not is_limit):
        detail = "limit or age_ms is malformed"
        return problem_response(Fault(ResultCode.BAD_REQUEST, detail))
    if backend is None or str(backend.entry.started_ms) != started:
        return _encode_reply(GrantReply(coordinates=False))
    now = time.monotonic()
    observed_at = now - min(age_ms, MAX_AGE_MS) / 1000.0
    _observe(front, backend, per_s, observed_at, "peer")
    rank = _own_rank(front, backend)
    reply = GrantReply(
        coordinates=rank is not None,
        per_s=-1.0 if backend.limit.per_s is None else backend.limit.per_s,
        age_ms=_age_ms(backend.limit, now),
    )
    if rank is not None and query.get("take") == "1":
        wait_s = 0.0
        if serverlimits.is_limited(backend):
            wait_s = _take_own(front, backend, rank)
        reply.granted = wait_s == 0.0
        reply.wait_ms = wait_s * 1000.0
    return _encode_reply(reply)


def _own_rank(front, backend):
    """Returns the place of this instance among a server's grantors, None for none."""
    instances = front.view.instances.values()
    entries = serverlimits.grantors(backend.entry, instances)
    names = [entry.instance_id for entry in entries]
    own_id = front.cfg.instance_id
    return names.index(own_id) if own_id in names else None


def _encode_reply(reply):
    return binary_response(200, msgpack.packb(to_plain(reply)))


def close_ended_links(front):
    """Forgets the connections that grantors closed, and grantors that failed long ago.

    Args:
        front: Front.
    """
    now = time.monotonic()
    for address, idle in list(front.grant_links.items()):
        idle[:] = [link for link in idle if not link.stream.ended]
        if not idle:
            del front.grant_links[address]
    for name, until in list(front.failed_grantors.items()):
        if until < now:
            del front.failed_grantors[name]
