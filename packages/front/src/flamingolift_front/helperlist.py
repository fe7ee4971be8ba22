"""Instances that can serve requests which this one cannot, found by asking peers."""

import asyncio
import contextlib
import math
import time

import msgpack
from flamingolift_decisions import backends
from flamingolift_model import Fault, ResultCode, from_plain, to_plain
from flamingolift_model.paths import PathsReply

from flamingolift_front import httpcall, peerlink
from flamingolift_front.pathrecords import lost_services
from flamingolift_front.responses import binary_response, problem_response

__all__ = [
    "Helpers",
    "ask_peers",
    "find_helper",
    "forget_all",
    "forget_helper",
    "is_wanted",
    "serve_paths",
]

ASK_TIMEOUT_S = 0.3
"""Longest time for a peer's answer (s)."""
ROUND_TIMEOUT_S = 0.6
"""Longest time for a round of questions (s)."""
FIRST_ANSWER_S = 0.35
"""Longest time for which a request waits for answers of the first round (s)."""
MAX_ASKED_NEAR = 8
"""Peers asked in a round: those that answered before, and near ones."""
MAX_ASKED_FAR = 4
"""Further peers, drawn from all others, since a cut may include all near ones."""
MAX_ASKED_AT_ONCE = 4
VALID_S = 3.0
"""Time for which an answer holds (s): three rounds."""
DEFAULT_LINK_MBPS = 10.0
"""Bandwidth of an instance that does not report it (Mbit/s)."""
WANTED_S = 3.0
"""Time after a request for which its need of a helper is kept up (s)."""


class Helper:
    """A peer's last answer.

    Attributes:
        unserved: Set of the names of services that it cannot serve.
        answered_at: Time of the answer (s, monotonic).
    """

    __slots__ = ("answered_at", "unserved")

    def __init__(self, unserved, answered_at):
        self.unserved = unserved
        self.answered_at = answered_at


class Helpers:
    """What is known of the peers that requests can be handed on to.

    Attributes:
        answers: Map of instance id to Helper.
        regions: Set of home regions for which no helper was known.
        links: Map of instance id to the PeerLink for questions.
        wake: Event that is set when peers are to be asked.
        ready: Event that is set while the answers of a whole round are known.
        answered: Event that is set and replaced at each answer and at the end of a
            round.
        wanted_until: Time until which helpers are wanted (s, monotonic).
    """

    __slots__ = (
        "answered",
        "answers",
        "links",
        "ready",
        "regions",
        "wake",
        "wanted_until",
    )

    def __init__(self):
        self.answers = {}
        self.regions = set()
        self.links = {}
        self.wake = asyncio.Event()
        self.ready = asyncio.Event()
        self.answered = asyncio.Event()
        self.wanted_until = -math.inf


def is_wanted(front):
    """Returns whether helpers are needed now."""
    return bool(lost_services(front)) or time.monotonic() < front.helpers.wanted_until


async def find_helper(front, service, route, tried, ends_at):
    """Finds an instance that can serve a request of a service.

    Until a whole round of answers is known, it waits for further ones when those that
    have arrived name no such instance.

    Args:
        front: Front.
        service: Service name.
        route: Route of the request.
        tried: Set of the ids of instances that are not to be picked.
        ends_at: Time at which the wait ends in any case (s, monotonic).

    Returns:
        InstanceEntry, or None when no such instance is known.
    """
    helpers, now = front.helpers, time.monotonic()
    helpers.wanted_until = now + WANTED_S
    if not helpers.ready.is_set():
        helpers.wake.set()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(FIRST_ANSWER_S, ends_at - now)):
            while True:
                answered = helpers.answered
                entry = _pick_helper(front, service, route, tried)
                if entry is not None or helpers.ready.is_set():
                    return entry
                await answered.wait()
    return None


def _pick_helper(front, service, route, tried):
    """Picks an instance that can serve a request of a service.

    Args:
        front: Front.
        service: Service name.
        route: Route of the request; its home regions are kept, and bulk responses
            come from the own region if possible.
        tried: Set of the ids of instances that are not to be picked.

    Returns:
        InstanceEntry, or None when no such instance is known.
    """
    homes = route.home_regions
    found = [
        entry
        for entry in _candidates(front)
        if entry.instance_id not in tried
        and _can_serve(front, entry, service)
        and (not homes or entry.region in homes)
    ]
    if not found:
        front.helpers.regions.update(homes)
        return None
    if route.bulk:
        found = [e for e in found if e.region == front.cfg.region] or found
    return front.rng.choices(found, [_link_weight(e) for e in found])[0]


