"""What the policy says for one request: the default and its exceptions."""

import datetime
import ipaddress

from flamingolift_decisions.steering import BlockTable

__all__ = [
    "CompiledPolicy",
    "ServiceRules",
    "compile_policy",
    "drained_servers",
    "explain_match",
    "matching_exceptions",
    "rules_for",
    "server_limits",
    "weight_overrides",
]


class ServiceRules:
    """Settings in force for one request.

    Attributes:
        traffic_class: "lookup", "booking" or "download".
        deadline_ms: Default deadline (ms).
        queue_ms: Longest wait for a slot (ms).
        retry_budget: Retries and hedges as a share of requests (ratio).
        hedge_after_ms: Delay before a hedged request (ms); 0 for none.
        exception: PolicyException that changed them, or None.
    """

    __slots__ = (
        "deadline_ms",
        "exception",
        "hedge_after_ms",
        "queue_ms",
        "retry_budget",
        "traffic_class",
    )

    def __init__(self, service):
        self.traffic_class = service.traffic_class
        self.deadline_ms = service.deadline_ms
        self.queue_ms = service.queue_ms
        self.retry_budget = service.retry_budget
        self.hedge_after_ms = service.hedge_after_ms
        self.exception = None


class CompiledPolicy:
    """A policy with its look-up tables.

    Attributes:
        policy: Policy.
        number: Policy number.
        services: Map of service name to Service.
        blocks: BlockTable of the regions.
        windows: Map of exception name to (start, end) (s since the epoch).
        networks: Map of exception name to the matched IP network, or None.
        drains: Set of (kind, name) targets that the operator drains.
    """

    __slots__ = (
        "blocks",
        "drains",
        "networks",
        "number",
        "policy",
        "services",
        "windows",
    )

    def __init__(self, policy, number, drains):
        self.policy = policy
        self.number = number
        self.services = {service.name: service for service in policy.services}
        self.blocks = BlockTable(policy.regions)
        self.windows = {
            e.name: (
                parse_time(e.match.not_before, 0.0),
                parse_time(e.match.not_after, float("inf")),
            )
            for e in policy.exceptions
        }
        self.networks = {
            e.name: (
                ipaddress.ip_network(e.match.block, strict=False)
                if e.match.block
                else None
            )
            for e in policy.exceptions
        }
        self.drains = {tuple(target.split(":", 1)) for target in drains}


def compile_policy(policy, number, drains):
    """Returns the CompiledPolicy of a checked policy.

    Args:
        policy: Policy without faults by `policycheck.check_policy`.
        number: Policy number.
        drains: List of drained targets, as kind:name.
    """
    return CompiledPolicy(policy, number, drains)


def parse_time(text, default):
    """Returns an RFC 3339 time as seconds since the epoch.

    Args:
        text: Time with an offset; empty gives the default.
        default: Value for an empty text (s since the epoch).

    Raises:
        ValueError: The text is not a time, or has no offset.
    """
    if not text:
        return default
    parsed = datetime.datetime.fromisoformat(text)
    if parsed.tzinfo is None:
        raise ValueError("a time needs an offset, for example +00:00")
    return parsed.timestamp()


def _in_window(compiled, exception, now):
    start, end = compiled.windows[exception.name]
    return start <= now < end


def matching_exceptions(compiled, service, block, origin, now):
    """Returns the exceptions that match a caller's request.

    Args:
        compiled: CompiledPolicy.
        service: Service name.
        block: Caller's block.
        origin: Caller's origin region.
        now: Wall clock (s since the epoch).

    Returns:
        List of PolicyException, the one of highest precedence first. Exceptions
        about a backend server or a failure domain are not about a caller and
        are left out.
    """
    network = ipaddress.ip_network(block)
    return [
        exception
        for exception in compiled.policy.exceptions
        if _matches_caller(compiled, exception, service, network, origin, now)
    ]


