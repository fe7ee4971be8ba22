"""What happened to a request, for its log line."""

from flamingolift_front.sending import Outcome

__all__ = ["SendRecord", "Trace"]


class SendRecord:
    """One send of a request.

    Attributes:
        server_id: Id of the server.
        place: Place of the server in the object's order.
        load: Requests on the server as this instance knew before (count).
        outcome: Outcome.
        elapsed_ms: Time that the send took (ms).
    """

    __slots__ = ("elapsed_ms", "load", "outcome", "place", "server_id")

    def __init__(self, server_id, place, load):
        self.server_id = server_id
        self.place = place
        self.load = load
        self.outcome = Outcome.CANCELLED
        self.elapsed_ms = 0.0


class Trace:
    """Decisions on one request.

    Attributes:
        route: Route name; empty when none matched.
        service: Service name.
        policy: Version of the routing policy that decided.
        attempts: Sends that reached a server.
        sends: List of the SendRecord objects that ended.
        tried: Set of the server ids that were tried.
        unreached: Servers that did not accept a connection.
    """

    __slots__ = (
        "attempts",
        "policy",
        "route",
        "sends",
        "service",
        "tried",
        "unreached",
    )

    def __init__(self):
        self.route = ""
        self.service = ""
        self.policy = 0
        self.attempts = 0
        self.sends = []
        self.tried = set()
        self.unreached = 0
