"""Trace of a request: its routing decisions and sends, for the log."""

from flamingolift_decisions.fullregions import Placing

from flamingolift_front.sending import NOT_RUN_OUTCOMES, Outcome

__all__ = ["SendRecord", "Trace", "is_repeat", "may_have_run"]


class SendRecord:
    """One send of a request.

    Attributes:
        server_id: Id of the server.
        rank: Rank of the server in the rendezvous order of the object.
        cached: Whether the server is assumed to have the object cached.
        load: Estimated requests on the server before the send (count).
        started_ms: Start of the server by its entry at that time (ms since the epoch).
        sent: Whether a connection was made and bytes of the request written to it.
        reused: Whether it was sent on a connection that had been idle.
        outcome: Outcome.
        elapsed_ms: Time that the send took (ms).
    """

    __slots__ = (
        "cached",
        "elapsed_ms",
        "load",
        "outcome",
        "rank",
        "reused",
        "sent",
        "server_id",
        "started_ms",
    )

    def __init__(self, server_id, rank, load, started_ms):
        self.server_id = server_id
        self.rank = rank
        self.cached = False
        self.load = load
        self.started_ms = started_ms
        self.sent = False
        self.reused = False
        self.outcome = Outcome.CANCELLED
        self.elapsed_ms = 0.0


class Trace:
    """Routing decisions and sends of one request.

    Attributes:
        route: Route name; empty when none matched.
        service: Service name.
        policy: Version of the routing policy that decided.
        attempts: Number of sends that reached a server of the service.
        misdirected: Number of sends that reached another server than expected.
        sends: List of the SendRecord objects that ended.
        tried: Set of the server ids that were tried.
        placing: Placing, which says where it may go.
        budget_spent: Whether the retry budget allowed no further send.
        unreached: Number of servers that did not accept a connection.
        handed_to: Id of the instance that the request was handed on to; empty for
            none.
        is_trial: Whether the request is held and this is its one trial.
        withheld: List of (server id, instance that refused the grant, time until the
            next one (s)) for servers whose limit was reached.
        waited_ms: Time from its arrival until the earlier requests of its connection
            were answered (ms); 0 when there were none.
        early: Whether it was forwarded before they were answered.
    """

    __slots__ = (
        "attempts",
        "budget_spent",
        "early",
        "handed_to",
        "is_trial",
        "misdirected",
        "placing",
        "policy",
        "route",
        "sends",
        "service",
        "tried",
        "unreached",
        "waited_ms",
        "withheld",
    )

    def __init__(self):
        self.route = ""
        self.service = ""
        self.policy = 0
        self.attempts = 0
        self.sends = []
        self.tried = set()
        self.placing = Placing.ANY
        self.budget_spent = False
        self.unreached = 0
        self.misdirected = 0
        self.handed_to = ""
        self.is_trial = False
        self.withheld = []
        self.waited_ms = 0.0
        self.early = False


def may_have_run(trace):
    """Returns whether a server may have run the request, or may still run it.

    Args:
        trace: Trace of a request whose sends have ended.
    """
    if trace.handed_to:
        return True
    return any(send.outcome not in NOT_RUN_OUTCOMES for send in trace.sends)


def is_repeat(trace):
    """Returns whether a server has received the request before, its own or another.

    Args:
        trace: Trace.
    """
    return bool(trace.attempts or trace.misdirected)
