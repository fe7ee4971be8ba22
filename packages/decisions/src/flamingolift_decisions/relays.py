"""Which instances follow the store for the others of their region."""

from flamingolift_decisions.hashing import rendezvous_order

__all__ = ["RELAYS_PER_REGION", "relays_of_region", "relays_to_follow"]

RELAYS_PER_REGION = 3
"""Instances of a region that watch the store: with two of them cut off at once,
the third still brings each change in time."""
MIN_FOLLOWERS = 3
"""Instances beside the relays from which on relaying is worth its connections."""


def relays_of_region(entries, region):
    """Picks the relays of a region.

    Args:
        entries: Iterable of InstanceEntry.
        region: Region.

    Returns:
        List of InstanceEntry, at most `RELAYS_PER_REGION`, from different failure
        domains as far as there are several. Every instance with the same list of
        instances picks the same ones; empty when the region is too small.
    """
    live = {e.instance_id: e for e in entries if e.region == region}
    live = {name: e for name, e in live.items() if e.state == "live"}
    if len(live) < RELAYS_PER_REGION + MIN_FOLLOWERS:
        return []
    ordered = [live[name] for name in rendezvous_order(region, live)]
    seen = {}
    for entry in ordered:
        seen.setdefault(entry.failure_domain, []).append(entry)
    rounds = max(len(group) for group in seen.values())
    spread = [
        group[turn]
        for turn in range(rounds)
        for group in seen.values()
        if turn < len(group)
    ]
    return spread[:RELAYS_PER_REGION]


def relays_to_follow(entries, region, instance_id):
    """Returns the relays that an instance follows.

    Args:
        entries: Iterable of InstanceEntry.
        region: Region of the instance.
        instance_id: Name of the instance.

    Returns:
        List of InstanceEntry; empty when it watches the store itself, because it is
        a relay, its region is small, or it is not listed.
    """
    relays = relays_of_region(entries, region)
    if any(entry.instance_id == instance_id for entry in relays):
        return []
    return relays
