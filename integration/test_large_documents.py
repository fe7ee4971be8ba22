"""How documents near the size limit reach instances over slow links."""

import asyncio
import functools
import time

import pytest
from flamingolift_daemon import distribution, heartbeats, peerlinks
from flamingolift_daemon.instance import MAX_UPLOADS
from flamingolift_daemon.transfers import PART_TIMEOUT_S
from flamingolift_daemon.wiring import make_instance, serve_peers
from flamingolift_decisions.documents import offer_document
from flamingolift_model import peer
from flamingolift_model.plan import InstanceEntry, LiveList
from flamingolift_model.settings import Settings
from flamingolift_standins.fleet import OPERATOR_KEY, PEER_KEYS, TICKET_KEYS
from flamingolift_standins.linkproxy import Link, start_link_proxy, stop_link_proxy
from flamingolift_standins.ports import free_ports
from flamingolift_wire.codec import MAX_DOCUMENT_BYTES, encode_document

HOST = "127.0.0.1"
HEARTBEAT_INTERVAL_S = 0.2
HEARTBEAT_TIMEOUT_S = 1.0
FAST_BYTES_PER_S = 10e6 / 8
"""Bandwidth of a small instance's link, 10 Mbit/s (bytes/s)."""
SLOW_BYTES_PER_S = 250_000
"""Bandwidth at which a large document takes longer than the heartbeat timeout
(bytes/s)."""
WAIT_S = 20.0
ENTRIES = 2_000
FOLLOWERS = 16


class Site:
    """Instances in this process and the links in front of them.

    Attributes:
        instances: Map of instance name to Instance.
        entries: Map of instance name to InstanceEntry, whose port is that of the proxy.
        links: Map of instance name to Link.
        proxies: List of LinkProxy.
        tasks: List of background tasks.
    """

    __slots__ = ("entries", "instances", "links", "proxies", "tasks")

    def __init__(self):
        self.entries = {}
        self.instances = {}
        self.links = {}
        self.proxies = []
        self.tasks = []


@functools.cache
def make_live_list(number):
    """Returns an encoded live list a little below the size limit."""
    instances = [
        InstanceEntry(
            instance_id=f"i{n:05}".ljust(128, "x"),
            region="region-".ljust(64, "x"),
            failure_domain="domain-".ljust(64, "x"),
            site="site-".ljust(64, "x"),
            host=HOST,
            caller_port=1,
            peer_port=1,
            operator_port=1,
        )
        for n in range(ENTRIES)
    ]
    body = encode_document(LiveList(number=number, instances=instances))
    assert 0.8 * MAX_DOCUMENT_BYTES < len(body) <= MAX_DOCUMENT_BYTES
    return body


async def start_instances(site, names, bytes_per_s):
    """Starts instances without HTTP listeners and without a store."""
    ports = free_ports(len(names))
    for name, port in zip(names, ports, strict=True):
        cfg = Settings(
            instance_id=name,
            region="r",
            failure_domain="d",
            host=HOST,
            caller_port=1,
            operator_port=1,
            peer_port=port,
            store_url="http://127.0.0.1:9",
            peer_keys=PEER_KEYS,
            ticket_keys=TICKET_KEYS,
            operator_keys="o1:" + OPERATOR_KEY,
            heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S,
        )
        instance = make_instance(cfg)
        site.instances[name] = instance
        site.links[name] = Link(bytes_per_s)
        site.proxies.append(await start_link_proxy(site.links[name], HOST, port))
        site.entries[name] = InstanceEntry(
            instance_id=name,
            region="r",
            failure_domain="d",
            host=HOST,
            caller_port=1,
            peer_port=site.proxies[-1].port,
            operator_port=1,
        )
        for run in (serve_peers, heartbeats.run_heartbeats):
            site.tasks.append(asyncio.ensure_future(run(instance)))


async def connect(site, name, remote):
    """Returns the link of a stream that an instance opens to another one."""
    result = await peerlinks.get_link(site.instances[name], site.entries[remote])
    return result.ok


async def wait_for(condition, timeout_s=WAIT_S):
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            raise TimeoutError("the condition was not met in time")
        await asyncio.sleep(0.02)


