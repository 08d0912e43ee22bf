"""Tests of two random faults at random times, which may overlap or be the same fault twice."""

import asyncio
import os
import random

import pytest

from cassiadrum.tests.harness import until
from cassiadrum.tests.harness.faults import FAULTS, HOPS
from cassiadrum.tests.integration.conftest import (
    FULL_RETRY_BUDGET,
    SHORT_DEADLINES,
    MakeSite,
    assert_invariants_hold,
    assert_services_are_available,
)

pytestmark = pytest.mark.integration

FIXED_SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)
# Number of seeds, counted from 101, that `make soak SEEDS=n` runs in place of the fixed ones.
SOAK_SEEDS = int(os.environ.get("SOAK_SEEDS", "0"))
SEEDS = range(101, 101 + SOAK_SEEDS) if SOAK_SEEDS else FIXED_SEEDS
LOAD_DURATION_S = 4.0


class TestFaultPairs:
    """Guards against violations that occur only when two faults overlap.

    The second fault hits a request, link or process that is still recovering from the first one.
    """

    @pytest.mark.timeout(120)
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_invariants_hold(self, make_site: MakeSite, seed: int) -> None:
        rng = random.Random(seed)
        names = rng.choices(sorted(FAULTS), k=2)
        print("faults:", names)
        site = await make_site(hops=HOPS, step_s=0.02, edits=FULL_RETRY_BUDGET + SHORT_DEADLINES)

        async def inject(name: str, delay_s: float, rng: random.Random) -> None:
            await asyncio.sleep(delay_s)
            await FAULTS[name].inject(site, rng)

        async with site.load(rate_per_s=15.0, duration_s=LOAD_DURATION_S, seed=seed) as sender:
            # The seed determines the times; the test does not wait for a state of the site.
            injections = [
                (name, rng.uniform(0.0, LOAD_DURATION_S / 2), rng.random()) for name in names
            ]
            await asyncio.gather(
                *(
                    inject(name, delay_s, random.Random(fault_seed))
                    for name, delay_s, fault_seed in injections
                )
            )
        await until(site.all_linked, "links after the faults")
        await assert_services_are_available(site)
        await assert_invariants_hold(site, sender.outcomes)
