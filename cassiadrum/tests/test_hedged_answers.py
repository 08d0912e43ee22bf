"""Tests of the router with two copies of a request that answer at the same time."""

import asyncio
from typing import Any

import pytest

from cassiadrum.decisions import (
    HedgePolicy,
    QueuedRequest,
)
from cassiadrum.links.messages import Cancel, Data, End, Head, Hello, Message, Report, StartRequest
from cassiadrum.roles.answer_relays import MAX_BUFFERED_BYTES
from cassiadrum.roles.caller_events import AnswerData, AnswerEnd
from cassiadrum.roles.router_messages import ReceivedMessage, Tick
from cassiadrum.tests.test_stream_faults import FakeLink, RouterHarness

STREAM = [("content-type", "text/event-stream")]
PLAIN = [("content-type", "application/octet-stream")]
LONG_PART = b"a" * (MAX_BUFFERED_BYTES + 1)


class EagerHedgePolicy(HedgePolicy):
    """A policy that hedges every request at once."""

    def may_hedge(self, req: QueuedRequest, waited_s: float, now: float) -> bool:
        return True

    def record_hedge_started(self) -> None: ...

    def record_hedge_ended(self) -> None: ...

    def observe_first_token(self, class_name: str, waited_s: float) -> None: ...

    def add_wasted_tokens(self, tokens: int) -> None: ...

    def add_useful_tokens(self, tokens: int) -> None: ...


class HedgedHarness(RouterHarness):
    """A router with one request, of which a copy runs at each of two sidecars."""

    def __init__(self) -> None:
        super().__init__()
        self.router.dispatchers["s"]._hedge_policy = EagerHedgePolicy()
        self.second_link = FakeLink(Hello(1, "side-2", "sidecar", "z", "", "p"))
        self.receive_second(self.second_link.peer)
        self.receive_second(Report(0.0, 0, 0, 4, [], [], False, 1.0, []))
        self.handle(Tick())
        (start,) = self.second_link.sent_of(StartRequest)
        self.second_id: str = start.attempt_id

    def receive_second(self, msg: Message) -> None:
        self.handle(ReceivedMessage(self.second_link, msg))  # type: ignore[arg-type]

    def answer_second(self, headers: Any, body: bytes) -> None:
        """Receive a complete answer from the second copy."""
        self.receive_second(Head(self.second_id, 200, headers))
        if body:
            self.receive_second(Data([(self.second_id, 0, body)]))
        self.receive_second(End(self.second_id, True, "yes", 1, "", 0.0, len(body)))

    def end_first(self, *, ok: bool, position: int) -> None:
        reason = "" if ok else "answer_lost"
        self.receive(End(self.attempt_id, ok, "yes", 1, reason, 0.0, position))

    def relayed(self) -> tuple[bytes, list[AnswerEnd]]:
        """Return the bytes that the caller got, and the end of its answer if there was one."""
        events = self.events()
        body = b"".join(event.data for event in events if isinstance(event, AnswerData))
        return body, [event for event in events if isinstance(event, AnswerEnd)]


