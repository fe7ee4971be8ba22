"""The holder's side of slots: acquiring and releasing them for callers' requests."""

from expression import Error, Ok, Result
from flamingolift_decisions.topology import choose_dispatcher
from flamingolift_model import Fault, ResultCode, peer

from flamingolift_daemon.dispatching import acquire_locally, release_in_pool
from flamingolift_daemon.instance import start_task
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import (
    PEER_BACKOFF_S,
    call_peer,
    get_link,
    send_message,
)

__all__ = ["Slot", "acquire_slot", "release_slot"]

ANSWER_SLACK_S = 0.5
"""Time to wait for a dispatcher's answer beyond the longest wait in its queue (s)."""
MAX_DISPATCHER_ATTEMPTS = 3


class Slot:
    """A slot in use by this instance.

    Attributes:
        service: Service name.
        region: Region of the pool.
        dispatcher: Instance that granted it, or that adopted it later.
        grant_id: Id of the grant, unique across dispatchers.
        server_id: Backend server.
        host: IP address of the backend server.
        port: TCP port of the backend server.
        held_until: Time at which the dispatcher expires the grant (s, monotonic).
    """

    __slots__ = (
        "dispatcher",
        "grant_id",
        "held_until",
        "host",
        "port",
        "region",
        "server_id",
        "service",
    )

    def __init__(self, service, region, dispatcher, grant, held_until):
        self.service = service
        self.region = region
        self.dispatcher = dispatcher
        self.grant_id = grant.grant_id
        self.server_id = grant.server_id
        self.host = grant.host
        self.port = grant.port
        self.held_until = held_until


async def acquire_slot(
    instance, service, region, *, tenant, fingerprint, wait_s, hold_s, avoid=()
) -> Result:
    """Acquires a slot on a backend server from the pool's dispatcher.

    A dispatcher that cannot be reached is backed off from, and the next one is tried.

    Args:
        instance: Instance.
        service: Service name.
        region: Region of the pool.
        tenant: Tenant, for fair queueing.
        fingerprint: Fingerprint of the request.
        wait_s: Longest wait in the queue (s).
        hold_s: Longest time that the slot is held (s).
        avoid: Backend servers not to use.

    Returns:
        Ok with a Slot, or Error with a Fault; on an error nothing was run.
    """
    fault = Fault(ResultCode.NO_BACKEND, f"region {region} has no instance", 1000)
    for _ in range(MAX_DISPATCHER_ATTEMPTS):
        now = instance.clock.now()
        backed_off = {n for n, until in instance.backoff_until.items() if until > now}
        backed_off.discard(instance.cfg.instance_id)
        chosen = choose_dispatcher(instance.serving, service, region, backed_off)
        if chosen is None:
            break
        name = chosen.instance_id
        if name == instance.cfg.instance_id:
            acquired = await acquire_locally(
                instance, service, region, tenant, fingerprint, wait_s, hold_s, avoid
            )
        else:
            message = peer.Acquire(
                service=service,
                tenant=tenant,
                wait_ms=int(wait_s * 1000),
                hold_ms=max(1, int(hold_s * 1000)),
                fingerprint=fingerprint,
                avoid=list(avoid),
            )
            acquired = await _acquire_remotely(instance, chosen, region, message)
        if acquired.is_ok():
            slot = Slot(service, region, name, acquired.ok, now + wait_s + hold_s)
            instance.held_slots.setdefault((service, region), set()).add(slot)
            return Ok(slot)
        fault = acquired.error
        if fault.code != ResultCode.PEER_UNREACHABLE:
            break
        instance.backoff_until[name] = instance.clock.now() + PEER_BACKOFF_S
    return Error(fault)


async def _acquire_remotely(instance, entry, region, message):
    link_result = await get_link(instance, entry)
    if link_result.is_error():
        return link_result
    link = link_result.ok
    await _report_holdings(instance, link, region, message.service)
    timeout_s = message.wait_ms / 1000.0 + ANSWER_SLACK_S

    def release_late_grant(answer):
        """Releases a slot that was granted after the wait had ended."""
        if isinstance(answer, peer.Grant):
            count(instance.metrics, "slots.late")
            release = peer.Release(
                service=message.service, grant_id=answer.grant_id, outcome="cancelled"
            )
            send_message(link, release)

    return await call_peer(link, message, timeout_s, release_late_grant)


async def _report_holdings(instance, link, region, service):
    """Reports to a new dispatcher the slots held from its predecessors, once.

    It adopts them, so that it does not grant the same slots again.
    """
    now = instance.clock.now()
    inherited = [
        slot
        for slot in instance.held_slots.get((service, region), ())
        if slot.dispatcher != link.remote_id and slot.held_until > now
    ]
    if not inherited:
        return
    for slot in inherited:
        slot.dispatcher = link.remote_id
    slots = [
        peer.HeldSlot(
            server_id=slot.server_id,
            grant_id=slot.grant_id,
            hold_ms=int((slot.held_until - now) * 1000),
        )
        for slot in inherited
    ]
    message = peer.Holdings(service=service, slots=slots)
    await call_peer(link, message, ANSWER_SLACK_S)


def release_slot(instance, slot, outcome, elapsed_ms):
    """Releases a slot to its dispatcher.

    Args:
        instance: Instance.
        slot: Slot; releasing it twice does nothing.
        outcome: Outcome of the schema's Release message.
        elapsed_ms: Time on the backend server (ms).
    """
    held = instance.held_slots.get((slot.service, slot.region), set())
    if slot not in held:
        return
    held.discard(slot)
    count(instance.metrics, f"slots.{outcome}")
    if slot.dispatcher == instance.cfg.instance_id:
        release_in_pool(
            instance, slot.service, slot.region, slot.grant_id, outcome, elapsed_ms
        )
        return
    message = peer.Release(
        service=slot.service,
        grant_id=slot.grant_id,
        outcome=outcome,
        elapsed_ms=max(0.0, elapsed_ms),
    )
    link = instance.links.get(slot.dispatcher)
    if link is None or not send_message(link, message):
        start_task(instance, _release_later(instance, slot, message))


async def _release_later(instance, slot, message):
    """Releases a slot over a new stream, after the former one broke."""
    entry = instance.view.entries.get(slot.dispatcher)
    if entry is None:
        return
    link_result = await get_link(instance, entry)
    if link_result.is_ok():
        send_message(link_result.ok, message)
