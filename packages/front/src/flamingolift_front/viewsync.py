"""Keeps an instance's view in step with the store.

A snapshot is read once, then the store is watched for changes. While the store is
unavailable, the last known view stays in use. A policy version in force is never
replaced by an older one.
"""

import asyncio
import collections
import time

from flamingolift_decisions import backends, instancecount, routetable
from flamingolift_decisions.evacuations import set_evacuations
from flamingolift_decisions.storeposition import era_of
from flamingolift_model import FaultError
from flamingolift_model.plan import BackendEntry, InstanceEntry
from flamingolift_model.routing import Evacuation, RoutingPolicy

from flamingolift_front import serverpool
from flamingolift_front.eventlog import log_event
from flamingolift_front.state import ViewChange, notify_change
from flamingolift_front.viewage import (
    note_applied,
    note_position,
    note_proof,
    view_time,
    wait_silent,
)
from flamingolift_front.viewera import is_behind_era, is_obsolete

__all__ = [
    "UNREADABLE",
    "apply_changes",
    "apply_snapshot",
    "call_store",
    "follow_store",
]

UNREADABLE = object()
"""Document of an item in a snapshot that cannot be used; the last valid one stays."""
MAX_RECENT_CHANGES = 2000
"""Changes kept for peers: about one minute's worth while all backend servers of a
large fleet restart."""
REMOVAL_GRACE_S = 2.0
"""Time after the store's recovery for which the removal of expired entries is
deferred (s): live servers register again within that time."""
OPERATOR_REWRITE_S = 6.0
"""Time for which an evacuation stays in force that a restored copy of the store lacks
(s): the operator writes it again."""
GONE_MEMORY_S = 60.0
"""Time for which removed entries are remembered (s), longer than the age of a copy."""
MASS_EXPIRY_SHARE = 0.34
"""Share of the leased entries that must disappear during an outage for the removals
to count as expired leases instead of departures (ratio): an outage makes leases
expire together."""