class TestHedgedAnswers:
    """Guards against an answer that lacks bytes, or mixes two, because another copy ended first.

    The caller gets the answer of the copy whose head or first bytes were relayed. The end of
    another copy is not its end, and a copy whose bytes were discarded cannot replace it.
    """

    @pytest.mark.parametrize("begun", [b"", b"data: 1", b": idle"])
    @pytest.mark.parametrize("other", [b"", b": idle\n\n", b"data: 1"])
    async def test_other_copy_without_an_event_does_not_end_a_stream(
        self, begun: bytes, other: bytes
    ) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, STREAM))
        if begun:
            harness.receive(Data([(harness.attempt_id, 0, begun)]))
        harness.answer_second(STREAM, other)
        assert harness.relayed() == (b"", [])
        rest = b"\n\ndata: 2\n\n" if begun else b"data: 1\n\ndata: 2\n\n"
        harness.receive(Data([(harness.attempt_id, len(begun), rest)]))
        harness.end_first(ok=True, position=len(begun) + len(rest))
        assert harness.relayed() == (begun + rest, [AnswerEnd(None)])

    @pytest.mark.parametrize("begun", [b"", b"data: 1", b": idle"])
    @pytest.mark.parametrize("size", [1, 5, 18])
    async def test_copy_with_the_first_event_wins(self, begun: bytes, size: int) -> None:
        """Guards against a caller that waits for a copy of which only the head has come."""
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, STREAM))
        if begun:
            harness.receive(Data([(harness.attempt_id, 0, begun)]))
        body = b"data: 1\n\ndata: 2\n\n"
        harness.receive_second(Head(harness.second_id, 200, STREAM))
        for start in range(0, len(body), size):
            part = body[start : start + size]
            harness.receive_second(Data([(harness.second_id, start, part)]))
        assert [msg.attempt_id for msg in harness.link.sent_of(Cancel)] == [harness.attempt_id]
        harness.receive(Data([(harness.attempt_id, len(begun), b"\n\nlate\n\n")]))
        harness.receive_second(End(harness.second_id, True, "yes", 2, "", 0.0, len(body)))
        assert harness.relayed() == (body, [AnswerEnd(None)])

    async def test_copy_goes_on_with_its_first_bytes_after_the_other_failed(self) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, STREAM))
        harness.receive_second(Head(harness.second_id, 200, STREAM))
        harness.receive_second(Data([(harness.second_id, 0, b"data")]))
        harness.end_first(ok=False, position=0)
        harness.receive_second(Data([(harness.second_id, 4, b": 1\n\n")]))
        harness.receive_second(End(harness.second_id, True, "yes", 1, "", 0.0, 9))
        assert harness.relayed() == (b"data: 1\n\n", [AnswerEnd(None)])

    async def test_other_copy_does_not_end_a_plain_answer(self) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, PLAIN))
        harness.receive(Data([(harness.attempt_id, 0, LONG_PART)]))
        harness.answer_second(PLAIN, LONG_PART + b"b")
        assert harness.relayed() == (LONG_PART, [])
        harness.receive(Data([(harness.attempt_id, len(LONG_PART), b"b")]))
        harness.end_first(ok=True, position=len(LONG_PART) + 1)
        assert harness.relayed() == (b"b", [AnswerEnd(None)])

    async def test_copy_whose_bytes_were_discarded_does_not_go_on(self) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, STREAM))
        harness.receive_second(Head(harness.second_id, 200, STREAM))
        # Longer than what is kept of a copy that does not win.
        harness.receive_second(Data([(harness.second_id, 0, LONG_PART)]))
        harness.end_first(ok=False, position=0)
        end = len(LONG_PART) + 2
        harness.receive_second(Data([(harness.second_id, len(LONG_PART), b"\n\n")]))
        harness.receive_second(End(harness.second_id, True, "yes", 1, "", 0.0, end))
        await asyncio.sleep(0)
        body, ends = harness.relayed()
        assert body == b""
        assert AnswerEnd(None) not in ends

    @pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
    async def test_other_copy_does_not_follow_a_part_of_a_plain_answer(self, before: bool) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, PLAIN))
        harness.receive_second(Head(harness.second_id, 200, PLAIN))
        if before:
            harness.receive_second(Data([(harness.second_id, 0, b"whole")]))
        harness.receive(Data([(harness.attempt_id, 0, LONG_PART)]))
        harness.end_first(ok=False, position=len(LONG_PART))
        if not before:
            harness.receive_second(Data([(harness.second_id, 0, b"whole")]))
        harness.receive_second(End(harness.second_id, True, "yes", 1, "", 0.0, 5))
        body, ends = harness.relayed()
        assert body == LONG_PART
        assert AnswerEnd(None) not in ends

    async def test_other_copy_answers_after_the_first_failed(self) -> None:
        harness = HedgedHarness()
        harness.receive(Head(harness.attempt_id, 200, STREAM))
        harness.end_first(ok=False, position=0)
        harness.answer_second(STREAM, b"data: 1\n\n")
        assert harness.relayed() == (b"data: 1\n\n", [AnswerEnd(None)])
