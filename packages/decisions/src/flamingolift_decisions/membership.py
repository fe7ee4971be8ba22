"""Fleet membership: which instances serve, from the live list and from heartbeats.

The live list lags behind the state of the fleet, and a heartbeat can be lost
because of a fault of the observer. Neither source alone can empty the fleet.
"""

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
"""Time for a suspected instance to refute the suspicion (s)."""
UNLISTED_GRACE_S = 30.0
"""Time for which an instance that answers heartbeats is kept although the live list
no longer holds it (s)."""
SHRUNK_LIST_HOLD_S = 30.0
"""Time for which a live list that lacks most of the fleet is held back (s)."""
QUORUM_SHARE = 0.5
"""Share of the instances that may be missing from a new live list, or be seen as dead,
before that observation is distrusted (ratio)."""
FORGET_DEAD_S = 600.0
"""Time after which a dead instance without an entry is removed (s)."""

_PRECEDENCE = {"alive": 0, "suspect": 1, "dead": 2}


class Member:
    """State of one instance as learned from heartbeats and from peers.

    Attributes:
        instance_id: Instance.
        incarnation: Highest incarnation known; 0 for none.
        refutation: Highest refutation known of that incarnation.
        state: "alive", "suspect" or "dead".
        leaving: Whether the instance announced that it is stopping.
        changed_at: Time of the last change (s, monotonic).
        heard_at: Time of the last direct contact, or of the last update by a peer
            that it is alive (s, monotonic).
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
        entries: Map of instance to InstanceEntry, including unlisted ones in
            their grace period.
        unlisted_at: Map of instance to the time it left the live list (s,
            monotonic).
        live_number: Number of the live list in use.
        held_list: LiveList held back because it lacks most of the fleet, or None.
        held_since: Time since which a list is held back (s, monotonic).
        log: List of (sequence, instance) changes, which heartbeats send to peers.
        sequence: Sequence number of the last change.
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


MAX_LOGGED_CHANGES = 4096
"""Number of recent changes that are kept for the heartbeats."""


def _record_change(view, instance_id):
    view.sequence += 1
    view.log.append((view.sequence, instance_id))
    del view.log[:-MAX_LOGGED_CHANGES]


def apply_live_list(view, live_list, now):
    """Applies a live list when its number is higher than that of the one in use.

    Args:
        view: Membership.
        live_list: LiveList of the platform.
        now: Current time (s, monotonic).

    Returns:
        Whether the list was applied. A list that lacks most of the fleet is held
        back for `SHRUNK_LIST_HOLD_S` while the missing instances still answer
        heartbeats, so that a faulty list alone cannot empty the fleet.
    """
    if live_list.number <= view.live_number:
        return False
    listed = {entry.instance_id: entry for entry in live_list.instances}
    lost = [n for n in view.entries if n not in listed and _is_alive(view, n)]
    if view.entries and len(lost) > QUORUM_SHARE * len(view.entries):
        if view.held_list is None:
            view.held_since = now
        view.held_list = live_list
        if now - view.held_since < SHRUNK_LIST_HOLD_S:
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


def _is_alive(view, name):
    member = view.members.get(name)
    return member is not None and member.state == "alive"


def apply_state(view, update, now):
    """Applies a peer's update on the state of one instance.

    Args:
        view: Membership.
        update: MemberState.
        now: Current time (s, monotonic).

    Returns:
        Whether anything changed. A higher incarnation takes precedence, then a
        higher refutation, then the worse state. An update that this instance
        itself is suspect or dead is refuted.

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
    same_incarnation = update.incarnation == member.incarnation
    member.leaving = leaving or (same_incarnation and member.leaving)
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
    """Records direct contact with an instance.

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
    # Direct contact takes precedence over updates from peers, so that it counts as
    # a refutation by the instance itself.
    member.refutation += 1
    member.state, member.changed_at = "alive", now
    _record_change(view, instance_id)
    return True


def mark_suspect(view, instance_id, incarnation, now):
    """Suspects an instance after its stream broke and could not be restored.

    Args:
        view: Membership.
        instance_id: Instance.
        incarnation: Incarnation that the stream was connected to; 0 for an instance
            that was never contacted.
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
    """Declares suspects dead that did not refute the suspicion in time.

    Args:
        view: Membership.
        now: Current time (s, monotonic).
        timeout_s: Time for a refutation (s).

    Returns:
        List of the instances newly declared dead.
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
    """Removes unlisted entries after their grace period, and members long dead.

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
    """Marks this instance as leaving, so that heartbeats announce its planned stop."""
    me = view.members[view.self_id]
    me.leaving, me.changed_at = True, now
    _record_change(view, view.self_id)


def changes_since(view, cursor, limit):
    """Returns the changes that a peer has not been sent.

    Args:
        view: Membership.
        cursor: Sequence number up to which changes were sent to the peer.
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
        announced = (
            "leaving" if member.leaving and member.state == "alive" else member.state
        )
        states.append(
            MemberState(
                instance_id=name,
                incarnation=member.incarnation,
                refutation=member.refutation,
                state=announced,
            )
        )
    return states, cursor


def serving_instances(view):
    """Returns the instances that may get new requests.

    Args:
        view: Membership.

    Returns:
        Tuple of a map of instance to InstanceEntry and whether this instance is
        isolated. It is isolated when it sees more than half of the listed
        instances as dead: the fault is then more likely its own, and the states
        from heartbeats are ignored in favour of the live list.
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
