"""Which instances serve, from a lagging live list and from heartbeats."""

from flamingolift_model.peer import MemberState

__all__ = [
    "Member",
    "Membership",
    "apply_live_list",
    "apply_state",
    "changes_since",
    "confirm_dead",
    "mark_suspect",
    "prune_members",
    "record_contact",
    "serving_instances",
    "set_self_leaving",
]

SUSPECT_TIMEOUT_S = 2.0
"""Time for an instance to refute a suspicion."""
UNLISTED_GRACE_S = 30.0
"""Time for which an instance that answers heartbeats may be off the list."""
SHRINK_HOLD_S = 30.0
"""Time for which a live list that lost most of the fleet is held back."""
QUORUM_SHARE = 0.5
"""Share of the listed instances that must not be dead (ratio)."""
FORGET_DEAD_S = 600.0

_PRECEDENCE = {"alive": 0, "suspect": 1, "dead": 2}


class Member:
    """What is known of one instance beside the live list.

    Attributes:
        instance_id: Instance.
        incarnation: Newest incarnation heard of; 0 for none.
        refutation: Newest refutation of that incarnation.
        state: "alive", "suspect" or "dead".
        leaving: Whether the instance said that it is stopping.
        changed_at: Time of the last change (s, monotonic).
        heard_at: Time of the last direct contact or vouching (s, monotonic).
    """

    __slots__ = (
        "changed_at",
        "heard_at",
        "incarnation",
        "instance_id",
        "leaving",
        "refutation",
        "state",
    )

    def __init__(self, instance_id, incarnation, state, now):
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.refutation = 0
        self.state = state
        self.leaving = False
        self.changed_at = now
        self.heard_at = now


class Membership:
    """Membership as one instance sees it.

    Attributes:
        self_id: This instance.
        self_incarnation: Its incarnation.
        members: Map of instance to Member.
        entries: Map of instance to InstanceEntry, unlisted ones in their grace
            included.
        unlisted_at: Map of instance to the time it left the live list (s,
            monotonic).
        live_number: Number of the live list in use.
        held_list: LiveList held back because it lost most of the fleet, or None.
        held_since: Time since which it is held back (s, monotonic).
        log: List of (sequence, instance) changes, for the heartbeats.
        sequence: Number of the last change.
    """

    __slots__ = (
        "entries",
        "held_list",
        "held_since",
        "live_number",
        "log",
        "members",
        "self_id",
        "self_incarnation",
        "sequence",
        "unlisted_at",
    )

    def __init__(self, self_id, self_incarnation, now):
        self.self_id = self_id
        self.self_incarnation = self_incarnation
        self.members = {self_id: Member(self_id, self_incarnation, "alive", now)}
        self.entries = {}
        self.unlisted_at = {}
        self.live_number = -1
        self.held_list = None
        self.held_since = 0.0
        self.log = []
        self.sequence = 0
        _record_change(self, self_id)


MAX_LOG = 4096


def _record_change(view, instance_id):
    view.sequence += 1
    view.log.append((view.sequence, instance_id))
    del view.log[:-MAX_LOG]


def apply_live_list(view, live_list, now):
    """Takes over a newer live list.

    Args:
        view: Membership.
        live_list: LiveList of the platform.
        now: Current time (s, monotonic).

    Returns:
        Whether the list is in use. A list without most of the fleet is held
        back while the instances it lost still answer, so that the list alone
        cannot empty the fleet.
    """
    if live_list.number <= view.live_number:
        return False
    listed = {entry.instance_id: entry for entry in live_list.instances}
    lost = [n for n in view.entries if n not in listed and _answers(view, n)]
    if view.entries and len(lost) > QUORUM_SHARE * len(view.entries):
        if view.held_list is None:
            view.held_since = now
        view.held_list = live_list
        if now - view.held_since < SHRINK_HOLD_S:
            return False
    view.held_list = None
    view.live_number = live_list.number
    for name in lost:
        view.unlisted_at.setdefault(name, now)
    for name in listed:
        view.unlisted_at.pop(name, None)
    kept = {name: view.entries[name] for name in lost}
    view.entries = {**kept, **listed}
    return True


def _answers(view, name):
    member = view.members.get(name)
    return member is not None and member.state == "alive"


def apply_state(view, update, now):
    """Takes over what a peer says of one instance.

    Args:
        view: Membership.
        update: MemberState.
        now: Current time (s, monotonic).

    Returns:
        Whether anything changed. A newer incarnation wins, then a newer
        refutation, then the worse state. What is said of this instance itself is
        refuted.

    Notes:
        Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
        Infection-style Process Group Membership Protocol", DSN 2002.
    """
    if update.instance_id == view.self_id:
        return _refute(view, update, now)
    member = view.members.get(update.instance_id)
    state = "alive" if update.state == "leaving" else update.state
    leaving = update.state == "leaving"
    if member is None:
        member = Member(update.instance_id, update.incarnation, state, now)
        member.refutation, member.leaving = update.refutation, leaving
        view.members[update.instance_id] = member
        _record_change(view, update.instance_id)
        return True
    old = (member.incarnation, member.refutation, _PRECEDENCE[member.state])
    new = (update.incarnation, update.refutation, _PRECEDENCE[state])
    if new < old or (new == old and (member.leaving or not leaving)):
        return False
    same_life = update.incarnation == member.incarnation
    member.leaving = leaving or (same_life and member.leaving)
    member.incarnation, member.refutation = update.incarnation, update.refutation
    member.state, member.changed_at = state, now
    if state == "alive":
        member.heard_at = now
    _record_change(view, update.instance_id)
    return True


