"""Tests of streams whose instance is killed, stopped or cut off from its link."""

import asyncio

import pytest

from cassiadrum.events import EventKind
from cassiadrum.standins import answer_tokens
from cassiadrum.tests.harness import Direction, StreamCaller, call, until
from cassiadrum.tests.integration.conftest import (
    FULL_RETRY_BUDGET,
    LONG_PROMPT,
    MakeSite,
    assert_invariants_hold,
)

pytestmark = pytest.mark.integration


class TestInstances:
    """Guards against answers that are lost or repeated in part when an instance fails or stops.

    After the kill of an entry instance, the caller fetches the remainder from another one by
    position. After the kill of a sidecar, the stream continues at another engine. After a link
    falls silent, the entry instance reattaches to the running attempt. A stopped instance finishes
    its streams before it exits.
    """

    async def test_answer_of_a_killed_entry_instance_continues_at_another(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(step_s=0.03)
        async with site.load() as sender:
            caller = StreamCaller.completion(site.http("entry-1"), LONG_PROMPT)
            await until(lambda: caller.body.count(b"\n\n") >= 3, "three events")
            await site.kill("entry-1")
            partial = await caller.answer()
            target = f"/requests/{caller.request_id}?position={len(partial.body)}"
            remainder = await call(site.http("entry-2"), "GET", target)
        assert not partial.complete
        assert (remainder.status, remainder.complete) == (200, True)
        combined = (partial.body + remainder.body).decode()
        assert all(f'"{token}"' in combined for token in answer_tokens(LONG_PROMPT))
        assert combined.count('"content"') == len(answer_tokens(LONG_PROMPT))
        assert combined.endswith("data: [DONE]\n\n")
        await assert_invariants_hold(site, sender.outcomes)

    async def test_stream_of_a_killed_sidecar_continues_at_another_engine(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(step_s=0.03, edits=FULL_RETRY_BUDGET)
        async with site.load() as sender:
            caller = StreamCaller.completion(site.http(), LONG_PROMPT)
            await until(lambda: caller.body.count(b"\n\n") >= 3, "three events")
            victim = caller.request_id.rpartition("@")[2]
            await site.kill(victim)
            answer = await caller.answer()
        assert answer.complete
        assert answer.body.count(b'"content"') == len(answer_tokens(LONG_PROMPT))
        await assert_invariants_hold(site, sender.outcomes)

    @pytest.mark.parametrize("way", Direction)
    async def test_silent_link_is_attached_again(
        self, make_site: MakeSite, way: Direction
    ) -> None:
        site = await make_site(services=("sprachdienst",), hops=("link",), step_s=0.1)
        caller = StreamCaller.completion(site.http(), LONG_PROMPT)
        await until(lambda: caller.body.count(b"\n\n") >= 3, "three events")
        request_id, _, instance = caller.request_id.rpartition("@")
        site.proxies[f"link:{instance}"].silence(way)
        answer = await caller.answer()
        assert answer.body.count(b'"content"') == len(answer_tokens(LONG_PROMPT))
        assert answer.body.endswith(b"data: [DONE]\n\n")
        await assert_invariants_hold(site)
        event_kinds = [e.kind for e in site.events() if f"{e.request_id}.1" == request_id]
        # The running attempt continues; a second one would compute the answer again.
        assert event_kinds.count(EventKind.DISPATCHED) == 1
        assert EventKind.REATTACHED in event_kinds

    async def test_stopped_instances_finish_their_streams(self, make_site: MakeSite) -> None:
        site = await make_site(step_s=0.03)
        async with site.load(duration_s=1.0) as sender:
            callers = [
                StreamCaller.completion(site.http(), f"{LONG_PROMPT} {n}") for n in range(4)
            ]
            await until(lambda: all(caller.body for caller in callers), "the first events")
            await asyncio.gather(site.stop("entry-1"), site.stop("sprachdienst-1"))
            answers = [await caller.answer() for caller in callers]
        assert all(answer.complete and answer.status == 200 for answer in answers)
        assert all(answer.body.endswith(b"data: [DONE]\n\n") for answer in answers)
        await assert_invariants_hold(site, sender.outcomes)
        assert len(site.events(EventKind.STOPPED)) == 6
