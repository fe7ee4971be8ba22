"""Entries of servers and a route to them, for tests of the choice of a server."""

from flamingolift_model.plan import BackendEntry
from flamingolift_model.routing import Route, WeightedService


def make_entry(number, **changes):
    """Returns an entry of the service "maps"; each third one is of the same region."""
    fields = {
        "server_id": f"s{number}",
        "service": "maps",
        "region": f"r{number % 3}",
        "failure_domain": f"d{number % 3}",
        "host": "127.0.0.1",
        "port": 8000 + number,
        "slots": 3,
    }
    return BackendEntry(**{**fields, **changes})


def make_route(**changes):
    fields = {
        "name": "maps",
        "host": "h",
        "prefix": "/",
        "services": [WeightedService(service="maps", weight=1.0)],
        "idempotent": True,
        "timeout_ms": 1000.0,
    }
    return Route(**{**fields, **changes})