def _refute(view, update, now):
    me = view.members[view.self_id]
    if update.incarnation != view.self_incarnation:
        return False
    if update.state not in ("suspect", "dead") or update.refutation < me.refutation:
        return False
    me.refutation = update.refutation + 1
    me.changed_at = now
    _record_change(view, view.self_id)
    return True


def record_contact(view, instance_id, incarnation, now):
    """Records that an instance was heard directly.

    Args:
        view: Membership.
        instance_id: Instance.
        incarnation: Incarnation that it announced.
        now: Current time (s, monotonic).

    Returns:
        Whether its state changed.
    """
    member = view.members.get(instance_id)
    if member is None or incarnation > member.incarnation:
        view.members[instance_id] = Member(instance_id, incarnation, "alive", now)
        _record_change(view, instance_id)
        return True
    if incarnation < member.incarnation:
        return False
    member.heard_at = now
    if member.state == "alive":
        return False
    # Direct contact outranks hearsay: it counts as the instance's refutation.
    member.refutation += 1
    member.state, member.changed_at = "alive", now
    _record_change(view, instance_id)
    return True


def mark_suspect(view, instance_id, incarnation, now):
    """Records that a stream to an instance broke and could not be restored.

    Args:
        view: Membership.
        instance_id: Instance.
        incarnation: Incarnation that the stream was to; 0 for one that was never
            heard of.
        now: Current time (s, monotonic).

    Returns:
        Whether the instance became suspect.
    """
    member = view.members.get(instance_id)
    if member is None:
        member = view.members[instance_id] = Member(instance_id, 0, "alive", now)
    if member.incarnation != incarnation or member.state != "alive":
        return False
    member.state, member.changed_at = "suspect", now
    _record_change(view, instance_id)
    return True


def confirm_dead(view, now, timeout_s=SUSPECT_TIMEOUT_S):
    """Declares dead the suspects that did not refute in time.

    Args:
        view: Membership.
        now: Current time (s, monotonic).
        timeout_s: Time for a refutation (s).

    Returns:
        List of the instances that are now dead.
    """
    late = [
        member
        for member in view.members.values()
        if member.state == "suspect" and now - member.changed_at >= timeout_s
    ]
    for member in late:
        member.state, member.changed_at = "dead", now
        _record_change(view, member.instance_id)
    return [member.instance_id for member in late]


def prune_members(view, now):
    """Forgets instances that are gone for good.

    Args:
        view: Membership.
        now: Current time (s, monotonic).
    """
    for name, since in list(view.unlisted_at.items()):
        if now - since >= UNLISTED_GRACE_S:
            view.entries.pop(name, None)
            del view.unlisted_at[name]
    for name, member in list(view.members.items()):
        gone = member.state == "dead" and now - member.changed_at >= FORGET_DEAD_S
        if gone and name not in view.entries:
            del view.members[name]


def set_self_leaving(view, now):
    """Announces the planned stop of this instance."""
    me = view.members[view.self_id]
    me.leaving, me.changed_at = True, now
    _record_change(view, view.self_id)


def changes_since(view, cursor, limit):
    """Returns the changes that a peer has not been told.

    Args:
        view: Membership.
        cursor: Sequence up to which the peer was told.
        limit: Largest number of states.

    Returns:
        Tuple of a list of MemberState and the new cursor.
    """
    states, seen = [], set()
    if cursor == view.sequence:
        return states, cursor
    for sequence, name in view.log:
        if sequence <= cursor:
            continue
        if len(states) >= limit:
            return states, cursor
        cursor = sequence
        member = view.members.get(name)
        if member is None or name in seen:
            continue
        seen.add(name)
        shown = (
            "leaving" if member.leaving and member.state == "alive" else member.state
        )
        states.append(
            MemberState(
                instance_id=name,
                incarnation=member.incarnation,
                refutation=member.refutation,
                state=shown,
            )
        )
    return states, cursor


def serving_instances(view):
    """Returns the instances that should get new requests.

    Args:
        view: Membership.

    Returns:
        Tuple of a map of instance to InstanceEntry and whether this instance is
        isolated. It is isolated when more than half of the listed instances look
        dead from here: then the fault is more likely its own, the verdicts are
        ignored and the live list alone counts.
    """
    listed = {n: e for n, e in view.entries.items() if n not in view.unlisted_at}
    dead = {n for n in listed if _is_dead(view, n)}
    isolated = len(listed) > 1 and len(dead) > QUORUM_SHARE * len(listed)
    serving = {}
    for name, entry in view.entries.items():
        if entry.state == "leaving" or _is_leaving(view, name):
            continue
        if not isolated and _is_dead(view, name):
            continue
        serving[name] = entry
    return serving, isolated


def _is_dead(view, name):
    member = view.members.get(name)
    return member is not None and member.state == "dead"


def _is_leaving(view, name):
    member = view.members.get(name)
    return member is not None and member.leaving
