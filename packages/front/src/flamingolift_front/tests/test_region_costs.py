"""What a front learns of the cost of other regions, and what it says about it."""

import time

from flamingolift_decisions import regioncost
from flamingolift_front.internalapi import handle_internal
from troubledserver import FAILED, SOUND, fetch, run_site, sound

REQUESTS = 12


async def test_connects_and_answers_are_measured():
    async with run_site(sound, with_sound=False, keep_open=True) as site:
        for number in range(REQUESTS):
            await fetch(site, number=number)
        costs, own = site.front.region_costs, site.front.cfg.region
        assert len(costs.connects[own].recent) == site.front.pool.opened
        known = costs.routes["maps"]
        # These requests name no object that a server could have cached.
        assert len(known.uncached.recent) == REQUESTS and not known.cached.recent


async def test_explanation_names_a_region_that_weighs_less():
    async with run_site(sound) as site:
        front = site.front
        for _number in range(REQUESTS):
            regioncost.record_connect(front.region_costs, front.cfg.region, 0.001)
            regioncost.record_connect(front.region_costs, "other", 0.08)
            regioncost.record_work(
                front.region_costs, "maps", front.cfg.region, False, 1, 0.1
            )
        target = "/explain?host=h&path=/a&object=17"
        before = (await handle_internal(front, target)).body.decode()
        now = time.monotonic()
        for look in range(60):
            regioncost.learn_route(
                front.region_costs,
                "maps",
                front.view.backends,
                "maps",
                front.cfg.region,
                now + look,
            )
        after = (await handle_internal(front, target)).body.decode()
        assert "weighs" not in before
        assert f"A server in other weighs 0.09 of one in {front.cfg.region}" in after
        assert "the round trip takes 80 ms" in after
        assert FAILED in after and SOUND in after