def live_number(site, name):
    live_list = site.instances[name].live_list
    return live_list.number if live_list else -1


def total(site, name, metric):
    return site.instances[name].metrics.totals[metric]


def apply_live(site, name, number):
    body = make_live_list(number)
    instance = site.instances[name]
    assert distribution.apply_document(instance, "live", body, "test")


@pytest.fixture
async def site():
    running = Site()
    yield running
    instances = running.instances.values()
    for instance in instances:
        running.tasks += list(instance.tasks)
        for link in list(instance.streams):
            peerlinks.close_link(link)
    for task in running.tasks:
        task.cancel()
    await asyncio.wait(running.tasks, timeout=5.0)
    for proxy in running.proxies:
        await stop_link_proxy(proxy)
    for instance in instances:
        await instance.store.session.close()
        await instance.backends.unpooled.session.close()


# Guards against an instance that gets the same document from each of its peers.
async def test_document_is_sent_to_an_instance_once(site):
    sources = ["a", "b", "c"]
    await start_instances(site, [*sources, "x"], FAST_BYTES_PER_S)
    for name in sources:
        await connect(site, "x", name)
    for name in sources:
        apply_live(site, name, 1)
    await wait_for(lambda: live_number(site, "x") == 1)
    await asyncio.sleep(1.0)
    sent = sum(link.sent for link in site.links.values())
    assert sent < 1.2 * len(make_live_list(1))


# Guards against heartbeats that wait behind a large document, so that its sender is
# taken for dead, the stream is closed and the transfer never ends.
async def test_document_arrives_over_a_link_slower_than_the_heartbeat_timeout(site):
    await start_instances(site, ["a", "x"], SLOW_BYTES_PER_S)
    link = await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await wait_for(lambda: live_number(site, "x") == 1)
    assert not link.closed.done()
    assert total(site, "x", "peer.silent_streams") == 0
    assert site.links["a"].sent < 1.2 * len(make_live_list(1))


# Guards against a transfer that hangs with a peer that stopped to deliver.
async def test_another_peer_is_asked_when_one_does_not_deliver(site):
    await start_instances(site, ["a", "b", "x"], FAST_BYTES_PER_S)
    await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await wait_for(lambda: site.links["a"].sent > 100_000)
    site.links["a"].bytes_per_s = 1.0
    await connect(site, "x", "b")
    apply_live(site, "b", 1)
    await wait_for(lambda: live_number(site, "x") == 1)
    sent = sum(link.sent for link in site.links.values())
    assert sent < 1.4 * len(make_live_list(1))


# Guards against a transfer that is lost with the stream that carried it.
async def test_another_peer_is_asked_when_the_stream_ends(site):
    await start_instances(site, ["a", "b", "x"], FAST_BYTES_PER_S)
    link = await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await connect(site, "x", "b")
    apply_live(site, "b", 1)
    await wait_for(lambda: site.links["a"].sent + site.links["b"].sent > 200_000)
    peerlinks.close_link(link)
    await wait_for(lambda: live_number(site, "x") == 1)


# Guards against an old document that delays a newer one.
async def test_newer_document_replaces_one_in_transfer(site):
    await start_instances(site, ["a", "x"], SLOW_BYTES_PER_S)
    await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await wait_for(lambda: site.links["a"].sent > 200_000)
    apply_live(site, "a", 2)
    await wait_for(lambda: live_number(site, "x") == 2)
    assert total(site, "x", "documents.taken.live") == 1
    assert site.links["a"].sent < 1.6 * len(make_live_list(1))


# Guards against a transfer that waits for a peer whose heartbeats are all that arrives.
async def test_another_peer_is_asked_when_one_sends_heartbeats_only(site):
    await start_instances(site, ["a", "b", "x"], FAST_BYTES_PER_S)
    site.instances["a"].handlers[peer.Pull] = lambda *args: None
    await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await asyncio.sleep(0.1)
    await connect(site, "x", "b")
    apply_live(site, "b", 1)
    await wait_for(lambda: live_number(site, "x") == 1)
    assert total(site, "x", "documents.overdue") == 1


