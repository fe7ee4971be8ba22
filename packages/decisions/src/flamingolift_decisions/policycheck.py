"""Checks of a policy document that its schema cannot express."""

import ipaddress

from flamingolift_model import Fault, ResultCode

from flamingolift_decisions.policyrules import parse_time
from flamingolift_decisions.steering import BLOCK_BITS

__all__ = ["check_policy"]


def check_policy(policy):
    """Checks names, exceptions and caps of a policy.

    Args:
        policy: Policy that passed its schema.

    Returns:
        List of (path, Fault), empty for a valid policy. The path names the
        field, for example ``exceptions[2].match.region``.
    """
    faults = []
    faults += _check_duplicates(policy)
    faults += _check_blocks(policy)
    faults += _check_caps(policy)
    for index, exception in enumerate(policy.exceptions):
        faults += _check_exception(policy, f"exceptions[{index}]", exception)
    if not faults:
        faults += _check_reachability(policy)
    return faults


def _fault(path, code, text):
    return path, Fault(code, f"{path}: {text}")


def _check_duplicates(policy):
    faults = []
    for kind in ("regions", "services", "exceptions"):
        seen = set()
        for index, item in enumerate(getattr(policy, kind)):
            if item.name in seen:
                path = f"{kind}[{index}].name"
                text = f"{item.name} is declared twice"
                faults.append(_fault(path, ResultCode.POLICY_NAME, text))
            seen.add(item.name)
    domains = set()
    for index, region in enumerate(policy.regions):
        for domain in region.failure_domains:
            if domain in domains:
                path = f"regions[{index}].failure_domains"
                text = f"{domain} belongs to two regions"
                faults.append(_fault(path, ResultCode.POLICY_NAME, text))
            domains.add(domain)
    return faults


def _check_blocks(policy):
    faults = []
    owners = {}
    for index, region in enumerate(policy.regions):
        for position, block in enumerate(region.blocks):
            path = f"regions[{index}].blocks[{position}]"
            try:
                network = ipaddress.ip_network(block)
            except ValueError:
                text = f"{block} is not a CIDR block"
                faults.append(_fault(path, ResultCode.POLICY_FIELD, text))
                continue
            if network.prefixlen > BLOCK_BITS[network.version]:
                text = f"{block} is finer than a block, the unit of steering"
                faults.append(_fault(path, ResultCode.POLICY_FIELD, text))
            if network in owners:
                text = f"{block} is already claimed by {owners[network]}"
                faults.append(_fault(path, ResultCode.POLICY_OVERLAP, text))
            owners[network] = region.name
    return faults


def _check_caps(policy):
    faults = []
    shift = policy.shift
    if shift.hysteresis >= shift.cap:
        text = f"must be below the cap of {shift.cap}, which limits every move"
        faults.append(_fault("shift.hysteresis", ResultCode.POLICY_CAP, text))
    if shift.ease_after_s < shift.stale_after_s:
        text = "must be at least stale_after_s"
        faults.append(_fault("shift.ease_after_s", ResultCode.POLICY_CAP, text))
    for index, service in enumerate(policy.services):
        path = f"services[{index}]"
        if service.queue_ms >= service.deadline_ms:
            text = "must be below deadline_ms, or no time is left to run"
            faults.append(_fault(f"{path}.queue_ms", ResultCode.POLICY_CAP, text))
        if service.traffic_class == "booking" and service.hedge_after_ms:
            text = "bookings are never hedged"
            faults.append(_fault(f"{path}.hedge_after_ms", ResultCode.POLICY_CAP, text))
    return faults


def _check_exception(policy, path, exception):
    faults = []
    match, change = exception.match, exception.change
    services = {service.name for service in policy.services}
    regions = {region.name for region in policy.regions}
    domains = {d for region in policy.regions for d in region.failure_domains}
    for name, value, known in (
        ("service", match.service, services),
        ("region", match.region, regions),
        ("failure_domain", match.failure_domain, domains),
    ):
        if value and value not in known:
            text = f"{value} is not declared"
            faults.append(_fault(f"{path}.match.{name}", ResultCode.POLICY_NAME, text))
    faults += _check_match_values(path, match)
    for site, weight in change.weights.items():
        if weight < 0.0:
            text = "must not be negative"
            weight_path = f"{path}.change.weights.{site}"
            faults.append(_fault(weight_path, ResultCode.POLICY_FIELD, text))
    if change.weights and sum(change.weights.values()) <= 0.0:
        text = "must have a positive sum, or no site receives the traffic"
        faults.append(_fault(f"{path}.change.weights", ResultCode.POLICY_CAP, text))
    faults += _check_change_scope(path, match, change)
    return faults


