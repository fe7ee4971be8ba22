"""Choice of the site and the instance for a caller."""

import array
import bisect
import ipaddress

from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_decisions.hashing import (
    rendezvous_order,
    unit_hash,
    weighted_choice,
    weighted_order,
)

__all__ = [
    "BLOCK_BITS",
    "BlockTable",
    "SteeringChoice",
    "block_of",
    "choose_instance",
    "choose_witness",
    "origin_of",
    "steer",
]

UNKNOWN_ORIGIN = "unknown"
"""Origin region of a block that no region lists."""

BLOCK_BITS = {4: 24, 6: 48}
"""Prefix length of a block by IP version (bits)."""

EVACUATION_RETRY_MS = 5000


def block_of(address):
    """Returns the block of an address. All callers of a block are steered alike.

    Args:
        address: IP address, or a CIDR prefix, as text.

    Returns:
        The enclosing /24 (IPv4) or /48 (IPv6) prefix as text.

    Raises:
        ValueError: The text is neither an address nor a prefix.
    """
    network = ipaddress.ip_network(address, strict=False)
    bits = BLOCK_BITS[network.version]
    if network.prefixlen > bits:
        network = network.supernet(new_prefix=bits)
    return str(network)


class BlockTable:
    """Longest-prefix table from callers' blocks to regions.

    A prefix takes ten bytes: eight for its leading bits in a sorted array and two
    for the index of its region in another.

    Attributes:
        names: Region names.
        bits: Map of (IP version, prefix length) to a sorted array of the
            prefixes' leading bits.
        owners: Map of (IP version, prefix length) to an array of indices into
            `names`, in the order of `bits`.
        lengths: Map of IP version to the prefix lengths in use, longest first.
    """

    __slots__ = ("bits", "lengths", "names", "owners")

    def __init__(self, regions):
        self.names = [region.name for region in regions]
        found = {}
        for index, region in enumerate(regions):
            for block in region.blocks:
                network = ipaddress.ip_network(block, strict=False)
                shift = network.max_prefixlen - network.prefixlen
                table = found.setdefault((network.version, network.prefixlen), [])
                table.append((int(network.network_address) >> shift, index))
        self.bits, self.owners = {}, {}
        for key, rows in found.items():
            rows.sort()
            self.bits[key] = array.array("Q", (bits for bits, _ in rows))
            self.owners[key] = array.array("H", (index for _, index in rows))
        self.lengths = {
            version: sorted((n for v, n in found if v == version), reverse=True)
            for version in (4, 6)
        }


def origin_of(table, block):
    """Returns the region nearest to a block by longest prefix match.

    Args:
        table: BlockTable of the policy in force.
        block: Block as `block_of` returns it.

    Returns:
        Region name, or "unknown" when no region lists the block.
    """
    address, _, _ = block.partition("/")
    parsed = ipaddress.ip_address(address)
    value, width = int(parsed), parsed.max_prefixlen
    for length in table.lengths[parsed.version]:
        key = parsed.version, length
        wanted, held = value >> (width - length), table.bits[key]
        place = bisect.bisect_left(held, wanted)
        if place < len(held) and held[place] == wanted:
            return table.names[table.owners[key][place]]
    return UNKNOWN_ORIGIN


class SteeringChoice:
    """Site and instance that a caller is sent to.

    Attributes:
        site: Name of the site.
        instance: InstanceEntry of the instance.
        evacuated: Whether the caller's first choice of site is lost, so that
            another one was chosen.
    """

    __slots__ = ("evacuated", "instance", "site")

    def __init__(self, site, instance, evacuated):
        self.site = site
        self.instance = instance
        self.evacuated = evacuated


def choose_instance(service, block, instances):
    """Picks an instance of a site for a block.

    Args:
        service: Service name.
        block: Caller's block.
        instances: Non-empty list of InstanceEntry of the site.

    Returns:
        InstanceEntry; the same on every instance that has the same list.
    """
    by_id = {entry.instance_id: entry for entry in instances}
    return by_id[rendezvous_order(f"{service}|{block}", by_id)[0]]


def choose_witness(home, instances):
    """Picks the witness for bookings of a home instance.

    Args:
        home: InstanceEntry that runs the bookings.
        instances: List of InstanceEntry that serve.

    Returns:
        InstanceEntry, preferably in another failure domain than the home and,
        among those, in the home's region; None when no other instance serves.
    """
    others = [e for e in instances if e.instance_id != home.instance_id]
    if not others:
        return None

    def distance(entry):
        same_region = entry.region == home.region
        same_domain = entry.failure_domain == home.failure_domain
        return (same_domain, not same_region)

    nearest = min(distance(entry) for entry in others)
    by_id = {e.instance_id: e for e in others if distance(e) == nearest}
    return by_id[rendezvous_order(f"witness|{home.instance_id}", by_id)[0]]


def steer(rows, grants, instances_by_site, service, origin, block) -> Result:
    """Chooses the site and the instance for a caller.

    Args:
        rows: Rows in force, as a map of service to origin region to site to weight.
        grants: Map of service to lost region to the share of its callers for
            whom other regions have granted headroom (ratio).
        instances_by_site: Map of site to a list of the InstanceEntry that serve.
        service: Service name.
        origin: Caller's origin region.
        block: Caller's block.

    Returns:
        Ok with a SteeringChoice. Error with REGION_FULL when the caller's site is
        lost with its region and the granted headroom is used up, and with
        NO_BACKEND when no site is left.

    Notes:
        The callers of a lost site go to their next choice by weighted rendezvous
        hashing, so that callers of other sites stay where they are. When a whole
        region is lost, the granted share of its blocks is accepted and the others
        are refused. The blocks are selected by hash, so that every instance
        accepts the same ones.
    """
    by_origin = rows.get(service, {})
    weights = by_origin.get(origin) or by_origin.get(UNKNOWN_ORIGIN) or {}
    first = weighted_choice(f"{service}|{block}", weights)
    site = first
    if not instances_by_site.get(first):
        site = _next_site(service, block, weights, instances_by_site)
    if site is None:
        return Error(Fault(ResultCode.NO_BACKEND, f"no site serves {service}"))
    evacuated = first is not None and first != site
    if evacuated and not _is_granted(grants, service, origin, block, instances_by_site):
        return Error(
            Fault(
                ResultCode.REGION_FULL,
                f"region {origin} is lost and its granted headroom is in use",
                EVACUATION_RETRY_MS,
            )
        )
    instance = choose_instance(service, block, instances_by_site[site])
    return Ok(SteeringChoice(site, instance, evacuated))


def _next_site(service, block, weights, instances_by_site):
    """Returns the first site in order of preference that has instances, or None."""
    order = weighted_order(f"{service}|{block}", weights)
    order += rendezvous_order(block, instances_by_site)
    return next((site for site in order if instances_by_site.get(site)), None)


def _is_granted(grants, service, origin, block, instances_by_site):
    """Returns whether a block may leave its site: always while its region serves."""
    origin_serves = any(
        entry.region == origin
        for entries in instances_by_site.values()
        for entry in entries
    )
    if origin_serves:
        return True
    share = grants.get(service, {}).get(origin, 1.0)
    return unit_hash("evacuation", service, block) < share
