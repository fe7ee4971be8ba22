"""Choice of the instances that watch the store for the others of their region."""

from flamingolift_decisions.hashing import rendezvous_order, weighted_order

__all__ = [
    "RELAYS_PER_REGION",
    "proof_source",
    "relays_of_region",
    "relays_to_follow",
    "transfer_order",
]

RELAYS_PER_REGION = 3
"""Number of instances of a region that watch the store. When two of them are cut off
at once, the third still delivers each change in time."""
UNKNOWN_LINK_MBPS = 1.0
"""Bandwidth assumed for a link whose bandwidth is unknown (Mbit/s)."""
MIN_FOLLOWERS = 3
"""Number of instances, relays not counted, from which relaying saves enough watches
on the store to justify its connections."""


def relays_of_region(entries, region):
    """Picks the relays of a region: those with the fastest links.

    A relay sends each change to many others, so a slow link would delay a large one
    and the callers of that instance. Rendezvous hashing decides between equal links.

    Args:
        entries: Iterable of InstanceEntry.
        region: Region.

    Returns:
        List of at most `RELAYS_PER_REGION` InstanceEntry, spread over the failure
        domains of the region; empty when the region is too small. Every instance
        with the same list of instances picks the same relays.
    """
    live = {e.instance_id: e for e in entries if e.region == region}
    live = {name: e for name, e in live.items() if e.state == "live"}
    if len(live) < RELAYS_PER_REGION + MIN_FOLLOWERS:
        return []
    ordered = [live[name] for name in rendezvous_order(region, live)]
    ordered.sort(key=lambda entry: -entry.link_mbps)
    by_domain = {}
    for entry in ordered:
        by_domain.setdefault(entry.failure_domain, []).append(entry)
    largest = max(len(group) for group in by_domain.values())
    spread = [
        group[index]
        for index in range(largest)
        for group in by_domain.values()
        if index < len(group)
    ]
    return spread[:RELAYS_PER_REGION]


def relays_to_follow(entries, region, instance_id):
    """Returns the relays that an instance gets the changes of the store from.

    Args:
        entries: Iterable of InstanceEntry.
        region: Region of the instance.
        instance_id: Name of the instance.

    Returns:
        List of InstanceEntry; empty when it watches the store itself, because it is
        a relay or its region is small.
    """
    relays = relays_of_region(entries, region)
    if any(entry.instance_id == instance_id for entry in relays):
        return []
    return relays


def proof_source(entries, region, instance_id):
    """Returns the instance that is asked for a proof of how recent the view is.

    In each region one of those that watch the store, the first, is asked by the
    others, and the first of all regions by those of the other regions. So a few calls
    of the store prove the views of the whole fleet.

    Args:
        entries: Iterable of InstanceEntry.
        region: Region of the instance that asks.
        instance_id: Its name.

    Returns:
        InstanceEntry; None when the instance asks the store itself.
    """
    live = [entry for entry in entries if entry.state == "live"]
    first = _first_watcher(live, region)
    if first is not None and first.instance_id == instance_id:
        first = _first_watcher(live, min(entry.region for entry in live))
    if first is None or first.instance_id == instance_id:
        return None
    return first


def _first_watcher(live, region):
    relays = relays_of_region(live, region)
    if relays:
        return relays[0]
    names = {entry.instance_id: entry for entry in live if entry.region == region}
    return names[rendezvous_order(region, names)[0]] if names else None


def transfer_order(relays, instance_id):
    """Orders relays as sources of a large update for one instance.

    Args:
        relays: List of InstanceEntry.
        instance_id: Name of the instance that follows them.

    Returns:
        List of instance names. Over many instances each relay comes first in
        proportion to the bandwidth of its link.
    """
    weights = {e.instance_id: e.link_mbps or UNKNOWN_LINK_MBPS for e in relays}
    return weighted_order(instance_id, weights)
