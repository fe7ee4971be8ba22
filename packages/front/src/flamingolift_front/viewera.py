"""Eras of the store: what an instance knows better than a restored copy.

The store begins an era when it is restored from an older copy, which lacks the last
writes of the former era until they are written again.
"""

import asyncio

from flamingolift_decisions.storeposition import era_of
from flamingolift_model.plan import BackendEntry, InstanceEntry

from flamingolift_front.eventlog import log_event
from flamingolift_front.state import notify_change

__all__ = ["is_behind_era", "is_obsolete", "note_era"]


def note_era(front, era):
    """Records the era of the store that an answer names.

    Args:
        front: Front.
        era: Number of the era.

    Returns:
        False when the answer is of an earlier era and must not be used.
    """
    view = front.view
    if era > view.era:
        position = -1 if view.revision is None else view.revision
        if view.era:
            log_event(
                front.log,
                "store_era_changed",
                era=era,
                before=view.era,
                position=position,
            )
            # A watch may wait for changes after a revision that is given out again.
            front.store.abort_watch()
        view.era = era
        view.era_changed.set()
        view.era_changed = asyncio.Event()
        notify_change(view)
    return era >= view.era


def is_behind_era(view):
    """Returns whether a view holds data of an earlier era than the store's latest."""
    return view.revision is not None and era_of(view.revision) < view.era


def is_obsolete(front, item, revision):
    """Returns whether an item of a restored copy is older than what is known.

    An older report of a server, such as one from before it began to leave, or an entry
    that was removed, counts again only when it has been written again.

    Args:
        front: Front.
        item: ViewChange of the copy.
        revision: Position of the store, for the log.
    """
    view, document = front.view, item.document
    known = view.documents.get(item.key)
    _removed_at, gone = view.gone.get(item.key, (0.0, None))
    if isinstance(document, BackendEntry):
        obsolete = document == gone or any(
            _is_earlier(document, other) for other in (known, gone)
        )
    else:
        is_instance = isinstance(document, InstanceEntry)
        obsolete = is_instance and known is None and document == gone
    if obsolete:
        log_event(front.log, "entry_obsolete", key=item.key, revision=revision)
    return obsolete


def _is_earlier(entry, other):
    """Returns whether a server's entry is an earlier report of the same incarnation."""
    return (
        isinstance(other, BackendEntry)
        and entry.started_ms == other.started_ms
        and entry.sequence < other.sequence
    )
