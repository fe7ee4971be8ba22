"""How recent an instance's view of the store is proven to be.

That a source responds proves that it lives, not that its view is recent. A proof is a
statement that the store was at some revision as of some moment: an answer of the store,
or of another instance that had such an answer. The view is proven as of that moment
once it has reached that revision. Its clock must also run while the machine is
suspended. All limits are shares of the time in which a change must be in force, so that
the steps of a recovery together stay below it.
"""

import math

__all__ = [
    "Freshness",
    "advance",
    "catch_up_time",
    "check_timeout",
    "expiry_age",
    "heartbeat_wait",
    "is_behind",
    "is_doubted",
    "is_due",
    "proof_age",
    "record_claim",
    "record_position",
    "record_proof",
    "renewal_age",
]

RENEWAL_SHARE = 0.35
"""Age from which a proof is renewed (share of the time to apply a change)."""
HEARTBEAT_SHARE = 0.2
"""Wait of a heartbeat between instances (share of the time to apply a change)."""
EXPIRY_SHARE = 0.76
"""Age of the proof from which its source is left (share of the time to apply a
change): more than a renewal, a heartbeat and two attempts at a check take together."""
CATCH_UP_SHARE = 0.12
"""Time after which a source that delivers nothing of a change that is known to exist
counts as silent (share of the time to apply a change)."""
CHECK_SHARE = 0.1
"""Timeout of one attempt to renew a proof (share of the time to apply a change)."""
MAX_PENDING = 8
"""Proofs that are kept until the view reaches their revisions."""


class Freshness:
    """Proofs of how recent a view is.

    Attributes:
        proven_at: Latest moment as of which the view is known to have lacked nothing
            (s); minus infinity before the first proof.
        position: Revision that the view has reached; -1 before the first read.
        newest: Highest revision that the store is known to have had.
        behind_since: Time from which the view has lacked that revision without any
            progress (s).
        pending: List of (moment, revision) of proofs for revisions that the view has
            not reached, oldest first.
        claimed: Highest revision that another instance claimed to have.
    """

    __slots__ = (
        "behind_since",
        "claimed",
        "newest",
        "pending",
        "position",
        "proven_at",
    )

    def __init__(self):
        self.proven_at = -math.inf
        self.position = -1
        self.newest = -1
        self.behind_since = 0.0
        self.pending = []
        self.claimed = -1


def record_proof(fresh, revision, as_of, now):
    """Records that the store was at a revision as of some moment.

    Args:
        fresh: Freshness.
        revision: Position of the store.
        as_of: The moment (s).
        now: Current time (s).
    """
    if revision <= fresh.position:
        fresh.proven_at = max(fresh.proven_at, as_of)
        return
    if not is_behind(fresh):
        fresh.behind_since = now
    fresh.newest = max(fresh.newest, revision)
    fresh.pending.append((as_of, revision))
    del fresh.pending[:-MAX_PENDING]


def record_position(fresh, revision, as_of, now):
    """Records a proof that comes from the store itself.

    The store decides what exists: it refutes the claims of others for more.

    Args:
        fresh: Freshness.
        revision: Position of the store.
        as_of: The moment (s).
        now: Current time (s).
    """
    record_proof(fresh, revision, as_of, now)
    fresh.newest = revision
    fresh.claimed = -1


def record_claim(fresh, revision):
    """Records that another instance claims to have a revision.

    Args:
        fresh: Freshness.
        revision: Position of the store.
    """
    fresh.claimed = max(fresh.claimed, revision)


def advance(fresh, revision, now):
    """Records that the view has reached a revision.

    Args:
        fresh: Freshness.
        revision: Position of the store.
        now: Current time (s).
    """
    fresh.position = revision
    fresh.behind_since = now
    reached = [as_of for as_of, wanted in fresh.pending if wanted <= revision]
    fresh.pending = [proof for proof in fresh.pending if proof[1] > revision]
    fresh.proven_at = max([fresh.proven_at, *reached])


def is_behind(fresh):
    """Returns whether the store is known to have had more than the view."""
    return fresh.newest > fresh.position


def is_doubted(fresh):
    """Returns whether another instance claims to have more than the view."""
    return fresh.claimed > fresh.position


def proof_age(fresh, now):
    """Returns how old the view may be at most (s)."""
    return now - fresh.proven_at


def is_due(fresh, apply_s, now):
    """Returns whether the proof is to be renewed.

    Args:
        fresh: Freshness.
        apply_s: Time in which a change must be in force (s).
        now: Current time (s).
    """
    return is_doubted(fresh) or proof_age(fresh, now) >= renewal_age(apply_s)


def renewal_age(apply_s):
    """Returns the age from which a proof is renewed (s)."""
    return RENEWAL_SHARE * apply_s


def heartbeat_wait(apply_s):
    """Returns the wait of a heartbeat between instances (s)."""
    return HEARTBEAT_SHARE * apply_s


def expiry_age(apply_s):
    """Returns the age of the proof from which its source is left (s)."""
    return EXPIRY_SHARE * apply_s


def catch_up_time(apply_s):
    """Returns the time after which a source without progress counts as silent (s)."""
    return CATCH_UP_SHARE * apply_s


def check_timeout(apply_s):
    """Returns the timeout of one attempt to renew a proof (s)."""
    return CHECK_SHARE * apply_s
