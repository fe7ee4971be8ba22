"""Decisions of flamingolift, without I/O and without encoding of messages.

The modules work on plain classes with slots and get the current time as an
argument, so that another front end can use them unchanged.
"""

__all__ = [
    "admission",
    "affinity",
    "attempttimeout",
    "availability",
    "backends",
    "bookings",
    "budget",
    "crashrecord",
    "documents",
    "earlystarts",
    "evacuations",
    "explanations",
    "fairness",
    "fleetreturn",
    "fullregions",
    "hashing",
    "instancecount",
    "loads",
    "membership",
    "planner",
    "policycheck",
    "policyrules",
    "pool",
    "quarantine",
    "recenttimes",
    "regioncost",
    "relays",
    "routetable",
    "serverlimits",
    "serverpaths",
    "servers",
    "shifts",
    "steering",
    "storeposition",
    "topology",
    "windowbudget",
]
