"""A relay's work: it watches the store for its failure domain and reports load."""

import asyncio

from flamingolift_decisions.topology import choose_relays
from flamingolift_model import peer
from flamingolift_model.plan import LoadReport, ServiceLoad
from flamingolift_wire.codec import encode_document
from flamingolift_wire.storeclient import (
    put_value,
    watch_live_list,
    watch_prefix,
)

from flamingolift_daemon.distribution import apply_document
from flamingolift_daemon.instance import start_task
from flamingolift_daemon.load import sample_load
from flamingolift_daemon.logs import logger
from flamingolift_daemon.metrics import count
from flamingolift_daemon.peerlinks import get_link, send_message

__all__ = ["handle_load_sample", "run_live_watch", "run_reports", "run_store_watch"]

CONFIG_PREFIX = "config/"
LOAD_PREFIX = "load/"
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0
IDLE_CHECK_S = 0.5


def my_relays(instance):
    """Returns the relays of this instance's failure domain, the first one first."""
    cfg = instance.cfg
    return choose_relays(instance.serving, cfg.failure_domain, cfg.relays_per_domain)


def is_watching(instance):
    """Returns whether this instance should watch the store.

    An instance that knows of no relay watches too: that is how a replaced one
    starts, and how the last one of a failure domain goes on.
    """
    relays = my_relays(instance)
    return not relays or instance.cfg.instance_id in relays


async def _backoff(failures):
    """Sleeps before the next call on a store that does not answer."""
    await asyncio.sleep(min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(failures, 6)))


async def run_store_watch(instance):
    """Watches the policy and the plan while this instance is a relay, for ever."""
    revision, failures = 0, 0
    while True:
        if instance.policy is not None and not is_watching(instance):
            await asyncio.sleep(IDLE_CHECK_S)
            continue
        watched = await watch_prefix(instance.store, CONFIG_PREFIX, revision)
        if watched.is_error():
            if failures == 0:
                logger.warning("store_lost", extra={"detail": watched.error.detail})
            failures += 1
            count(instance.metrics, "store.failures")
            await _backoff(failures)
            continue
        if failures:
            logger.info("store_back")
        failures = 0
        newest, values = watched.ok
        # A store that was restored from a copy counts from a lower number.
        revision = newest
        for value in values:
            kind = value.key.removeprefix(CONFIG_PREFIX)
            if kind in ("policy", "plan"):
                apply_document(instance, kind, value.body, "store")


async def run_live_watch(instance):
    """Watches the platform's live list while this instance is a relay, for ever."""
    failures = 0
    while True:
        if instance.live_list is not None and not is_watching(instance):
            await asyncio.sleep(IDLE_CHECK_S)
            continue
        held = instance.live_list.number if instance.live_list else -1
        listed = await watch_live_list(instance.store, held)
        if listed.is_error():
            failures += 1
            count(instance.metrics, "store.failures")
            await _backoff(failures)
            continue
        failures = 0
        if listed.ok:
            apply_document(instance, "live", listed.ok, "store")


def handle_load_sample(instance, link, message, call_id):
    """Keeps the load that another instance of the failure domain reports."""
    instance.samples[message.instance_id] = (instance.clock.now(), message)


async def run_reports(instance):
    """Sends load samples to the first relay, which writes the sum, for ever."""
    cfg = instance.cfg
    sequence = 0
    while True:
        await asyncio.sleep(cfg.report_interval_s)
        services = sample_load(instance, cfg.report_interval_s)
        sample = peer.LoadSample(instance_id=cfg.instance_id, services=services)
        instance.samples[cfg.instance_id] = (instance.clock.now(), sample)
        relays = my_relays(instance)
        if not relays:
            continue
        if relays[0] == cfg.instance_id:
            sequence += 1
            report = _add_up(instance, sequence)
            start_task(instance, _write_report(instance, report))
        else:
            opened = await get_link(instance, instance.view.entries[relays[0]])
            if opened.is_ok():
                send_message(opened.ok, sample)


def _add_up(instance, sequence):
    """Returns the LoadReport of the failure domain from its fresh samples."""
    cfg = instance.cfg
    now = instance.clock.now()
    fresh_s = 3.0 * cfg.report_interval_s
    totals = {}
    for name, (at, sample) in list(instance.samples.items()):
        if now - at > fresh_s:
            del instance.samples[name]
            continue
        for load in sample.services:
            total = totals.setdefault(load.service, ServiceLoad(service=load.service))
            for origin, slots in load.demand.items():
                total.demand[origin] = total.demand.get(origin, 0.0) + slots
            total.capacity += load.capacity
            total.is_dispatcher = total.is_dispatcher or load.is_dispatcher
    return LoadReport(
        failure_domain=cfg.failure_domain,
        region=cfg.region,
        measured_at=instance.clock.wall(),
        sequence=sequence,
        services=list(totals.values()),
    )


async def _write_report(instance, report):
    """Writes a failure domain's report; a lost one is replaced by the next."""
    key = LOAD_PREFIX + report.failure_domain
    written = await put_value(instance.store, key, encode_document(report), None)
    name = "reports.written" if written.is_ok() else "reports.lost"
    count(instance.metrics, name)
