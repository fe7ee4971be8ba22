"""Composition root: creates one instance, runs its tasks and stops it."""

import asyncio
import contextlib
import signal

from flamingolift_decisions.membership import set_self_leaving
from flamingolift_model import peer
from flamingolift_model.plan import InstanceEntry
from flamingolift_wire.frames import MAX_FRAME_BYTES
from flamingolift_wire.keys import parse_key_ring
from flamingolift_wire.storeclient import StoreClient

from flamingolift_daemon import (
    bookinghandlers,
    dispatching,
    distribution,
    heartbeats,
    peerlinks,
    relay,
    transfers,
)
from flamingolift_daemon.backendclient import BackendClients, close_clients
from flamingolift_daemon.callerapi import make_caller_app
from flamingolift_daemon.clock import Clock
from flamingolift_daemon.httpserver import make_server
from flamingolift_daemon.instance import (
    Instance,
    refresh_view,
    self_entry,
    start_task,
)
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import Metrics, count, flush_metrics
from flamingolift_daemon.operatorapi import make_operator_app
from flamingolift_daemon.planning import run_planner
from flamingolift_daemon.probing import run_probes
from flamingolift_daemon.waits import end_waits

__all__ = ["make_instance", "run_instance", "serve_peers"]

FLUSH_INTERVAL_S = 1.0
STOP_POLL_S = 0.05
CUT_ANSWER_TIMEOUT_S = 1.0
"""Time for answering the callers whose requests were aborted (s)."""
FLUSH_TIMEOUT_S = 1.0
"""Shortest time allowed for callers to read the ends of their answers (s)."""
SEED_RETRY_S = 1.0
RESTART_DELAY_S = 1.0
CLOSE_TIMEOUT_S = 2.0


def make_instance(cfg):
    """Returns the Instance for checked settings.

    Args:
        cfg: Settings whose key rings parse.
    """
    metrics = Metrics(cfg.statsd_host, cfg.statsd_port)
    instance = Instance(
        cfg,
        Clock(),
        metrics,
        parse_key_ring(cfg.peer_keys).ok,
        parse_key_ring(cfg.ticket_keys).ok,
        parse_key_ring(cfg.operator_keys).ok,
        StoreClient(cfg.store_url, cfg.store_timeout_s),
        BackendClients(
            cfg.host, cfg.connect_timeout_s, cfg.idle_read_timeout_s, metrics
        ),
    )
    instance.handlers = {
        peer.Heartbeat: distribution.handle_heartbeat,
        peer.Pull: transfers.handle_pull,
        peer.Document: distribution.handle_document,
        peer.Acquire: dispatching.handle_acquire,
        peer.Release: dispatching.handle_release,
        peer.Holdings: dispatching.handle_holdings,
        peer.Quarantine: dispatching.handle_quarantine,
        peer.Booking: bookinghandlers.handle_booking,
        peer.Claim: bookinghandlers.handle_claim,
        peer.Completion: bookinghandlers.handle_completion,
        peer.Resolve: bookinghandlers.handle_resolve,
        peer.LoadSample: relay.handle_load_sample,
    }
    # The instance serves alone until it has received a live list.
    instance.view.entries[cfg.instance_id] = self_entry(instance)
    refresh_view(instance)
    return instance


async def serve_peers(instance):
    """Accepts streams from peers until cancelled, each in a task of its own."""

    async def accept(reader, writer):
        task = asyncio.current_task()
        instance.tasks.add(task)
        task.add_done_callback(instance.tasks.discard)
        await peerlinks.accept_peer(instance, reader, writer)

    cfg = instance.cfg
    server = await asyncio.start_server(
        accept, cfg.host, cfg.peer_port, limit=MAX_FRAME_BYTES
    )
    async with server:
        await server.serve_forever()


async def _connect_to_seeds(instance):
    """Opens streams to the seeds until a live list and a policy have arrived."""
    seeds = [s.strip() for s in instance.cfg.peer_seeds.split(",") if s.strip()]
    while instance.live_list is None or instance.policy is None:
        for seed in seeds:
            host, _, port = seed.rpartition(":")
            entry = InstanceEntry(
                instance_id=f"seed {seed}",
                region="-",
                failure_domain="-",
                host=host,
                caller_port=1,
                operator_port=1,
                peer_port=int(port),
            )
            await peerlinks.get_link(instance, entry)
        await asyncio.sleep(SEED_RETRY_S)


