"""Numbered documents (policy, plan, live list): applied here and sent between peers.

Also handles heartbeats, which carry the document numbers and the membership changes.
"""

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
from flamingolift_model.plan import LiveList, Plan
from flamingolift_model.policy import PolicyHead
from flamingolift_wire.codec import decode_document
from flamingolift_wire.policytext import parse_policy

from flamingolift_daemon.heartbeats import announce, announce_soon
from flamingolift_daemon.instance import notify_change, refresh_view
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.transfers import receive_document, request_document

__all__ = [
    "DOCUMENT_CLASSES",
    "apply_document",
    "handle_document",
    "handle_heartbeat",
    "run_membership",
    "run_shifts",
]

DOCUMENT_CLASSES = {"policy": PolicyHead, "plan": Plan, "live": LiveList}
MEMBERSHIP_INTERVAL_S = 0.25
SHIFT_INTERVAL_S = 1.0


def apply_document(instance, kind, body, source):
    """Puts a document into force if it is newer than the one held.

    Args:
        instance: Instance.
        kind: Document kind.
        body: Encoded form (bytes).
        source: Where it came from, for the log.

    Returns:
        Whether it was applied. A document that cannot be read is refused, and the
        former one stays in force. A live list counts as applied even while
        `membership.apply_live_list` holds it back.
    """
    decoded = decode_document(DOCUMENT_CLASSES[kind], body)
    if decoded.is_error():
        count(instance.metrics, f"documents.refused.{kind}")
        logger.error(
            "document_refused", extra={"kind": kind, "detail": decoded.error.detail}
        )
        return False
    value = decoded.ok
    if not is_newer(instance.latest_documents, kind, value.number):
        return False
    apply_by_kind = {
        "policy": _apply_policy,
        "plan": _apply_plan,
        "live": _apply_live_list,
    }
    if not apply_by_kind[kind](instance, value):
        return False
    offer_document(instance.latest_documents, kind, value.number, body, value)
    count(instance.metrics, f"documents.taken.{kind}")
    logger.info(
        "document_in_force",
        extra={"kind": kind, "number": value.number, "source": source},
    )
    announce(instance)
    notify_change(instance)
    return True


def _apply_policy(instance, policy_head):
    read = parse_policy(policy_head.text)
    if read.is_error():
        first = read.error[0]
        logger.error(
            "policy_refused",
            extra={"number": policy_head.number, "detail": first.fault.detail},
        )
        return False
    instance.policy = compile_policy(read.ok, policy_head.number, policy_head.drains)
    refresh_view(instance)
    return True


def _apply_plan(instance, plan):
    instance.plan = plan
    _advance_weights(instance)
    return True


def _apply_live_list(instance, live_list):
    instance.live_list = live_list
    apply_live_list(instance.view, live_list, instance.clock.now())
    refresh_view(instance)
    return True


def _advance_weights(instance):
    """Moves the weights in force toward the newest plan, within the cap."""
    if instance.plan is None or instance.policy is None:
        return
    shift = instance.policy.policy.shift
    moved = advance_rows(
        instance.shift_limiter,
        instance.plan,
        shift.cap,
        shift.window_s,
        instance.clock.now(),
    )
    if moved > 0.0:
        count(instance.metrics, "shifts.steps")
        logger.info(
            "rows_moved", extra={"plan": instance.plan.number, "moved": round(moved, 6)}
        )


async def run_shifts(instance):
    """Moves the weights toward the newest plan as the cap allows, until cancelled."""
    while True:
        await asyncio.sleep(SHIFT_INTERVAL_S)
        _advance_weights(instance)


def handle_heartbeat(instance, link, message, call_id):
    """Applies a peer's membership changes and requests its newer documents."""
    now = instance.clock.now()
    changed = [apply_state(instance.view, state, now) for state in message.members]
    if any(changed):
        refresh_view(instance)
        announce_soon(instance)
    link.remote_versions = message.versions
    for kind, number in message.versions.items():
        if kind in DOCUMENT_CLASSES and is_newer(
            instance.latest_documents, kind, number
        ):
            request_document(instance, link, kind)


def handle_document(instance, link, message, call_id):
    """Applies a document that a peer sent, if it is complete and newer."""
    kind, number = message.kind, message.number
    if kind not in DOCUMENT_CLASSES:
        return
    body = receive_document(instance, link, message)
    if body is None or not is_newer(instance.latest_documents, kind, number):
        return
    if not apply_document(instance, kind, body, link.remote_id):
        link.refused_numbers[kind] = number


async def run_membership(instance, on_dead):
    """Declares suspects dead that did not refute, and retries a held-back live list.

    Runs until cancelled.

    Args:
        instance: Instance.
        on_dead: Function that is called with the instance and the set of names of
            the instances that died.
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
