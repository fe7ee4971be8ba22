from flamingolift_decisions import relays
from flamingolift_model.plan import InstanceEntry
from hypothesis import given
from hypothesis import strategies as st


def make_instances(count, regions=3):
    return [
        InstanceEntry(
            instance_id=f"i{n}",
            region=f"r{n % regions}",
            failure_domain=f"r{n % regions}-d{n % 2}",
            host="127.0.0.1",
            caller_port=1,
            peer_port=2,
            operator_port=3,
        )
        for n in range(count)
    ]


@given(st.integers(1, 200), st.integers(1, 6))
def test_watches_grow_with_regions_and_not_with_instances(count, regions):
    entries = make_instances(count, regions)
    watching = [
        e
        for e in entries
        if not relays.relays_to_follow(entries, e.region, e.instance_id)
    ]
    small = relays.RELAYS_PER_REGION + relays.MIN_FOLLOWERS
    assert len(watching) <= regions * max(relays.RELAYS_PER_REGION, small - 1)


@given(st.integers(30, 200))
def test_every_follower_has_relays_of_its_region_in_several_domains(count):
    entries = make_instances(count)
    for entry in entries:
        sources = relays.relays_to_follow(entries, entry.region, entry.instance_id)
        if sources:
            assert len(sources) == relays.RELAYS_PER_REGION
            assert {s.region for s in sources} == {entry.region}
            assert len({s.failure_domain for s in sources}) == 2


def test_leaving_relay_is_replaced():
    entries = make_instances(60)
    first = relays.relays_of_region(entries, "r0")[0]
    first.state = "leaving"
    after = [e.instance_id for e in relays.relays_of_region(entries, "r0")]
    assert len(after) == relays.RELAYS_PER_REGION
    assert first.instance_id not in after


# Guards against relays with slow links in a region that has faster ones.
@given(st.integers(6, 60), st.data())
def test_relays_have_the_fastest_links_of_their_domains(count, data):
    entries = make_instances(count, regions=1)
    for entry in entries:
        entry.link_mbps = data.draw(st.sampled_from([0.0, 10.0, 200.0]))
    picked = relays.relays_of_region(entries, "r0")
    names = {entry.instance_id for entry in picked}
    for entry in picked:
        others = [e for e in entries if e.failure_domain == entry.failure_domain]
        left_out = [e.link_mbps for e in others if e.instance_id not in names]
        assert entry.link_mbps >= max(left_out, default=0.0)
    assert {entry.failure_domain for entry in picked} == {"r0-d0", "r0-d1"}
    assert picked == relays.relays_of_region(entries[::-1], "r0")


def test_relays_are_asked_in_proportion_to_their_links():
    entries = make_instances(3, regions=1)
    for entry, mbps in zip(entries, (10.0, 200.0, 200.0), strict=True):
        entry.link_mbps = mbps
    firsts = [relays.transfer_order(entries, f"f{n}")[0] for n in range(1000)]
    assert firsts.count("i0") <= 60
    assert min(firsts.count("i1"), firsts.count("i2")) >= 380


@given(st.integers(1, 60), st.integers(1, 4))
def test_proofs_come_from_one_instance_of_each_region(count, regions):
    entries = make_instances(count, regions)
    asked = {}
    for entry in entries:
        source = relays.proof_source(entries, entry.region, entry.instance_id)
        asked[entry.instance_id] = source and source.instance_id
    (root,) = [name for name, source in asked.items() if source is None]
    by_region = {}
    for entry in entries:
        by_region.setdefault(entry.region, set()).add(asked[entry.instance_id])
    for sources in by_region.values():
        assert root in sources or None in sources
        assert len(sources) <= 2