def _matches_caller(compiled, exception, service, network, origin, now):
    match = exception.match
    if match.backend_server or match.failure_domain:
        return False
    if match.service and match.service != service:
        return False
    if match.region and match.region != origin:
        return False
    matched = compiled.networks[exception.name]
    if matched is not None and (
        matched.version != network.version or not network.subnet_of(matched)
    ):
        return False
    return _in_window(compiled, exception, now)


def rules_for(compiled, service, block, origin, now):
    """Returns the ServiceRules of a request, or None for an unknown service.

    Args:
        compiled: CompiledPolicy.
        service: Service name.
        block: Caller's block.
        origin: Caller's origin region.
        now: Wall clock (s since the epoch).
    """
    known = compiled.services.get(service)
    if known is None:
        return None
    rules = ServiceRules(known)
    matched = matching_exceptions(compiled, service, block, origin, now)
    if not matched:
        return rules
    exception = rules.exception = matched[0]
    change = exception.change
    if change.deadline_ms > 0:
        rules.deadline_ms = change.deadline_ms
    if change.queue_ms >= 0:
        rules.queue_ms = change.queue_ms
    if change.retry_budget >= 0.0:
        rules.retry_budget = change.retry_budget
    if change.hedge_after_ms >= 0:
        rules.hedge_after_ms = change.hedge_after_ms
    return rules


def explain_match(compiled, service, block, origin, now):
    """Returns a sentence for a caller on why the request is treated as it is.

    Args:
        compiled: CompiledPolicy.
        service: Service name.
        block: Caller's block.
        origin: Caller's origin region.
        now: Wall clock (s since the epoch).
    """
    matched = matching_exceptions(compiled, service, block, origin, now)
    if not matched:
        return f"The default policy of {compiled.policy.fleet} applies."
    return f"Exception {matched[0].name} applies: {matched[0].reason}"


def drained_servers(compiled, entries, now):
    """Returns the backend servers that the operator takes out of service.

    Args:
        compiled: CompiledPolicy.
        entries: List of BackendEntry.
        now: Wall clock (s since the epoch).

    Returns:
        Set of backend server names, from drain commands and from exceptions.
    """
    active = [
        e
        for e in compiled.policy.exceptions
        if e.change.drain and _in_window(compiled, e, now)
    ]
    return {
        entry.server_id
        for entry in entries
        if ("server", entry.server_id) in compiled.drains
        or ("domain", entry.failure_domain) in compiled.drains
        or ("region", entry.region) in compiled.drains
        or any(_matches_server(e.match, entry) for e in active)
    }


def _matches_server(match, entry):
    return (
        (not match.service or match.service == entry.service)
        and (not match.backend_server or match.backend_server == entry.server_id)
        and (not match.failure_domain or match.failure_domain == entry.failure_domain)
        and (not match.region or match.region == entry.region)
        and not match.block
    )


def server_limits(compiled, entries, now):
    """Returns the concurrency limits that exceptions set.

    Args:
        compiled: CompiledPolicy.
        entries: List of BackendEntry.
        now: Wall clock (s since the epoch).

    Returns:
        Map of backend server name to its limit (slots).
    """
    limits = {}
    for exception in reversed(compiled.policy.exceptions):
        if exception.change.limit < 0 or not _in_window(compiled, exception, now):
            continue
        for entry in entries:
            if _matches_server(exception.match, entry):
                limits[entry.server_id] = exception.change.limit
    return limits


def weight_overrides(compiled, now):
    """Returns the site weights that exceptions set.

    Args:
        compiled: CompiledPolicy.
        now: Wall clock (s since the epoch).

    Returns:
        Map of (service, origin region) to a map of site to weight; an empty
        service or origin stands for all. The planner takes them as a target, so
        that they too take force under the cap.
    """
    overrides = {}
    for exception in reversed(compiled.policy.exceptions):
        if exception.change.weights and _in_window(compiled, exception, now):
            match = exception.match
            overrides[match.service, match.region] = exception.change.weights
    return overrides
