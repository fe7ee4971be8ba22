"""Choice of peers, relays and dispatchers, from the membership alone."""

from flamingolift_decisions.hashing import rendezvous_order, unit_hash

__all__ = [
    "choose_dispatcher",
    "choose_relays",
    "desired_peers",
    "is_relay",
    "ring_successors",
    "sites_by_region",
]


def choose_relays(instances, failure_domain, count):
    """Picks the instances of a failure domain that watch the store.

    Args:
        instances: Map of instance to InstanceEntry that serve.
        failure_domain: Failure domain name.
        count: Number of relays.

    Returns:
        List of at most `count` instance names; the first one reports the load of
        the failure domain.
    """
    local = [n for n, e in instances.items() if e.failure_domain == failure_domain]
    return rendezvous_order(f"relay|{failure_domain}", local)[:count]


def is_relay(instances, entry, count):
    """Returns whether an instance is a relay of its failure domain."""
    return entry.instance_id in choose_relays(instances, entry.failure_domain, count)


def ring_successors(instances, instance_id, count):
    """Returns the successors of an instance on a ring ordered by hash.

    Args:
        instances: Iterable of instance names.
        instance_id: Instance whose successors are asked for.
        count: Number of successors.

    Returns:
        List of at most `count` names. The order by hash does not depend on failure
        domains, so that the loss of a domain leaves many short gaps in the ring
        instead of one long gap.
    """
    ring = sorted(
        set(instances) | {instance_id}, key=lambda n: (unit_hash("ring", n), n)
    )
    start = ring.index(instance_id)
    successors = ring[start + 1 :] + ring[:start]
    return successors[:count]


def desired_peers(instances, entry, relays_per_domain, ring_peers):
    """Returns the peers to which an instance keeps a stream open.

    Args:
        instances: Map of instance to InstanceEntry that serve.
        entry: InstanceEntry of this instance.
        relays_per_domain: Number of relays of each failure domain.
        ring_peers: Number of successors on the ring.

    Returns:
        Set of instance names: the relays of the instance's failure domain, its
        successors on the ring and, for a relay, one relay of each of the next two
        failure domains. Its size does not depend on the size of the fleet.
    """
    wanted = set(choose_relays(instances, entry.failure_domain, relays_per_domain))
    wanted |= set(ring_successors(instances, entry.instance_id, ring_peers))
    if is_relay(instances, entry, relays_per_domain):
        domains = sorted({e.failure_domain for e in instances.values()})
        for domain in ring_successors(domains, entry.failure_domain, 2):
            wanted |= set(choose_relays(instances, domain, 1))
    wanted.discard(entry.instance_id)
    return wanted


def choose_dispatcher(instances, service, region, avoid=()):
    """Picks the instance that grants the slots of a service in a region.

    Args:
        instances: Map of instance to InstanceEntry that serve.
        service: Service name.
        region: Region name.
        avoid: Names of instances that recently did not answer.

    Returns:
        InstanceEntry, or None when the region has no instance.
    """
    local = [
        name
        for name, entry in instances.items()
        if entry.region == region and name not in avoid
    ]
    if not local:
        return None
    return instances[rendezvous_order(f"dispatcher|{service}|{region}", local)[0]]


def sites_by_region(instances):
    """Counts the instances of each site, by region.

    Args:
        instances: Map of instance to InstanceEntry.

    Returns:
        Map of region to a map of site to the number of its instances.
    """
    sites = {}
    for entry in instances.values():
        row = sites.setdefault(entry.region, {})
        site = entry.site or entry.failure_domain
        row[site] = row.get(site, 0) + 1
    return sites
