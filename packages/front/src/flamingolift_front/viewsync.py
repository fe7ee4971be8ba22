"""Keeps an instance's view up to date with the store.

The whole view is read once, then its changes are followed. What is in force
stays in force while the store does not answer, and a version that is in force
is never replaced by an older one.
"""

import asyncio
import time

from flamingolift_decisions import backends, routetable
from flamingolift_model import FaultError
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy

from flamingolift_front import serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.state import ViewChange

__all__ = ["apply_changes", "apply_snapshot", "call_store", "follow_store"]

MAX_RECENT = 2000
"""Changes kept for peers: those of about a minute in which all backend servers of
a large fleet restart."""
HOLD_S = 2.0
"""Time after an outage for which lapsed entries are held (s): live servers are
back on the list within that time of the store's return."""
LAPSED_SHARE = 0.34
"""Share of the entries that must vanish in an outage to be taken for lapsed
leases instead of departures (ratio): leases lapse together."""


async def call_store(front, kind, call):
    """Makes a call on the store and keeps account of its result.

    Args:
        front: Front.
        kind: Name of the call for logs and metrics.
        call: Coroutine of the call.

    Returns:
        Result of the call.

    Raises:
        FaultError: The store did not answer.
    """
    view = front.view
    try:
        result = await call
    except FaultError as exc:
        front.metrics.store_calls.labels(kind, "failed").inc()
        if view.lost_at is None:
            view.lost_at = time.monotonic()
            log_event(front.log, "store_lost", call=kind, cause=exc.fault.detail)
            # A watch may hang on a path that is lost without a sign.
            front.store.abort_watch()
            view.changed.set()
            view.changed = asyncio.Event()
        raise
    front.metrics.store_calls.labels(kind, "ok").inc()
    if view.lost_at is not None:
        view.regained_at = time.monotonic()
        outage_s = round(view.regained_at - view.lost_at, 2)
        view.lost_at = None
        log_event(front.log, "store_regained", call=kind, outage_s=outage_s)
    return result


async def follow_store(front, longest_s):
    """Takes one batch of changes from the store, or the whole view at first.

    Args:
        front: Front.
        longest_s: Longest time to wait for a change (s).

    Returns:
        Whether there were changes.

    Raises:
        FaultError: The store did not answer.
    """
    view = front.view
    if view.revision is None:
        stale = not view.keys
        items, revision = await call_store(front, "read", front.store.read_all(stale))
        apply_snapshot(front, items, revision)
        return False
    # A store that does not answer must not be waited for longer than for a call.
    wait_s = longest_s if view.lost_at is None else 0.0
    watching = front.store.watch(view.revision, wait_s)
    found = await call_store(front, "watch", watching)
    if found is None:
        log_event(front.log, "store_history_lost", revision=view.revision)
        view.revision = None
        return False
    changes, revision = found
    if view.revision is not None and revision >= view.revision:
        apply_changes(front, changes, revision)
    return bool(changes)


def apply_snapshot(front, items, revision):
    """Takes over everything that the store holds.

    Args:
        front: Front.
        items: List of ViewChange, one for each key.
        revision: Revision of the store that the items belong to.
    """
    view = front.view
    present = {item.key for item in items}
    gone = [ViewChange(key, None, revision) for key in view.keys if key not in present]
    view.recent.clear()
    view.recent_from = revision
    apply_changes(front, items + gone, revision)
    view.recent.clear()
    log_event(
        front.log,
        "view_read",
        revision=revision,
        policy=view.table.number if view.table else 0,
        servers=len(view.backends.backends),
        instances=len(view.instances),
    )


def apply_changes(front, changes, revision):
    """Takes over changes in the order of the store.

    Args:
        front: Front.
        changes: List of ViewChange.
        revision: Revision of the store up to which they reach.
    """
    view = front.view
    lapsed = _are_lapsed(front, changes)
    for change in changes:
        if change.document is None:
            if change.key in view.keys:
                _remove_or_hold(front, change.key, lapsed)
            continue
        view.held.pop(change.key, None)
        view.keys[change.key] = change.document
        _APPLY[type(change.document)](front, change)
    _apply_evacuations(front)
    _count_instances(front)
    view.revision = revision
    _remember(view, changes)