# Guards against an older build that cannot read the parts of a document.
async def test_peer_that_does_not_take_parts_gets_the_whole_document(site):
    await start_instances(site, ["a", "x"], FAST_BYTES_PER_S)
    apply_live(site, "a", 1)
    site.instances["x"].handlers[peer.Heartbeat] = lambda *args: None
    link = await connect(site, "x", "a")
    peerlinks.send_message(link, peer.Pull(kind="live", above=-1))
    await wait_for(lambda: live_number(site, "x") == 1)


# Guards against an older build that answers with the whole document.
async def test_whole_document_from_a_peer_that_does_not_send_parts_is_applied(site):
    await start_instances(site, ["a", "x"], FAST_BYTES_PER_S)

    def send_whole(instance, link, message, call_id):
        held = instance.latest_documents.held[message.kind]
        document = peer.Document(kind="live", number=held.number, body=held.body)
        peerlinks.send_message(link, document)

    site.instances["a"].handlers[peer.Pull] = send_whole
    await connect(site, "x", "a")
    for number in (1, 2):
        apply_live(site, "a", number)
        await wait_for(lambda number=number: live_number(site, "x") == number)
    assert site.links["a"].sent < 2.4 * len(make_live_list(1))


# Guards against a document that cannot be applied and is transferred again and again.
async def test_unreadable_document_is_asked_for_once_from_each_peer(site):
    await start_instances(site, ["a", "b", "x"], FAST_BYTES_PER_S)
    await connect(site, "x", "a")
    held = site.instances["a"].latest_documents
    offer_document(held, "live", 1, make_live_list(1)[:-1], None)
    await wait_for(lambda: total(site, "x", "documents.refused.live") == 1)
    await connect(site, "x", "b")
    apply_live(site, "b", 1)
    await wait_for(lambda: live_number(site, "x") == 1)
    assert total(site, "x", "documents.refused.live") == 1
    sent = sum(link.sent for link in site.links.values())
    assert sent < 2.4 * len(make_live_list(1))


# Guards against a slow peer of an older build that asks again with each heartbeat.
async def test_whole_document_is_sent_once_on_a_stream(site):
    await start_instances(site, ["a", "x"], FAST_BYTES_PER_S)
    apply_live(site, "a", 1)
    site.instances["x"].handlers[peer.Heartbeat] = lambda *args: None
    link = await connect(site, "x", "a")
    for _ in range(5):
        peerlinks.send_message(link, peer.Pull(kind="live", above=-1))
    await wait_for(lambda: live_number(site, "x") == 1)
    await asyncio.sleep(1.0)
    assert site.links["a"].sent < 1.2 * len(make_live_list(1))


# Guards against a peer whose link carries a copy for each of its followers, although
# they could get it from each other.
async def test_followers_take_a_document_from_each_other(site):
    names = [f"x{n}" for n in range(FOLLOWERS)]
    await start_instances(site, ["a", *names], FAST_BYTES_PER_S)
    for number, name in enumerate(names):
        await connect(site, name, "a")
        for step in (3, 7):
            await connect(site, name, names[(number + step) % FOLLOWERS])
    apply_live(site, "a", 1)
    await wait_for(lambda: all(live_number(site, name) == 1 for name in names))
    print("sent by the first:", site.links["a"].sent, "bytes")
    # Each follower has a link to four others, so few are left after two rounds.
    assert site.links["a"].sent <= (3 * MAX_UPLOADS + 0.5) * len(make_live_list(1))
    assert not any(total(site, name, "peer.silent_streams") for name in names)


# Guards against peers that wait for an upload whose receiver has the document already.
async def test_upload_ends_when_the_document_comes_from_elsewhere(site):
    await start_instances(site, ["a", "x"], SLOW_BYTES_PER_S)
    await connect(site, "x", "a")
    apply_live(site, "a", 1)
    await wait_for(lambda: site.links["a"].sent > 100_000)
    apply_live(site, "x", 1)
    streams = site.instances["a"].streams
    await wait_for(lambda: not any(s.uploads for s in streams), PART_TIMEOUT_S / 2)
