"""Choice of the route for a request and of the service on that route."""

__all__ = ["RouteTable", "build_route_table", "match_route", "pick_service"]

from flamingolift_model.routing import RequestLimits

from flamingolift_decisions.hashing import weighted_choice


class RouteTable:
    """Index of the routes of a routing policy by host and prefix.

    Attributes:
        number: Version of the policy.
        routes: Map of (host, prefix) to Route.
        services: Map of service name to ServiceSpec.
        limits: RequestLimits.
    """

    __slots__ = ("limits", "number", "routes", "services")

    def __init__(self, number, routes, services, limits):
        self.number = number
        self.routes = routes
        self.services = services
        self.limits = limits


def build_route_table(policy):
    """Indexes a routing policy.

    Args:
        policy: RoutingPolicy.

    Returns:
        RouteTable.
    """
    return RouteTable(
        policy.number,
        {(route.host, route.prefix): route for route in policy.routes},
        {service.name: service for service in policy.services},
        policy.limits or RequestLimits(),
    )


def match_route(table, host, path):
    """Finds the route of a host with the longest prefix that matches a path.

    Args:
        table: RouteTable.
        host: Host of the request; its port and the case of letters are ignored.
        path: Path of the request, without its query.

    Returns:
        Route, or None.
    """
    host = _normalize_host(host)
    end = path.rfind("/")
    while end >= 0:
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def _normalize_host(host):
    host = host.strip().lower()
    if host.startswith("["):
        return host[: host.find("]") + 1]
    return host.partition(":")[0]


def pick_service(route, request_id):
    """Picks one of the services of a route for a request.

    Args:
        route: Route.
        request_id: Id of the request; its hash determines the choice.

    Returns:
        Service name, each with a probability proportional to its weight, or None
        when no weight is positive.
    """
    if len(route.services) == 1:
        return route.services[0].service
    weights = {part.service: part.weight for part in route.services}
    return weighted_choice(request_id, weights)
