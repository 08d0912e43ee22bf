"""Soak test of a shared request limit: `make soak` runs many seeds, CI only a few."""

from pathlib import Path

import pytest

from cassiadrum.tests.gateways.limit_soaks import LimitSoak
from cassiadrum.tests.gateways.test_gateway_soak import FIRST_SOAK_SEED, SOAK_SEEDS

FIXED_SEEDS = (
    1,
    # A gateway was killed while the test asked whether it listens.
    2,
    126,
    # Starting gateways sent requests before they knew the limit.
    105,
    # Endpoints were silent as the test's process stood still, and a new gateway could not retry.
    109,
    # A gateway was frozen until the deadline of a request.
    210,
)
SEEDS = range(FIRST_SOAK_SEED, FIRST_SOAK_SEED + SOAK_SEEDS) if SOAK_SEEDS else FIXED_SEEDS

pytestmark = pytest.mark.integration


class TestLimitSoak:
    """Guards against a request limit that is exceeded only while several faults overlap."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_limit_is_kept_while_faults_overlap(self, seed: int, tmp_path: Path) -> None:
        soak = LimitSoak(seed, tmp_path)
        violations = await soak.run()
        assert not violations, f"injected faults: {soak.injected}; logs in {tmp_path}"
        assert soak.arrivals > 0