def _remember(view, changes):
    """Keeps recent changes for peers and wakes those that wait for them."""
    view.recent.extend(changes)
    while len(view.recent) > MAX_RECENT:
        view.recent_from = view.recent.popleft().revision
    view.changed.set()
    view.changed = asyncio.Event()


def _apply_policy(front, change):
    policy = change.document
    view = front.view
    if view.table is not None and policy.number <= view.table.number:
        return
    view.table = routetable.build_route_table(policy)
    view.backends.services = view.table.services
    log_event(
        front.log,
        "policy_in_force",
        policy=policy.number,
        routes=len(policy.routes),
        revision=change.revision,
    )


def _apply_backend(front, change):
    entry = change.document
    changed = backends.apply_entry(front.view.backends, entry, time.monotonic())
    if changed.is_none():
        return
    if changed.value == "restarted":
        serverpool.retire_server(front.pool, entry.server_id)
    log_event(
        front.log,
        "server_changed",
        server=entry.server_id,
        change=changed.value,
        service=entry.service,
        cold_ms=entry.cold_ms,
        revision=change.revision,
    )


def _apply_instance(front, change):
    entry = change.document
    before = front.view.instances.get(entry.instance_id)
    front.view.instances[entry.instance_id] = entry
    if before is None or before.state != entry.state:
        log_event(
            front.log,
            "instance_changed",
            peer=entry.instance_id,
            state=entry.state,
            revision=change.revision,
        )


def _apply_nothing(_front, _change):
    """Evacuations are taken over together, see `_apply_evacuations`."""


_OPERATORS = (RoutingPolicy, Evacuation)
"""Documents that the operator writes, without a lease."""
_APPLY = {
    RoutingPolicy: _apply_policy,
    BackendEntry: _apply_backend,
    InstanceEntry: _apply_instance,
    Evacuation: _apply_nothing,
}


def _apply_evacuations(front):
    documents = front.view.keys.values()
    wanted = {d.failure_domain: d for d in documents if isinstance(d, Evacuation)}
    view = front.view.backends
    added, ended = backends.set_evacuations(view, wanted, time.monotonic())
    for failure_domain in added:
        log_event(
            front.log,
            "evacuation_started",
            failure_domain=failure_domain,
            reason=wanted[failure_domain].reason,
        )
    for failure_domain in ended:
        log_event(front.log, "evacuation_ended", failure_domain=failure_domain)


def _count_instances(front):
    live = sum(e.state == "live" for e in front.view.instances.values())
    front.view.backends.instances = max(1, live)


def _are_lapsed(front, changes):
    """Returns whether removals are leases that lapsed during an outage."""
    view = front.view
    if view.lost_at is None and time.monotonic() - view.regained_at >= HOLD_S:
        return False
    leased = {k for k, d in view.keys.items() if not isinstance(d, _OPERATORS)}
    gone = {c.key for c in changes if c.document is None} | set(view.held)
    return len(gone & leased) > LAPSED_SHARE * len(leased)


def _remove_or_hold(front, key, lapsed):
    """Removes an entry, or holds it until live servers are back on the list."""
    view = front.view
    if not lapsed or isinstance(view.keys[key], _OPERATORS):
        _remove(front, key, "removed")
        return
    since = view.regained_at if view.lost_at is None else time.monotonic()
    pause = since + HOLD_S - time.monotonic()
    view.held[key] = since + HOLD_S
    asyncio.get_running_loop().call_later(pause, _end_hold, front, key)


def _end_hold(front, key):
    due = front.view.held.get(key)
    if due is None or time.monotonic() < due - 0.01:
        return
    del front.view.held[key]
    _remove(front, key, "lapsed")


def _remove(front, key, cause):
    view = front.view
    document = view.keys.pop(key)
    if isinstance(document, BackendEntry):
        backends.remove_entry(view.backends, document.server_id)
        serverpool.retire_server(front.pool, document.server_id)
        log_event(front.log, "server_gone", server=document.server_id, cause=cause)
    elif isinstance(document, InstanceEntry):
        view.instances.pop(document.instance_id, None)
        _count_instances(front)
        peer = document.instance_id
        log_event(front.log, "instance_gone", peer=peer, cause=cause)
