"""Where new requests go when servers are full: a region with few servers of a service.

Large answers come from the own region, so that an instance hears from that region's
servers alone and takes their load for that of the service. The share of requests that
would be refused goes to other regions as long as these have room.
"""

import enum

from flamingolift_decisions.admission import refused_share, should_shed
from flamingolift_decisions.affinity import BUSY_LOAD
from flamingolift_decisions.availability import why_unused
from flamingolift_decisions.loads import other_regions_load, region_load

__all__ = ["Placing", "place_request"]


class Placing(enum.Enum):
    """Where a new request may go.

    ANY is the usual choice, SPILL keeps it away from the own region, and SHED from all
    servers that name no limit.
    """

    ANY = "any"
    SPILL = "spill"
    SHED = "shed"


def place_request(view, service, route, region, now):
    """Decides where a new request may go.

    Args:
        view: BackendView.
        service: Service name.
        route: Route of the request.
        region: Region of this instance.
        now: Current time (s, monotonic).

    Returns:
        Placing. The share that leaves the region follows its excess load, so that it
        falls as the queues there shorten.
    """
    if not route.bulk:
        return Placing.SHED if should_shed(view, service, now) else Placing.ANY
    share = refused_share(region_load(view, service, region, now))
    if share <= 0.0 or view.rng.random() >= share:
        return Placing.ANY
    if other_regions_load(view, service, region, now) >= BUSY_LOAD:
        return Placing.SHED
    if not _has_server_elsewhere(view, service, route, region, now):
        return Placing.SHED
    return Placing.SPILL


def _has_server_elsewhere(view, service, route, region, now):
    homes = route.home_regions
    return any(
        backend.entry.region != region
        and (not homes or backend.entry.region in homes)
        and why_unused(view, backend, now) is None
        for backend in view.by_service.get(service, ())
    )