def _link_weight(entry):
    """Returns the share of the load that an instance gets, by its bandwidth."""
    return entry.link_mbps or DEFAULT_LINK_MBPS


def _candidates(front):
    own_id = front.cfg.instance_id
    return [
        entry
        for entry in front.view.instances.values()
        if entry.state == "live" and entry.handover_port and entry.instance_id != own_id
    ]


def _can_serve(front, entry, service):
    helper = front.helpers.answers.get(entry.instance_id)
    return (
        helper is not None
        and service not in helper.unserved
        and time.monotonic() < helper.answered_at + VALID_S
    )


def forget_helper(front, instance_id):
    """Picks an instance no more until it answers again."""
    front.helpers.answers.pop(instance_id, None)


def forget_all(front):
    """Closes the links and forgets the answers, which are no longer needed."""
    helpers = front.helpers
    for link in helpers.links.values():
        peerlink.close_link(link)
    helpers.links.clear()
    helpers.answers.clear()
    helpers.regions.clear()
    helpers.ready.clear()


async def ask_peers(front):
    """Asks some peers which services they cannot serve.

    Args:
        front: Front.
    """
    peers = _choose_peers(front)

    async def ask_next():
        while peers:
            await _ask(front, peers.pop(0))

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            await asyncio.gather(*(ask_next() for _ in range(MAX_ASKED_AT_ONCE)))
    front.helpers.ready.set()
    _notify_waiting(front.helpers)


def _notify_waiting(helpers):
    helpers.answered.set()
    helpers.answered = asyncio.Event()


def _choose_peers(front):
    helpers, cfg = front.helpers, front.cfg
    peers = _candidates(front)
    front.rng.shuffle(peers)

    def rank(entry):
        if entry.instance_id in helpers.answers:
            return 0
        if entry.region in helpers.regions:
            return 1
        if entry.region != cfg.region:
            return 4
        return 2 if entry.failure_domain != cfg.failure_domain else 3

    peers.sort(key=rank)
    near, others = peers[:MAX_ASKED_NEAR], peers[MAX_ASKED_NEAR:]
    return near + front.rng.sample(others, min(MAX_ASKED_FAR, len(others)))


async def _ask(front, entry):
    """Asks a peer; one that cannot help is dropped."""
    helpers, name = front.helpers, entry.instance_id
    link = helpers.links.setdefault(
        name, peerlink.PeerLink((entry.host, entry.peer_port))
    )
    try:
        with peerlink.failures_as_peer_errors(link):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await peerlink.open_link(link)
                call = peerlink.open_get(link, "/paths")
                response = await httpcall.read_response(call, httpcall.accept_any)
            if response.status != 200:
                raise httpcall.InvalidResponseError(f"status {response.status}")
            reply = from_plain(PathsReply, msgpack.unpackb(response.body))
            if reply.is_error():
                raise ValueError(reply.error[0].detail)
    except peerlink.PeerError:
        helpers.answers.pop(name, None)
        helpers.links.pop(name, None)
        return
    unserved = frozenset(reply.ok.unserved)
    missing = lost_services(front)
    if missing and unserved.issuperset(missing):
        helpers.answers.pop(name, None)
        peerlink.close_link(helpers.links.pop(name, link))
        return
    helpers.answers[name] = Helper(unserved, time.monotonic())
    _notify_waiting(helpers)


async def serve_paths(front):
    """Answers a peer's question.

    Args:
        front: Front.

    Returns:
        HttpResponse with a PathsReply; status 503 when the instance takes no requests.
    """
    if front.stopping or front.view.table is None:
        detail = "the instance takes no requests"
        return problem_response(Fault(ResultCode.DRAINING, detail))
    view, now = front.view.backends, time.monotonic()
    unserved = set(lost_services(front))
    for service, known in view.by_service.items():
        if not any(backends.is_in_use(view, backend, now) for backend in known):
            unserved.add(service)
    return binary_response(
        200, msgpack.packb(to_plain(PathsReply(unserved=sorted(unserved))))
    )
