"""Whether an instance itself is cut off from the backend servers.

A failed connect is the server's fault when other servers are reached meanwhile, and the
instance's own when several different servers fail and none is reached. A service may be
cut off on its own, since its servers may stand behind another part of the network.
"""

import math

from expression import Nothing, Option, Some

from flamingolift_decisions.backends import end_suspension

__all__ = [
    "ServerPaths",
    "cut_off_services",
    "end_cut",
    "is_cut_off",
    "lift_suspensions",
    "record_ended",
    "record_reached",
    "record_unreached",
    "renew_cold_pauses",
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
        evidence: Map of the name of each service that is cut off to the set of the
            (service, server id) whose failed connects say so.
        cut_off_at: Map of service name to the time at which it was found to be cut off
            (s, monotonic).
        reached_at: Time at which a server of any service was reached last (s,
            monotonic).
    """

    __slots__ = ("cut_off_at", "evidence", "reached_at", "unreached")

    def __init__(self):
        self.reached_at = -math.inf
        self.unreached = {}
        self.evidence = {}
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
    evidence = {(service, name) for name in failed}
    # A failure of a service that is cut off already says nothing about the others.
    if service in paths.cut_off_at:
        paths.evidence[service].add((service, server_id))
        found = []
    elif _is_cut_off_overall(paths):
        found = [*services, service]
        evidence = {(s, name) for s, times in paths.unreached.items() for name in times}
    elif len(failed) >= CUT_OFF_SERVERS:
        found = [service]
    else:
        found = []
    new = sorted({name for name in found if name not in paths.cut_off_at})
    paths.cut_off_at.update(dict.fromkeys(new, now))
    paths.evidence.update({name: set(evidence) for name in new})
    return Some(new) if new else Nothing


def _is_cut_off_overall(paths):
    """Returns whether servers of several services failed and none was reached since."""
    counts = [
        sum(at > paths.reached_at for at in times.values())
        for times in paths.unreached.values()
    ]
    return sum(counts) >= CUT_OFF_SERVERS_OVERALL and sum(map(bool, counts)) > 1


def record_reached(paths, service, now) -> Option:
    """Records that a server accepted a connection or answered a request.

    Args:
        paths: ServerPaths.
        service: Service name.
        now: Current time (s, monotonic).

    Returns:
        Some with the time at which the service was found to be cut off (s, monotonic)
        when it is no longer, or Nothing.

    Notes:
        The other services stay cut off: each is found to be reachable by a server of
        its own.
    """
    paths.reached_at = now
    if paths.unreached:
        paths.unreached.pop(service, None)
    cut_off_at = end_cut(paths, service)
    return Nothing if cut_off_at is None else Some(cut_off_at)


def end_cut(paths, service):
    """Ends the finding that a service is cut off.

    Args:
        paths: ServerPaths.
        service: Service name.

    Returns:
        Time of the finding (s, monotonic), or None when there was none.
    """
    paths.evidence.pop(service, None)
    return paths.cut_off_at.pop(service, None)


def record_ended(paths, service, server_id):
    """Records that a server ended, so that its failed connects say nothing of a path.

    Args:
        paths: ServerPaths.
        service: Service name.
        server_id: Id of the server.

    Returns:
        Map of the names of the services that no longer count as cut off, since too
        few failed connects are left that say so, to the times at which they were
        found to be (s, monotonic).
    """
    paths.unreached.get(service, {}).pop(server_id, None)
    lifted = {}
    for name, evidence in list(paths.evidence.items()):
        if (service, server_id) not in evidence:
            continue
        evidence.discard((service, server_id))
        if len(evidence) < CUT_OFF_SERVERS:
            lifted[name] = end_cut(paths, name)
    return lifted


def is_cut_off(paths, service):
    """Returns whether the instance is cut off from all servers of a service."""
    return service in paths.cut_off_at


def cut_off_services(paths):
    """Returns the names of the services that are cut off, sorted."""
    return sorted(paths.cut_off_at)


def lift_suspensions(view, server_ids, now):
    """Ends the suspensions of servers whose failures were not their own.

    Args:
        view: BackendView.
        server_ids: Ids of the servers; those that are not known are ignored.
        now: Current time (s, monotonic).
    """
    for server_id in server_ids:
        backend = view.backends.get(server_id)
        if backend is not None:
            end_suspension(view, backend, now)


def renew_cold_pauses(view, service, now):
    """Lets the cold servers of a service that is no longer cut off wait for a pause.

    Their requests have all become due meanwhile, and the instances that were cut off
    together return at about the same time.

    Args:
        view: BackendView.
        service: Service name.
        now: Current time (s, monotonic).
    """
    for backend in view.by_service.get(service, ()):
        is_due = backend.suspended_until <= now >= backend.next_cold_request_at
        if is_due and now < backend.cold_until:
            end_suspension(view, backend, now)
