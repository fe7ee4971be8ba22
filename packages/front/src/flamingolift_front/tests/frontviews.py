"""Documents of a front's view, for its tests."""

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
