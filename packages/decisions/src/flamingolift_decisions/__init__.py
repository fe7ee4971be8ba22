"""Decisions of flamingolift, free of I/O and of any encoding.

The modules work on plain slotted classes and on times passed in as arguments, so
that another front end can use them unchanged.
"""

__all__ = [
    "admission",
    "affinity",
    "attempttimeout",
    "backends",
    "bookings",
    "budget",
    "documents",
    "explanations",
    "fairness",
    "hashing",
    "loads",
    "membership",
    "planner",
    "policycheck",
    "policyrules",
    "pool",
    "quarantine",
    "relays",
    "routetable",
    "servers",
    "shifts",
    "steering",
    "topology",
    "windowbudget",
]
