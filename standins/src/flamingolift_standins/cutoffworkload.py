"""Input and results of a simulation of instances that are cut off from servers."""

import collections

__all__ = ["STRATEGIES", "CutResult", "CutWorkload", "Strategy"]


class Strategy:
    """What a fleet does about instances that are cut off.

    Attributes:
        hands_on: Whether such an instance hands requests on to another one.
        leaves_domain: Whether it prefers instances of other failure domains for that.
        names_others: Whether look-ups name only the others.
    """

    __slots__ = ("hands_on", "leaves_domain", "names_others")

    def __init__(self, hands_on=False, leaves_domain=False, names_others=False):
        self.hands_on = hands_on
        self.leaves_domain = leaves_domain
        self.names_others = names_others


STRATEGIES = {
    "refuse": Strategy(),
    "hand on": Strategy(hands_on=True),
    "domains": Strategy(hands_on=True, leaves_domain=True),
    "look-ups": Strategy(names_others=True),
    "both": Strategy(hands_on=True, leaves_domain=True, names_others=True),
}


class CutWorkload:
    """Input of a simulation.

    Attributes:
        instances: Number of instances.
        cut: "one", "domain", or the share of the instances that are cut off (ratio).
        strategy: Strategy.
        hangs: Whether connects of cut instances hang; otherwise they are refused.
        start: Start of the cut (s).
        end: End of the cut (s).
        seconds: Simulated time for which requests arrive (s).
    """

    __slots__ = ("cut", "end", "hangs", "instances", "seconds", "start", "strategy")

    def __init__(
        self,
        instances=20,
        cut="one",
        strategy=STRATEGIES["refuse"],
        hangs=True,
        start=4.0,
        end=12.0,
        seconds=14.0,
    ):
        self.instances = instances
        self.cut = cut
        self.strategy = strategy
        self.hangs = hangs
        self.start = start
        self.end = end
        self.seconds = seconds


class CutResult:
    """Counts of callers' first tries during the cut.

    Attributes:
        at_cut: Tries at instances that were cut off.
        served_at_cut: Those of them that were served before their deadline.
        elsewhere: Tries at other instances.
        served_elsewhere: Those of them that were served.
        lost_undetected: Lost tries at cut instances that had not found their cut when
            the try arrived.
        after: Tries at instances that had been cut off, after the end of the cut.
        served_after: Those of them that were served.
        added_s: Time that served tries at cut instances lost before they were sent to a
            server, and on the way back over a hop (s).
        handled: Map of instance number to the tries that it sent to servers or refused,
            those handed on to it included.
        bytes_between_regions: Bytes of hops between regions.
    """

    __slots__ = (
        "added_s",
        "after",
        "at_cut",
        "bytes_between_regions",
        "elsewhere",
        "handled",
        "lost_undetected",
        "served_after",
        "served_at_cut",
        "served_elsewhere",
    )

    def __init__(self):
        self.at_cut = self.served_at_cut = self.elsewhere = self.served_elsewhere = 0
        self.after = self.served_after = self.lost_undetected = 0
        self.added_s = []
        self.handled = collections.Counter()
        self.bytes_between_regions = 0
