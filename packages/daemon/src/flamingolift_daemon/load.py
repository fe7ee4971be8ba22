"""Measures the load that this instance's callers cause, by service and origin."""

from flamingolift_decisions.pool import pool_capacity
from flamingolift_decisions.topology import choose_dispatcher
from flamingolift_model.plan import ServiceLoad

__all__ = ["LoadMeter", "record_busy_time", "sample_load"]

SMOOTHING = 0.3
"""Weight of the newest interval in the exponential average of demand."""
MIN_DEMAND = 1e-3
"""Demand below which an origin is not reported (slots)."""


class LoadMeter:
    """Busy time of the slots used for one service by the callers of one origin.

    Attributes:
        busy_s: Busy time since the last sample (s).
        demand: Exponential average of the number of busy slots.
    """

    __slots__ = ("busy_s", "demand")

    def __init__(self):
        self.busy_s = 0.0
        self.demand = 0.0


def record_busy_time(instance, service, origin, busy_s):
    """Adds the time for which a request kept a slot busy.

    Args:
        instance: Instance.
        service: Service name.
        origin: Caller's origin region.
        busy_s: Time on a backend server (s).
    """
    meter = instance.load.get((service, origin))
    if meter is None:
        meter = instance.load[service, origin] = LoadMeter()
    meter.busy_s += busy_s


def _is_dispatcher(instance, service, region):
    """Returns whether this instance is the dispatcher of a pool."""
    chosen = choose_dispatcher(instance.serving, service, region)
    return chosen is not None and chosen.instance_id == instance.cfg.instance_id


def sample_load(instance, interval_s):
    """Ends a measuring interval and returns the load of each service.

    Args:
        instance: Instance.
        interval_s: Time since the last sample (s).

    Returns:
        List of ServiceLoad; only a dispatcher reports the capacity of its pools.
    """
    demand = {}
    for (service, origin), meter in instance.load.items():
        busy_slots = meter.busy_s / interval_s
        meter.busy_s = 0.0
        meter.demand += SMOOTHING * (busy_slots - meter.demand)
        if meter.demand > MIN_DEMAND:
            demand.setdefault(service, {})[origin] = meter.demand
    now = instance.clock.now()
    capacity = {
        service: pool_capacity(pool, now)
        for (service, region), pool in instance.pools.items()
        if _is_dispatcher(instance, service, region)
    }
    return [
        ServiceLoad(
            service=service,
            demand=demand.get(service, {}),
            capacity=float(capacity.get(service, 0)),
            is_dispatcher=service in capacity,
        )
        for service in sorted(set(demand) | set(capacity))
    ]
