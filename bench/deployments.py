"""The two deployments that the bench runs, with the users' numbers of servers."""

import pathlib

from flamingolift_standins.fleet import RAIL_REGIONS, Network

__all__ = ["COOPERATIVE", "RAIL", "Deployment"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
INSTANCES = 20


class Deployment:
    """One deployment.

    Attributes:
        name: Name in the output.
        regions: Map of region to its failure domains.
        services: List of (service, servers, slots, mean time (ms)). The times are
            assumptions of the bench; the users gave none.
        lookup: Service whose headroom is measured.
        booking: Service that takes bookings.
        download: Service that serves files.
        network: Network with the users' delays within and between regions.
        policy: Policy text, with the callers' blocks moved to loopback addresses.
    """

    __slots__ = (
        "booking",
        "download",
        "lookup",
        "name",
        "network",
        "policy",
        "regions",
        "services",
    )

    def __init__(self, name, policy_file, regions, services, network):
        self.name = name
        self.regions = regions
        self.services = services
        self.lookup, self.booking, self.download = (s[0] for s in services[:3])
        self.network = network
        text = (ROOT / "policies" / policy_file).read_text()
        self.policy = text.replace('"10.', '"127.')

    def slots(self, service):
        """Returns all slots of a service."""
        return sum(n * slots for name, n, slots, _ in self.services if name == service)

    def time_s(self, service):
        """Returns the mean time of a request of a service (s)."""
        return next(ms for name, _, _, ms in self.services if name == service) / 1000.0


RAIL = Deployment(
    "rail",
    "rail.toml",
    RAIL_REGIONS,
    [
        ("timetable", 20, 6, 200),
        ("seat-booking", 12, 5, 200),
        ("route-packs", 12, 3, 100),
        ("rolling-stock", 12, 3, 100),
    ],
    Network({"greater-accra": 11, "ashanti": 12, "western": 13}, 0.0015, 0.035),
)

COOPERATIVE = Deployment(
    "cooperative",
    "cooperative.toml",
    {
        "sudurland": ["sud-hvoll", "sud-myri"],
        "nordurland": ["nord-dalur", "nord-heidi"],
        "austurland": ["aust-fjord", "aust-skogur"],
    },
    [
        ("plot-listings", 16, 3, 100),
        ("felling-day", 12, 3, 200),
        ("survey-maps", 12, 3, 100),
        ("picker-rows", 12, 3, 100),
    ],
    Network({"sudurland": 21, "nordurland": 22, "austurland": 23}, 0.0005, 0.020),
)
