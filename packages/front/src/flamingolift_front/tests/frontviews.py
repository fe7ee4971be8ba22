"""Fronts without listeners and documents of their views, for tests of the front."""

import os

from flamingolift_front.eventlog import EventLog
from flamingolift_front.frontmetrics import FrontMetrics
from flamingolift_front.state import Front, StorePort
from flamingolift_model.frontsettings import FrontSettings, HeaderNames
from flamingolift_model.plan import InstanceEntry
from flamingolift_model.routing import Route, RoutingPolicy, WeightedService


def make_policy(number, routes):
    return RoutingPolicy(
        number=number,
        routes=[
            Route(
                name=f"r{index}",
                host="shop.example",
                prefix=f"/p{index}/",
                services=[WeightedService(service="reads", weight=1.0)],
                idempotent=True,
                timeout_ms=1500.0,
            )
            for index in range(routes)
        ],
    )


def make_entry(number, peer_port=2):
    return InstanceEntry(
        instance_id=f"front-{number}",
        region="upland",
        failure_domain=f"d{number % 2}",
        host="127.0.0.1",
        caller_port=1,
        peer_port=peer_port,
        operator_port=3,
    )


def make_front(**settings):
    """Returns a Front whose log is discarded."""
    cfg = FrontSettings(
        instance_id="front-0",
        region="upland",
        failure_domain="d0",
        host="127.0.0.1",
        caller_port=1,
        ready_port=1,
        lookup_port=1,
        peer_port=1,
        domain_regions={"d0": "upland"},
        **settings,
    )
    log = EventLog(os.open(os.devnull, os.O_WRONLY), cfg.instance_id)
    return Front(cfg, HeaderNames(), None, log, FrontMetrics())


def make_current_store(front):
    """Returns a StorePort that only says that the view of a front is current."""

    async def read_position(_timeout_s):
        return front.view.revision

    names = [name for name in StorePort.__slots__ if name != "read_position"]
    return StorePort(read_position=read_position, **dict.fromkeys(names))