async def _run_metrics_flush(instance):
    """Sends the metrics to statsd until cancelled."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        flush_metrics(instance.metrics)


def _start_background(instance):
    """Starts the tasks that run until the instance stops."""
    for run in (
        serve_peers,
        _connect_to_seeds,
        _run_metrics_flush,
        bookinghandlers.run_record_expiry,
        dispatching.run_pools,
        _run_membership,
        distribution.run_shifts,
        heartbeats.maintain_peer_streams,
        heartbeats.run_heartbeats,
        relay.run_live_watch,
        relay.run_reports,
        relay.run_store_watch,
        run_planner,
        run_probes,
    ):
        start_task(instance, _supervise(instance, run))


async def _run_membership(instance):
    """Runs the membership task, which releases the slots of dead instances."""
    await distribution.run_membership(instance, dispatching.release_dead_holders)


async def _supervise(instance, run):
    """Runs a background function, and restarts it after an exception."""
    while True:
        try:
            return await run(instance)
        except Exception as exc:
            count(instance.metrics, "tasks.failed")
            logger.error(
                "background_task_failed", extra={"task": run.__name__}, exc_info=exc
            )
            await asyncio.sleep(RESTART_DELAY_S)


async def run_instance(cfg):
    """Runs one instance until SIGTERM or SIGINT, or until a listener ends.

    Args:
        cfg: Checked Settings.

    Returns:
        Number of requests that were aborted because the grace period ended.
    """
    instance = make_instance(cfg)
    servers = [
        make_server(
            make_caller_app(instance), cfg.host, cfg.caller_port, cfg.max_header_bytes
        ),
        make_server(
            make_operator_app(instance),
            cfg.host,
            cfg.operator_port,
            cfg.max_header_bytes,
        ),
    ]
    stop_now = asyncio.Event()
    _install_signal_handlers(instance, stop_now)
    _start_background(instance)
    serving = [asyncio.ensure_future(server.serve()) for server in servers]
    logger.info("instance_started", extra={"incarnation": instance.incarnation})
    stopping = asyncio.ensure_future(instance.stopping.wait())
    await asyncio.wait({*serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    ends_at = instance.clock.now() + cfg.drain_grace_s
    cut = await _drain(instance, stop_now)
    await _end_requests(instance)
    left_s = 0.0 if stop_now.is_set() else ends_at - instance.clock.now()
    await _close_listeners(servers, serving, max(FLUSH_TIMEOUT_S, left_s))
    await _shut_down(instance)
    logger.info("instance_stopped", extra={"cut": cut})
    return cut


def _install_signal_handlers(instance, stop_now):
    """Drains on the first SIGTERM or SIGINT and stops at once on the second."""

    def stop():
        if instance.stopping.is_set():
            stop_now.set()
        instance.stopping.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)


async def _drain(instance, stop_now):
    """Announces the stop and waits for requests to finish within the grace period.

    New requests are served until look-ups cached by callers have expired, and refused
    after that.

    Returns:
        Number of requests still in flight when the grace period ended.
    """
    logger.info("drain_started", extra={"in_flight": instance.in_flight})
    set_self_leaving(instance.view, instance.clock.now())
    refresh_view(instance)
    heartbeats.announce(instance)
    ends_at = instance.clock.now() + instance.cfg.drain_grace_s
    ttl_s = _longest_ttl_s(instance)
    refuse_at = min(ends_at, instance.clock.now() + ttl_s)
    while not stop_now.is_set():
        now = instance.clock.now()
        instance.refusing = now >= refuse_at
        if now >= ends_at or (instance.refusing and instance.in_flight == 0):
            break
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(stop_now.wait(), STOP_POLL_S)
    instance.refusing = True
    return instance.in_flight


async def _end_requests(instance):
    """Ends the requests still in flight with answers that say what became of them.

    Those without a slot are refused. Those on a backend server, and bookings that
    another instance runs, end with an unknown outcome.
    """
    end_waits(instance.slot_waits)
    await close_clients(instance.backends)
    await _await_in_flight(instance, CUT_ANSWER_TIMEOUT_S)
    end_waits(instance.booking_waits)
    await _await_in_flight(instance, CUT_ANSWER_TIMEOUT_S)


async def _close_listeners(servers, serving, flush_timeout_s):
    """Closes the listeners, and their connections after their queued bytes are sent.

    Args:
        servers: List of EmbeddedServer.
        serving: List of the tasks in which they run.
        flush_timeout_s: Longest wait for callers to read what is queued (s).
    """
    for server in servers:
        server.should_exit = True
    await asyncio.wait(serving, timeout=flush_timeout_s)
    for server in servers:
        server.force_exit = True
    await asyncio.wait(serving, timeout=CLOSE_TIMEOUT_S)


async def _await_in_flight(instance, timeout_s):
    """Waits until callers of aborted requests have been answered, or the timeout."""
    ends_at = instance.clock.now() + timeout_s
    while instance.in_flight and instance.clock.now() < ends_at:
        await asyncio.sleep(STOP_POLL_S)


def _longest_ttl_s(instance):
    """Returns the longest time for which callers may cache a look-up's answer (s)."""
    if instance.policy is None:
        return 0.0
    return max(s.lookup_ttl_s for s in instance.policy.services.values())


async def _shut_down(instance):
    """Cancels the background tasks and closes the connections."""
    for link in list(instance.streams):
        peerlinks.close_link(link)
    tasks = [t for t in instance.tasks if t is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
    await instance.store.session.close()
    flush_metrics(instance.metrics)
