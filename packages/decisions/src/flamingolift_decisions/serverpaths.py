"""Whether an instance itself is cut off from the backend servers.

A failed connect is the server's fault when other servers are reached meanwhile, and the
instance's own when several different servers fail and none is reached. A service may be
cut off on its own, since its servers may stand behind another part of the network.
"""

from expression import Nothing, Option, Some

__all__ = [
    "ServerPaths",
    "cut_off_services",
    "is_cut_off",
    "record_reached",
    "record_unreached",
]

CUT_OFF_SERVERS = 3
"""Different servers of one service that must fail, with none of it reached meanwhile,
before the service counts as cut off."""
CUT_OFF_SERVERS_OVERALL = 4
"""The same over all services; more, because services with a single server count."""
EVIDENCE_S = 3.0
"""Time for which a failed connect counts (s): several tries of a request to a service
with little traffic."""


class ServerPaths:
    """Evidence about an instance's paths to the backend servers.

    Attributes:
        unreached: Map of service name to a map of server id to the time of its last
            failed connect since a server of the service was reached (s, monotonic).
        cut_off_at: Map of service name to the time at which it was found to be cut off
            (s, monotonic).
    """

    __slots__ = ("cut_off_at", "unreached")

    def __init__(self):
        self.unreached = {}
        self.cut_off_at = {}


def record_unreached(paths, service, server_id, services, now) -> Option:
    """Records a failed connect to a server, or a connection that went silent.

    Args:
        paths: ServerPaths.
        service: Service name.
        server_id: Id of the server.
        services: Names of all services, which are cut off together when servers of
            several fail and none is reached.
        now: Current time (s, monotonic).

    Returns:
        Some with the list of the services that are newly found to be cut off, or
        Nothing.
    """
    failed = paths.unreached.setdefault(service, {})
    failed[server_id] = now
    for times in paths.unreached.values():
        for name in [n for n, at in times.items() if at < now - EVIDENCE_S]:
            del times[name]
    overall = sum(len(times) for times in paths.unreached.values())
    if overall >= CUT_OFF_SERVERS_OVERALL and _count_services(paths) > 1:
        found = [*services, service]
    elif len(failed) >= CUT_OFF_SERVERS:
        found = [service]
    else:
        found = []
    new = sorted({name for name in found if name not in paths.cut_off_at})
    paths.cut_off_at.update(dict.fromkeys(new, now))
    return Some(new) if new else Nothing


def _count_services(paths):
    return sum(bool(times) for times in paths.unreached.values())


def record_reached(paths, service) -> Option:
    """Records that a server accepted a connection or answered on a new one.

    Args:
        paths: ServerPaths.
        service: Service name.

    Returns:
        Some with the time at which the service was found to be cut off (s, monotonic)
        when it is no longer, or Nothing.

    Notes:
        The evidence of the other services stays: each is found to be reachable by a
        connect of its own.
    """
    if paths.unreached:
        paths.unreached.pop(service, None)
    cut_off_at = paths.cut_off_at.pop(service, None)
    return Nothing if cut_off_at is None else Some(cut_off_at)


def is_cut_off(paths, service):
    """Returns whether the instance is cut off from all servers of a service."""
    return service in paths.cut_off_at


def cut_off_services(paths):
    """Returns the names of the services that are cut off, sorted."""
    return sorted(paths.cut_off_at)
