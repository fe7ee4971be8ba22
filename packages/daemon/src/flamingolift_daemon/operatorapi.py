"""The listener for operators: status, weights, explanations and histograms."""

from flamingolift_decisions.documents import versions
from flamingolift_decisions.policyrules import explain_match
from flamingolift_decisions.pool import pool_capacity
from flamingolift_decisions.quarantine import current_holds
from flamingolift_decisions.servers import usable_slots
from flamingolift_decisions.steering import block_of, origin_of
from flamingolift_model import Fault, FaultError, ResultCode
from flamingolift_wire.keys import equal_in_constant_time

from flamingolift_daemon.callerapi import HealthResource
from flamingolift_daemon.httpserver import make_app, track_caller
from flamingolift_daemon.lookups import look_up, rows_in_force
from flamingolift_daemon.metrics import summarize

__all__ = ["make_operator_app"]


def _check_key(instance, req):
    """Checks the operator key of a request against each known key.

    Raises:
        FaultError: The key is missing or wrong.
    """
    scheme, _, given = (req.get_header("Authorization") or "").partition(" ")
    known = instance.operator_keys.keys.values()
    matches = [
        equal_in_constant_time(given.encode(), key.hex().encode()) for key in known
    ]
    if scheme != "Bearer" or not any(matches):
        raise FaultError(
            Fault(ResultCode.UNAUTHORIZED, "missing or wrong operator key")
        )


class OperatorResource:
    """A read-only resource rendered by a function of the instance and the request."""

    def __init__(self, instance, render):
        self.instance = instance
        self.render = render

    async def on_get(self, req, resp):
        """Answers with the rendered values as JSON."""
        _check_key(self.instance, req)
        resp.media = self.render(self.instance, req)
        resp.cache_control = ["no-store"]


def render_status(instance, req):
    """Returns the instance's state as plain values."""
    now = instance.clock.now()
    return {
        "instance": instance.cfg.instance_id,
        "region": instance.cfg.region,
        "failure_domain": instance.cfg.failure_domain,
        "incarnation": instance.incarnation,
        "versions": versions(instance.latest_documents),
        "stopping": instance.stopping.is_set(),
        "isolated": instance.isolated,
        "in_flight": instance.in_flight,
        "serving": sorted(instance.serving),
        "members": {
            name: {"state": member.state, "leaving": member.leaving}
            for name, member in sorted(instance.view.members.items())
        },
        "links": sorted(instance.links),
        "pools": [_render_pool(key, pool, now) for key, pool in instance.pools.items()],
        "held_slots": {
            f"{service}@{region}": len(slots)
            for (service, region), slots in sorted(instance.held_slots.items())
        },
        "quarantined": _quarantined(instance, now),
        "bookings": len(instance.bookings.records),
        "store_calls": instance.store.calls,
        "counters": dict(sorted(instance.metrics.totals.items())),
    }


def _quarantined(instance, now):
    """Returns the fingerprints of the requests in quarantine, sorted."""
    held = {hold.fingerprint for hold in current_holds(instance.crash_log, now)}
    return sorted(held.union(instance.crash_log.announced))


def _render_pool(key, pool, now):
    service, region = key
    return {
        "service": service,
        "region": region,
        "capacity": pool_capacity(pool, now),
        "granted": len(pool.grants),
        "queued": pool.queue.size,
        "servers": {
            name: {
                "slots": server.slots,
                "usable": usable_slots(server, now),
                "granted": server.granted,
                "healthy": server.healthy,
                "draining": sorted(server.drain_sources),
            }
            for name, server in sorted(pool.servers.items())
        },
    }


def render_histograms(instance, req):
    """Returns the duration percentiles by service, traffic class and tenant (ms)."""
    return {"histograms": summarize(instance.metrics)}


def render_rows(instance, req):
    """Returns the weights that currently steer callers."""
    if instance.policy is None:
        raise FaultError(Fault(ResultCode.NOT_READY, "no policy in force"))
    plan = instance.plan.number if instance.plan else 0
    return {"plan": plan, "rows": rows_in_force(instance)}


def render_explanation(instance, req):
    """Returns the answer that a caller would get from a look-up, and the reason."""
    service = req.get_param("service", required=True)
    address = req.get_param("client", required=True)
    answered = look_up(instance, service, address)
    if answered.is_error():
        raise FaultError(answered.error)
    answer = answered.ok
    answer.pop("idempotency_key", None)
    block = block_of(address)
    origin = origin_of(instance.policy.blocks, block)
    wall = instance.clock.wall()
    answer["reason"] = explain_match(instance.policy, service, block, origin, wall)
    answer["weights"] = rows_in_force(instance).get(service, {}).get(origin, {})
    return answer


def make_operator_app(instance):
    """Returns the ASGI application of the listener for operators.

    Args:
        instance: Instance.
    """
    app = make_app()
    app.add_route("/healthz", HealthResource(instance, needs_policy=False))
    app.add_route("/readyz", HealthResource(instance, needs_policy=True))
    for path, render in (
        ("/v1/status", render_status),
        ("/v1/histograms", render_histograms),
        ("/v1/rows", render_rows),
        ("/v1/explain", render_explanation),
    ):
        app.add_route(path, OperatorResource(instance, render))
    return track_caller(app)