def _check_match_values(path, match):
    faults = []
    if match.block:
        try:
            ipaddress.ip_network(match.block)
        except ValueError:
            text = f"{match.block} is not a CIDR block"
            faults.append(_fault(f"{path}.match.block", ResultCode.POLICY_FIELD, text))
    times = []
    for name in ("not_before", "not_after"):
        try:
            times.append(parse_time(getattr(match, name), None))
        except ValueError as exc:
            faults.append(
                _fault(f"{path}.match.{name}", ResultCode.POLICY_FIELD, str(exc))
            )
    if len(times) == 2 and None not in times and times[0] >= times[1]:
        text = "ends before it begins and can never match"
        faults.append(
            _fault(f"{path}.match.not_after", ResultCode.POLICY_OVERLAP, text)
        )
    return faults


def _check_change_scope(path, match, change):
    """Checks that the change can apply to what is matched."""
    for_callers = bool(
        change.deadline_ms
        or change.queue_ms >= 0
        or change.retry_budget >= 0.0
        or change.hedge_after_ms >= 0
    )
    for_servers = change.drain or change.limit >= 0
    of_server = bool(match.backend_server or match.failure_domain)
    if not (for_callers or for_servers or change.weights):
        text = "changes nothing"
        return [_fault(f"{path}.change", ResultCode.POLICY_OVERLAP, text)]
    if of_server and (for_callers or change.weights):
        text = "a match on a destination takes only drain and limit"
        return [_fault(f"{path}.change", ResultCode.POLICY_OVERLAP, text)]
    if match.block and (for_servers or change.weights):
        text = "a match on a block takes no drain, limit or weights"
        return [_fault(f"{path}.change", ResultCode.POLICY_OVERLAP, text)]
    return []


def _covers(first, second):
    """Returns whether `first` matches everything that `second` matches."""
    for name in ("service", "region", "failure_domain", "backend_server"):
        value = getattr(first, name)
        if value and value != getattr(second, name):
            return False
    if first.block:
        if not second.block:
            return False
        outer, inner = (ipaddress.ip_network(m.block) for m in (first, second))
        if outer.version != inner.version or not inner.subnet_of(outer):
            return False
    infinity = float("inf")
    return parse_time(first.not_before, 0.0) <= parse_time(
        second.not_before, 0.0
    ) and parse_time(first.not_after, infinity) >= parse_time(
        second.not_after, infinity
    )


def _changed_scope(exception):
    """Returns what the exception changes: "caller", "server" or "weights"."""
    change = exception.change
    if change.weights:
        return "weights"
    return "server" if change.drain or change.limit >= 0 else "caller"


def _overlaps(first, second):
    """Returns whether both can match the same request or server at the same time."""
    for name in ("service", "region", "failure_domain", "backend_server"):
        values = {getattr(first, name), getattr(second, name)} - {""}
        if len(values) > 1:
            return False
    if first.block and second.block:
        one, two = (ipaddress.ip_network(m.block) for m in (first, second))
        if one.version != two.version or not one.overlaps(two):
            return False
    infinity = float("inf")
    starts = [parse_time(m.not_before, 0.0) for m in (first, second)]
    ends = [parse_time(m.not_after, infinity) for m in (first, second)]
    return max(starts) < min(ends)


def _check_reachability(policy):
    """Finds exceptions that never apply, and overlapping pairs without clear order."""
    faults = []
    for index, later in enumerate(policy.exceptions):
        for earlier in policy.exceptions[:index]:
            if _changed_scope(earlier) != _changed_scope(later):
                continue
            path = f"exceptions[{index}]"
            if _covers(earlier.match, later.match):
                text = (
                    f"can never apply: {earlier.name} precedes it and "
                    "matches everything that it matches"
                )
                faults.append(_fault(path, ResultCode.POLICY_OVERLAP, text))
            elif _overlaps(earlier.match, later.match) and not _covers(
                later.match, earlier.match
            ):
                text = f"overlaps {earlier.name} in part; narrow one of the two"
                faults.append(_fault(path, ResultCode.POLICY_OVERLAP, text))
    return faults
