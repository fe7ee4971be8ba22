"""Numbered documents: how they arrive, take force and spread between peers."""

import asyncio

from flamingolift_decisions.documents import is_newer, offer_document
from flamingolift_decisions.membership import (
    apply_live_list,
    apply_state,
    confirm_dead,
    prune_members,
)
from flamingolift_decisions.policyrules import compile_policy
from flamingolift_decisions.shifts import advance_rows
from flamingolift_model import peer
from flamingolift_model.plan import LiveList, Plan
from flamingolift_model.policy import PolicyHead
from flamingolift_wire.codec import decode_document
from flamingolift_wire.policytext import parse_policy

from flamingolift_daemon.heartbeats import announce, announce_soon
from flamingolift_daemon.instance import pulse, refresh_view
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import send_message

__all__ = [
    "KINDS",
    "apply_document",
    "handle_document",
    "handle_heartbeat",
    "handle_pull",
    "run_membership",
    "run_shifts",
]

KINDS = {"policy": PolicyHead, "plan": Plan, "live": LiveList}
MEMBERSHIP_INTERVAL_S = 0.25
SHIFT_INTERVAL_S = 1.0


def apply_document(instance, kind, body, source):
    """Takes a document into force when it is newer than the one held.

    Args:
        instance: Instance.
        kind: Document kind.
        body: Encoded form (bytes).
        source: Where it came from, for the log.

    Returns:
        Whether it took force. A document that cannot be read is refused, and the
        one in force stays.
    """
    decoded = decode_document(KINDS[kind], body)
    if decoded.is_error():
        count(instance.metrics, f"documents.refused.{kind}")
        logger.error(
            "document_refused", extra={"kind": kind, "detail": decoded.error.detail}
        )
        return False
    value = decoded.ok
    if not is_newer(instance.shelf, kind, value.number):
        return False
    taken = {"policy": _take_policy, "plan": _take_plan, "live": _take_live_list}
    if not taken[kind](instance, value):
        return False
    offer_document(instance.shelf, kind, value.number, body, value)
    count(instance.metrics, f"documents.taken.{kind}")
    logger.info(
        "document_in_force",
        extra={"kind": kind, "number": value.number, "source": source},
    )
    announce(instance)
    pulse(instance)
    return True


def _take_policy(instance, head):
    read = parse_policy(head.text)
    if read.is_error():
        first = read.error[0]
        logger.error(
            "policy_refused",
            extra={"number": head.number, "detail": first.fault.detail},
        )
        return False
    instance.policy = compile_policy(read.ok, head.number, head.drains)
    refresh_view(instance)
    return True


def _take_plan(instance, plan):
    instance.plan = plan
    _advance(instance)
    return True


def _take_live_list(instance, live_list):
    instance.live_list = live_list
    apply_live_list(instance.view, live_list, instance.clock.now())
    refresh_view(instance)
    return True


def _advance(instance):
    """Moves the rows in force toward the newest plan, within the cap."""
    if instance.plan is None or instance.policy is None:
        return
    shift = instance.policy.policy.shift
    moved = advance_rows(
        instance.guard, instance.plan, shift.cap, shift.window_s, instance.clock.now()
    )
    if moved > 0.0:
        count(instance.metrics, "shifts.steps")
        logger.info(
            "rows_moved", extra={"plan": instance.plan.number, "moved": round(moved, 6)}
        )


async def run_shifts(instance):
    """Goes on toward the newest plan as the cap's window allows, for ever."""
    while True:
        await asyncio.sleep(SHIFT_INTERVAL_S)
        _advance(instance)


def handle_heartbeat(instance, link, message, call_id):
    """Takes over a peer's membership news and pulls its newer documents."""
    now = instance.clock.now()
    changed = [apply_state(instance.view, state, now) for state in message.members]
    if any(changed):
        refresh_view(instance)
        announce_soon(instance)
    link.remote_versions = message.versions
    for kind, number in message.versions.items():
        if kind in KINDS and is_newer(instance.shelf, kind, number):
            held = instance.shelf.held.get(kind)
            above = held.number if held else -1
            send_message(link, peer.Pull(kind=kind, above=above))


def handle_pull(instance, link, message, call_id):
    """Sends a peer the document that it asked for, if it is newer."""
    held = instance.shelf.held.get(message.kind)
    if held is None or held.number <= message.above:
        return
    document = peer.Document(kind=message.kind, number=held.number, body=held.body)
    count(instance.metrics, "documents.sent")
    send_message(link, document)


def handle_document(instance, link, message, call_id):
    """Takes a document that a peer sent."""
    if message.kind in KINDS:
        apply_document(instance, message.kind, message.body, link.remote_id)


async def run_membership(instance, on_dead):
    """Declares silent suspects dead and retries a live list held back, for ever.

    Args:
        instance: Instance.
        on_dead: Function that is called with the names of the dead.
    """
    while True:
        await asyncio.sleep(MEMBERSHIP_INTERVAL_S)
        now = instance.clock.now()
        dead = confirm_dead(instance.view, now)
        if instance.view.held_list is not None:
            apply_live_list(instance.view, instance.view.held_list, now)
        prune_members(instance.view, now)
        if dead:
            for name in dead:
                logger.warning("instance_dead", extra={"peer": name})
            count(instance.metrics, "members.dead", len(dead))
            on_dead(instance, set(dead))
            announce(instance)
        was_isolated = instance.isolated
        if dead or instance.view.unlisted_at:
            refresh_view(instance)
        if instance.isolated != was_isolated:
            logger.warning("isolation_changed", extra={"isolated": instance.isolated})
