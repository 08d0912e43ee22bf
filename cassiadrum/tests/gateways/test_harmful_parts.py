"""Tests of gateways whose engines end on requests with certain parts in their prompts."""

import asyncio
from pathlib import Path

import pytest

from cassiadrum.tests.gateways.crashing_endpoints import MAX_LATE, CrashStage, crashing_site

SHARED = "a1"
HARMFUL = "bad1"
SOUND = "900d"


class TestHarmfulPart:
    """Guards against a prompt part that ends engine after engine at all gateways."""

    @pytest.mark.parametrize("stage", CrashStage)
    async def test_requests_with_it_reach_no_engine_after_five_crashes(
        self, tmp_path: Path, stage: CrashStage
    ) -> None:
        async with crashing_site(tmp_path, [HARMFUL], stage=stage) as (site, _, caller):
            await asyncio.gather(
                caller.call_steadily([SHARED, SOUND], per_s=20, for_s=6),
                caller.call_steadily([SHARED, HARMFUL], per_s=6, for_s=6),
            )
            assert len(site.late_arrivals(HARMFUL)) <= MAX_LATE
