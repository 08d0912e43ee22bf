"""Tests of each injected fault on its own under a small mixed load."""

import random

import pytest

from cassiadrum.standins import answer_tokens
from cassiadrum.tests.harness import ProcessSite, StreamCaller, call, until
from cassiadrum.tests.harness.faults import FAULTS, HOPS
from cassiadrum.tests.integration.conftest import (
    FULL_RETRY_BUDGET,
    LONG_PROMPT,
    SHORT_DEADLINES,
    MakeSite,
    assert_invariants_hold,
    assert_services_are_available,
)

pytestmark = pytest.mark.integration


async def fetch_remainder(site: ProcessSite, caller: StreamCaller) -> bytes:
    """Fetch the bytes that a caller with a broken connection lacks from another entry instance."""
    target = f"/requests/{caller.request_id}?position={len(caller.body)}"
    answer = await call(site.http("entry-2"), "GET", target)
    assert (answer.status, answer.complete) == (200, True), answer
    return answer.body


class TestSingleFaults:
    """Guards against a fault that loses, repeats or mixes up answers, or whose effect persists.

    Each fault starts while a stream is running. The caller has to get the whole answer, all links
    have to be up afterwards, and both services have to be available again.
    """

    @pytest.mark.parametrize("name", FAULTS)
    async def test_answers_survive(self, make_site: MakeSite, name: str) -> None:
        fault = FAULTS[name]
        rng = random.Random(name)
        site = await make_site(hops=HOPS, step_s=0.02, edits=FULL_RETRY_BUDGET + SHORT_DEADLINES)
        async with site.load(rate_per_s=15.0, duration_s=2.5) as sender:
            caller = StreamCaller.completion(site.http("entry-1"), LONG_PROMPT)
            await until(lambda: caller.body.count(b"\n\n") >= 3, "three events")
            await fault.inject(site, rng)
            body = b""
            if fault.keeps_streams:
                body = (await caller.answer()).body
            elif caller.request_id:
                body = caller.body + await fetch_remainder(site, caller)
        await until(site.all_linked, "links after the fault")
        await assert_services_are_available(site)
        await caller.disconnect()
        assert body.count(b'"content"') == len(answer_tokens(LONG_PROMPT)), body[-400:]
        assert body.endswith(b"data: [DONE]\n\n")
        await assert_invariants_hold(site, sender.outcomes)