async def call_store(front, kind, call):
    """Awaits a call on the store and records whether the store is available.

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
        if view.store_failed_at is None:
            view.store_failed_at = time.monotonic()
            log_event(front.log, "store_lost", call=kind, cause=exc.fault.detail)
            # A watch may wait on a network path that fails without a reset.
            front.store.abort_watch()
            notify_change(view)
        raise
    front.metrics.store_calls.labels(kind, "ok").inc()
    if view.store_failed_at is not None:
        view.store_recovered_at = time.monotonic()
        outage_s = round(view.store_recovered_at - view.store_failed_at, 2)
        view.store_failed_at = None
        log_event(front.log, "store_regained", call=kind, outage_s=outage_s)
    return result


async def follow_store(front, max_wait_s):
    """Applies one batch of changes from the store, or a snapshot at first.

    Args:
        front: Front.
        max_wait_s: Longest time to wait for a change (s).

    Returns:
        Whether there were changes.

    Raises:
        FaultError: The store did not answer.
    """
    view = front.view
    if is_behind_era(view):
        view.revision = None
    if view.revision is None:
        accept_stale = not view.documents
        sent_at = view_time()
        items, revision = await call_store(
            front, "read", front.store.read_all(accept_stale)
        )
        if not accept_stale:
            note_position(view, revision, sent_at, view_time())
        apply_snapshot(front, items, revision)
        return False
    # During an outage a watch only probes the store, so it must not wait for changes.
    wait_s = max_wait_s if view.store_failed_at is None else 0.0
    found = await call_store(front, "watch", _watch(front, wait_s))
    if found is None:
        log_event(front.log, "store_history_lost", revision=view.revision)
        view.revision = None
        return False
    changes, revision = found
    if view.revision is not None and revision >= view.revision:
        apply_changes(front, changes, revision)
    return bool(changes)


async def _watch(front, wait_s):
    """Watches the store; again, without waiting, when the watch has gone silent.

    Returns:
        Tuple of the list of ViewChange and the position; None when the changes since
        the revision of the view cannot be had by a watch.

    Raises:
        FaultError: The store did not answer.
    """
    view = front.view
    sent_at = view_time()
    watch = asyncio.ensure_future(front.store.watch(view.revision, wait_s))
    silence = asyncio.ensure_future(wait_silent(front))
    try:
        await asyncio.wait([watch, silence], return_when=asyncio.FIRST_COMPLETED)
        if watch.done():
            found = watch.result()
        else:
            watch.cancel()
            await asyncio.wait([watch])
            known = view.freshness.newest
            log_event(front.log, "watch_silent", revision=view.revision, newest=known)
            sent_at = view_time()
            found = await front.store.watch(view.revision, 0.0)
            if found is not None and found[1] < known:
                return None
    finally:
        watch.cancel()
        silence.cancel()
        await asyncio.gather(watch, silence, return_exceptions=True)
    if found is not None:
        note_proof(view, found[1], sent_at, view_time())
    return found


def apply_snapshot(front, items, revision, source="store"):
    """Replaces the view by a snapshot of the store.

    What differs from the former view is kept as changes, so that peers need not
    transfer the whole view when the store has lost its history.

    Args:
        front: Front.
        items: List of ViewChange, one for each key; the document may be `UNREADABLE`.
        revision: Revision of the store that the items belong to.
        source: Address of the peer that sent the items, or "store".
    """
    view = front.view
    is_new_era = era_of(revision) > view.applied_era and bool(view.documents)
    unused = {i.key for i in items if i.document is UNREADABLE}
    if is_new_era:
        unused |= {i.key for i in items if is_obsolete(front, i, revision)}
    items = [item for item in items if item.key not in unused]
    # The store holds an unusable or older value of these, so they are not missing.
    kept = unused & set(view.documents)
    present = kept | {item.key for item in items}
    removals = [
        ViewChange(key, None, revision) for key in view.documents if key not in present
    ]
    fresh = [
        ViewChange(item.key, item.document, revision)
        for item in items
        if view.documents.get(item.key) != item.document
    ]
    for key in present:
        view.pending_removals.pop(key, None)
    # Peers of an earlier era may hold changes that this instance never saw, so that a
    # difference from its former view would not undo them.
    is_first = view.recent_after is None or is_new_era
    if is_first:
        view.recent_after = revision
    apply_changes(front, fresh + removals, revision, source, is_new_era)
    if is_first:
        view.recent_changes.clear()
    log_event(
        front.log,
        "view_read",
        revision=revision,
        policy=view.table.number if view.table else 0,
        servers=len(view.backends.backends),
        instances=len(view.instances),
    )


def apply_changes(front, changes, revision, source="store", is_new_era=False):
    """Applies changes to the view in the order of the store.

    Args:
        front: Front.
        changes: List of ViewChange.
        revision: Revision of the store after the last change.
        source: Address of the peer that sent the changes, or "store".
        is_new_era: Whether the changes are those to the copy from which the store was
            restored. What the copy lacks may be about to be written again.
    """
    view = front.view
    defer = is_new_era or _is_mass_expiry(front, changes)
    view.encoded = None
    for change in changes:
        view.packed.pop(change.key, None)
        if change.document is None:
            if change.key in view.documents:
                _remove_or_defer(front, change.key, defer, is_new_era)
            continue
        view.pending_removals.pop(change.key, None)
        if _is_superseded(front, change):
            continue
        view.gone.pop(change.key, None)
        view.documents[change.key] = change.document
        _APPLY[type(change.document)](front, change, source)
    _apply_evacuations(front)
    _update_instance_count(front)
    view.revision = revision
    view.applied_era = era_of(revision)
    note_applied(view, view_time())
    _record_recent(view, changes)


def _record_recent(view, changes):
    """Keeps recent changes for peers and wakes the tasks that wait for them."""
    replaced = {c.key for c in changes if isinstance(c.document, RoutingPolicy)}
    if replaced:
        recent = [*view.recent_changes, *changes]
        view.recent_changes = collections.deque(_without_superseded(recent, replaced))
    else:
        view.recent_changes.extend(changes)
    while len(view.recent_changes) > MAX_RECENT_CHANGES:
        view.recent_after = view.recent_changes.popleft().revision
    notify_change(view)


def _without_superseded(changes, keys):
    """Returns changes without those that a later one of the same key replaces.

    Args:
        changes: List of ViewChange, oldest first.
        keys: Keys to which this applies; all changes of other keys are kept.
    """
    latest = {change.key: change for change in changes}
    return [c for c in changes if c.key not in keys or latest[c.key] is c]


def _is_superseded(front, change):
    """Returns whether a change is a policy that is older than the one in force."""
    policy, table = change.document, front.view.table
    if table is None or not isinstance(policy, RoutingPolicy):
        return False
    if policy.number == table.number:
        return policy == front.view.documents.get(change.key)
    return policy.number < table.number


def _apply_policy(front, change, source):
    policy = change.document
    view = front.view
    view.table = routetable.build_route_table(policy)
    view.backends.services = view.table.services
    log_event(
        front.log,
        "policy_in_force",
        policy=policy.number,
        routes=len(policy.routes),
        revision=change.revision,
        source=source,
    )


def _apply_backend(front, change, _source):
    entry = change.document
    changed = backends.apply_entry(front.view.backends, entry, time.monotonic())
    if changed.is_none():
        return
    if changed.value == "restarted":
        serverpool.close_connections(front.pool, entry.server_id)
    log_event(
        front.log,
        "server_changed",
        server=entry.server_id,
        change=changed.value,
        service=entry.service,
        cold_ms=entry.cold_ms,
        revision=change.revision,
    )


def _apply_instance(front, change, _source):
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


def _skip_evacuation(_front, _change, _source):
    """Does nothing: `_apply_evacuations` applies all evacuations together."""


_OPERATOR_DOCUMENTS = (RoutingPolicy, Evacuation)
"""Documents that the operator writes, without a lease."""
_APPLY = {
    RoutingPolicy: _apply_policy,
    BackendEntry: _apply_backend,
    InstanceEntry: _apply_instance,
    Evacuation: _skip_evacuation,
}


def _apply_evacuations(front):
    documents = front.view.documents.values()
    evacuations = {d.failure_domain: d for d in documents if isinstance(d, Evacuation)}
    view = front.view.backends
    started, ended = set_evacuations(view, evacuations, time.monotonic())
    for failure_domain in started:
        log_event(
            front.log,
            "evacuation_started",
            failure_domain=failure_domain,
            reason=evacuations[failure_domain].reason,
        )
    for failure_domain in ended:
        log_event(front.log, "evacuation_ended", failure_domain=failure_domain)


def _update_instance_count(front):
    view, now = front.view, time.monotonic()
    live = sum(e.state == "live" for e in view.instances.values())
    instancecount.record_count(view.instance_count, live, now)
    count = instancecount.sharing_instances(view.instance_count, now)
    view.backends.instances = count


def _is_mass_expiry(front, changes):
    """Returns whether removals are leases that expired during a store outage."""
    view = front.view
    if (
        view.store_failed_at is None
        and time.monotonic() - view.store_recovered_at >= REMOVAL_GRACE_S
    ):
        return False
    leased = {
        k for k, d in view.documents.items() if not isinstance(d, _OPERATOR_DOCUMENTS)
    }
    removed = {c.key for c in changes if c.document is None} | set(
        view.pending_removals
    )
    return len(removed & leased) > MASS_EXPIRY_SHARE * len(leased)


def _remove_or_defer(front, key, defer, is_new_era):
    """Removes an entry, or defers that until it can have been written again."""
    view, now = front.view, time.monotonic()
    by_operator = isinstance(view.documents[key], _OPERATOR_DOCUMENTS)
    if not defer or (by_operator and not is_new_era):
        _remove(front, key, "removed")
        return
    if is_new_era or view.store_failed_at is not None:
        since = now
    else:
        since = view.store_recovered_at
    due = since + (OPERATOR_REWRITE_S if by_operator else REMOVAL_GRACE_S)
    delay_s = due - now
    view.pending_removals[key] = due
    asyncio.get_running_loop().call_later(delay_s, _finish_removal, front, key)


def _finish_removal(front, key):
    due = front.view.pending_removals.get(key)
    if due is None or time.monotonic() < due - 0.01:
        return
    _remove(front, key, "lapsed")
    _apply_evacuations(front)


def _remove(front, key, cause):
    view = front.view
    view.pending_removals.pop(key, None)
    document = view.documents.pop(key)
    now = time.monotonic()
    view.gone.pop(key, None)
    view.gone[key] = (now, document)
    while next(iter(view.gone.values()))[0] < now - GONE_MEMORY_S:
        del view.gone[next(iter(view.gone))]
    view.packed.pop(key, None)
    view.encoded = None
    if isinstance(document, BackendEntry):
        backends.remove_entry(view.backends, document.server_id)
        serverpool.close_connections(front.pool, document.server_id)
        log_event(front.log, "server_gone", server=document.server_id, cause=cause)
    elif isinstance(document, InstanceEntry):
        view.instances.pop(document.instance_id, None)
        _update_instance_count(front)
        peer = document.instance_id
        log_event(front.log, "instance_gone", peer=peer, cause=cause)
