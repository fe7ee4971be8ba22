"""A caller's request on its way to a backend server, and its answer."""

__all__ = ["CallerRequest", "ForwardedAnswer"]


class CallerRequest:
    """One caller's request, as it is forwarded to a backend server.

    Attributes:
        service: Service name.
        rules: ServiceRules in force for the caller.
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: List of end-to-end header fields (name, value).
        body: Bytes, an asynchronous iterator of bytes, or None.
        tenant: Tenant, for fair queueing.
        fingerprint: Hash that identifies equal requests, for quarantine.
        deadline: Time by which the answer's head must have arrived (s, monotonic).
    """

    __slots__ = (
        "body",
        "deadline",
        "fingerprint",
        "headers",
        "method",
        "rules",
        "service",
        "target",
        "tenant",
    )

    def __init__(
        self,
        service,
        rules,
        method,
        target,
        headers,
        body,
        tenant,
        fingerprint,
        deadline,
    ):
        self.service = service
        self.rules = rules
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.tenant = tenant
        self.fingerprint = fingerprint
        self.deadline = deadline


class ForwardedAnswer:
    """An answer whose body is still being read, with the slot that it occupies.

    Attributes:
        answer: BackendAnswer.
        slot: Slot.
        started_at: Time at which the request was sent (s, monotonic).
    """

    __slots__ = ("answer", "slot", "started_at")

    def __init__(self, answer, slot, started_at):
        self.answer = answer
        self.slot = slot
        self.started_at = started_at
