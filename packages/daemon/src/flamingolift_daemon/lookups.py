"""Look-ups: which instance a caller should use, answered from memory."""

from expression import Error, Ok, Result
from flamingolift_decisions.bookings import KeyFacts
from flamingolift_decisions.planner import default_rows
from flamingolift_decisions.policyrules import explain_match, matching_exceptions
from flamingolift_decisions.steering import (
    block_of,
    choose_witness,
    origin_of,
    steer,
)
from flamingolift_decisions.topology import sites_by_region
from flamingolift_model import Fault, ResultCode
from flamingolift_wire.idempotency import issue_idempotency_key

from flamingolift_daemon.metrics import count

__all__ = ["look_up", "rows_in_force"]


def rows_in_force(instance):
    """Returns the rows that steer callers: the plan's, or the default ones."""
    if instance.guard.rows:
        return instance.guard.rows
    policy = instance.policy.policy
    return default_rows(
        list(instance.policy.services),
        [region.name for region in policy.regions],
        sites_by_region(instance.view.entries),
    )


def look_up(instance, service_name, address) -> Result:
    """Answers a look-up.

    Args:
        instance: Instance.
        service_name: Service that the caller wants.
        address: Caller's IP address.

    Returns:
        Ok with a dict for the caller, or Error with a Fault. No call leaves the
        process; two instances with the same plan and live list give the same
        site and instance.
    """
    policy = instance.policy
    if policy is None:
        return Error(Fault(ResultCode.NOT_READY, "no policy in force", 1000))
    service = policy.services.get(service_name)
    if service is None:
        return Error(Fault(ResultCode.BAD_REQUEST, f"unknown service {service_name}"))
    try:
        block = block_of(address)
    except ValueError:
        return Error(Fault(ResultCode.BAD_REQUEST, f"{address} is not an IP address"))
    origin = origin_of(policy.blocks, block)
    grants = instance.plan.grants if instance.plan else {}
    rows = rows_in_force(instance)
    steered = steer(rows, grants, instance.by_site, service_name, origin, block)
    if steered.is_error():
        count(instance.metrics, f"lookups.refused.{steered.error.code.value}")
        return steered
    count(instance.metrics, "lookups.answered")
    return Ok(_answer(instance, service, block, origin, steered.ok))


def _answer(instance, service, block, origin, direction):
    """Returns the caller's answer as plain values."""
    chosen = direction.instance
    now = instance.clock.wall()
    answer = {
        "service": service.name,
        "instance": chosen.instance_id,
        "url": f"http://{chosen.host}:{chosen.caller_port}/s/{service.name}/",
        "site": direction.site,
        "origin": origin,
        "block": block,
        "ttl_s": service.lookup_ttl_s,
        "policy": instance.policy.number,
        "plan": instance.plan.number if instance.plan else 0,
        "evacuated": direction.evacuated,
    }
    matched = matching_exceptions(instance.policy, service.name, block, origin, now)
    if matched:
        answer["exception"] = matched[0].name
        answer["reason"] = explain_match(
            instance.policy, service.name, block, origin, now
        )
    if service.traffic_class == "booking":
        answer["idempotency_key"] = _issue(instance, service.name, chosen)
    return answer


def _issue(instance, service_name, home):
    """Issues an idempotency key that names the home and its witness."""
    witness = choose_witness(home, list(instance.serving.values()))
    members = instance.view.members

    def incarnation_of(entry):
        member = members.get(entry.instance_id)
        return member.incarnation if member else 0

    facts = KeyFacts(
        home.instance_id,
        incarnation_of(home),
        witness.instance_id if witness else "",
        incarnation_of(witness) if witness else 0,
        instance.clock.wall() + instance.cfg.key_lifetime_s,
        service_name,
    )
    return issue_idempotency_key(instance.ticket_keys, facts)
