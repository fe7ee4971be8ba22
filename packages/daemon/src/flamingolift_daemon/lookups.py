"""Look-ups: which instance a caller should use, from the state in memory."""

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
    """Returns the weights that steer callers: those of the plan, or the defaults."""
    if instance.shift_limiter.rows:
        return instance.shift_limiter.rows
    policy = instance.policy.policy
    return default_rows(
        list(instance.policy.services),
        [region.name for region in policy.regions],
        sites_by_region(instance.view.entries),
    )


def look_up(instance, service_name, address) -> Result:
    """Chooses the instance that a caller should use.

    It makes no call to another process. Instances with the same plan and live list
    choose the same site and instance.

    Args:
        instance: Instance.
        service_name: Service that the caller wants.
        address: Caller's IP address.

    Returns:
        Ok with a dict for the caller, or Error with a Fault.
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
    return Ok(_build_answer(instance, service, block, origin, steered.ok))


def _build_answer(instance, service, block, origin, direction):
    """Returns the answer to a look-up as plain values."""
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
        answer["idempotency_key"] = _issue_idempotency_key(
            instance, service.name, chosen
        )
    return answer


def _issue_idempotency_key(instance, service_name, home):
    """Returns an idempotency key that names a home instance and its witness."""
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
