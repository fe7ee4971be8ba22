"""Trials of held requests, granted by the instance that coordinates the request."""

import time
import urllib.parse

import msgpack
from flamingolift_decisions import quarantine
from flamingolift_decisions.hashing import rendezvous_order
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.crashes import TrialReply

from flamingolift_front import crashsync, peerlink
from flamingolift_front.eventlog import log_event
from flamingolift_front.responses import binary_response, problem_response

__all__ = ["obtain_trial", "serve_trial"]

MAX_TRIAL_PEERS = 3
"""Instances that are asked for a trial."""


async def obtain_trial(front, req, hold):
    """Asks for the trial of a held request.

    Args:
        front: Front.
        req: CallerRequest.
        hold: Hold of the request, which is due for a trial.

    Returns:
        Time until the next trial (s); 0 when the request may be sent once now.
    """
    live = {
        entry.instance_id: entry
        for entry in front.view.instances.values()
        if entry.state == "live"
    }
    own_id, asked = front.cfg.instance_id, 0
    for name in rendezvous_order(hold.fingerprint, {*live, own_id}):
        if name == own_id:
            wait_s = quarantine.take_trial(
                front.crashes.record, hold.fingerprint, time.monotonic()
            )
        elif name in front.crashes.silent_until:
            continue
        else:
            asked += 1
            wait_s = await _ask_for_trial(front, live[name], hold.fingerprint)
        if wait_s is not None:
            if wait_s == 0.0:
                log_event(
                    front.log,
                    "request_trial",
                    id=req.request_id,
                    fingerprint=hold.fingerprint,
                    coordinator=name,
                )
            return wait_s
        if asked >= MAX_TRIAL_PEERS:
            break
    return quarantine.TRIAL_SPACING_S


async def _ask_for_trial(front, entry, fingerprint):
    """Returns the time to wait for a trial (s), or None when a peer does not say."""
    link = peerlink.PeerLink((entry.host, entry.peer_port))
    target = f"/trial?{urllib.parse.urlencode({'request': fingerprint})}"
    body = await crashsync.call_peer(front, entry, link, target)
    peerlink.close_link(link)
    if body is None:
        return None
    try:
        reply = from_plain(TrialReply, msgpack.unpackb(body))
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        peer, cause = peerlink.link_name(link), repr(exc)
        log_event(front.log, "crash_report_invalid", peer=peer, cause=cause)
        return None
    if reply.is_error() or not reply.ok.coordinates:
        return None
    return reply.ok.wait_ms / 1000.0


async def serve_trial(front, query):
    """Answers a peer that asks for the trial of a held request.

    Args:
        front: Front.
        query: Map with the fingerprint in `request`.

    Returns:
        HttpResponse with a TrialReply; an instance that stops, or does not hold the
        request, coordinates no trials of it.
    """
    fingerprint, now = query.get("request", ""), time.monotonic()
    if not fingerprint:
        return problem_response(Fault(ResultCode.BAD_REQUEST, "request is missing"))
    record = front.crashes.record
    reply = TrialReply(coordinates=False)
    # An instance that has just started cannot tell what was tried already.
    if not front.stopping and quarantine.find_hold(record, fingerprint, now):
        wait_s = quarantine.take_trial(record, fingerprint, now)
        reply = TrialReply(wait_ms=wait_s * 1000.0)
    return binary_response(200, msgpack.packb(to_plain(reply)))
