"""Where new requests go when servers are full: a region with few servers of a service.

Large answers come from the own region, so that an instance hears from that region's
servers alone and takes their load for that of the service. The share of requests that
would be refused goes to other regions as long as these have room.
"""

import enum

from flamingolift_decisions.admission import is_excess, should_shed
from flamingolift_decisions.affinity import BUSY_LOAD
from flamingolift_decisions.backends import usable_backends
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
    if not is_excess(view, region_load(view, service, region, now)):
        return Placing.ANY
    if other_regions_load(view, service, region, now) >= BUSY_LOAD:
        return Placing.SHED
    usable = usable_backends(view, service, route, now)
    has_others = any(backend.entry.region != region for backend in usable)
    return Placing.SPILL if has_others else Placing.SHED
