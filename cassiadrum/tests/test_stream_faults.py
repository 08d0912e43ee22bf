"""Tests of the router and the sidecar with faults between them."""

import asyncio
import math
from random import Random
from typing import Any

import pytest

from cassiadrum.decisions import (
    Dispatcher,
    EndpointScheduler,
    ExecutionStatus,
    FairTierQueue,
    LeastCostChooser,
    Outcome,
    QueuedRequest,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.documents import RequestClass, parse_document
from cassiadrum.events import EventRing, HybridLogicalClock
from cassiadrum.links.messages import (
    Ack,
    Attach,
    Cancel,
    Data,
    End,
    Head,
    Hello,
    Message,
    RejectStart,
    Report,
    StartRequest,
)
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.caller_events import AnswerData, AnswerEnd
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.router_messages import Delivered, LinkClosed, ReceivedMessage, Submit
from cassiadrum.roles.routers import Router
from cassiadrum.roles.sidecar_messages import (
    CallData,
    CallEnded,
    DrainSidecar,
    EntryLinkClosed,
    EntryMessage,
)
from cassiadrum.roles.sidecars import Sidecar

WINDOW = LIMITS.STREAM_BUFFER_BYTES
DOCUMENT = parse_document(
    '[service]\nname = "s"\nkind = "model"\nowner = "o"\nzones = ["z"]\nendpoints = 1\n'
    '[[class]]\nname = "c"\ntier = 1\nidempotent = true\nretry_budget = 1.0\n'
)


class FakeLink:
    """Keep what was sent; `hello` is the peer's."""

    def __init__(self, hello: Hello) -> None:
        self.peer = hello
        self.sent: list[Any] = []
        self.aborted = False

    def send(self, msg: Message) -> None:
        self.sent.append(msg)

    def abort(self) -> None:
        self.aborted = True

    def take(self, kind: type) -> list[Any]:
        return [msg for msg in self.sent if isinstance(msg, kind)]


class RouterBench:
    """A router with one request and one sidecar, driven message by message."""

    def __init__(self) -> None:
        self.now = 100.0
        ring = EventRing(HybridLogicalClock(lambda: self.now), "e", "entry", "1")
        self.router = Router(
            lambda _: Dispatcher(FairTierQueue(10), LeastCostChooser(Random(1))),
            lambda _: "s",
            ring,
            lambda: self.now,
        )
        cls: RequestClass = DOCUMENT.classes[0]
        queued = QueuedRequest("r", "s", "c", 1, False, "x", 100.0, math.inf, idempotent=True)
        http = HttpRequest("POST", "/", (), b"{}")
        self.pending = PendingRequest(queued, cls, http, "/", "")
        self.link = self.connect()
        self.handle(Submit(self.pending))
        (self.start,) = self.link.take(StartRequest)
        self.attempt_id = self.start.attempt_id

    def handle(self, msg: Any) -> None:
        self.router._handle(msg)

    def say(self, msg: Message) -> None:
        self.handle(ReceivedMessage(self.link, msg))  # type: ignore[arg-type]

    def connect(self, process_start: str = "p") -> FakeLink:
        self.link = FakeLink(Hello(1, "side", "sidecar", "z", "", process_start))
        self.say(self.link.peer)
        self.say(Report(0.0, 0, 0, 4, [], [], False, 1.0, []))
        return self.link

    def disconnect(self) -> None:
        self.handle(LinkClosed(self.link))  # type: ignore[arg-type]

    def head(self, content_type: str) -> None:
        self.say(Head(self.attempt_id, 200, [("content-type", content_type)]))

    def events(self) -> list[Any]:
        found = []
        while not self.pending.caller_events.empty():
            found.append(self.pending.caller_events.get_nowait())
        return found


class TestRouterFaults:
    """Guards against answers that stall, double or are misjudged at the entry instance."""

    def test_lost_acknowledgement_is_sent_again(self) -> None:
        bench = RouterBench()
        bench.head("text/event-stream")
        bench.say(Data([(bench.attempt_id, 0, b"data: x\n\n" * (WINDOW // 9))]))
        bench.handle(Delivered("r", bench.attempt_id, WINDOW // 9 * 9))
        bench.disconnect()
        link = bench.connect()
        assert link.take(Attach)[0].position == WINDOW // 9 * 9
        assert link.take(Ack)[0].parts == [(bench.attempt_id, WINDOW // 9 * 9)]

    def test_duplicate_and_late_data_reach_the_caller_once(self) -> None:
        bench = RouterBench()
        bench.head("text/event-stream")
        for position, data in ((0, b"data: a\n\n"), (0, b"data: a\n\ndata: b\n\n"), (99, b"x")):
            bench.say(Data([(bench.attempt_id, position, data)]))
        sent = b"".join(e.data for e in bench.events() if isinstance(e, AnswerData))
        assert sent == b"data: a\n\ndata: b\n\n"

    def test_lost_end_is_made_up_for_by_attaching(self) -> None:
        bench = RouterBench()
        bench.head("text/event-stream")
        bench.say(End(bench.attempt_id, True, "yes", 1, "", 0.0, 9))
        assert bench.link.take(Attach)[-1].position == 0
        bench.say(Data([(bench.attempt_id, 0, b"data: a\n\n")]))
        bench.say(End(bench.attempt_id, True, "yes", 1, "", 0.0, 9))
        assert bench.events()[-1] == AnswerEnd(None)

    def test_end_that_nobody_waits_for_is_confirmed(self) -> None:
        # A sidecar that drains waits for the confirmation of each end.
        bench = RouterBench()
        bench.say(End("gone.1", False, "unknown", 1, "cancelled", 0.0, 30))
        assert bench.link.take(Ack)[-1].parts == [("gone.1", 30)]

    @pytest.mark.parametrize(
        ("reason", "age_s", "ran"),
        [("no_endpoint", 1.0, "no"), ("no_endpoint", 90.0, "unknown"), ("draining", 90.0, "no")],
    )
    def test_unknown_attempt_that_is_old_may_have_run(
        self, monkeypatch: pytest.MonkeyPatch, reason: str, age_s: float, ran: str
    ) -> None:
        # An entry instance that was stopped for a minute attaches to what has been forgotten.
        bench = RouterBench()
        outcomes: list[Any] = []
        monkeypatch.setattr(
            bench.router, "_finish_attempt", lambda *args: outcomes.append(args[2])
        )
        bench.now += age_s
        bench.say(RejectStart(bench.attempt_id, reason, 0.0))
        assert outcomes[0].ran == ran

    def test_other_process_under_the_name_ends_the_attempts(self) -> None:
        bench = RouterBench()
        bench.disconnect()
        link = bench.connect("another process")
        assert not link.take(Attach)
        assert bench.attempt_id not in bench.pending.attempts

    def test_slow_caller_of_a_long_answer_is_not_run_ahead_of(self) -> None:
        bench = RouterBench()
        bench.head("application/octet-stream")
        part = bytes(WINDOW // 16)
        for number in range(64):
            bench.say(Data([(bench.attempt_id, number * len(part), part)]))
        acked = max(position for ack in bench.link.take(Ack) for _, position in ack.parts)
        assert acked <= WINDOW

    def test_event_longer_than_the_window_does_not_block(self) -> None:
        bench = RouterBench()
        bench.head("text/event-stream")
        bench.say(Data([(bench.attempt_id, 0, b"data: " + bytes(WINDOW))]))
        assert bench.link.take(Ack)[-1].parts == [(bench.attempt_id, WINDOW + 6)]

    def test_event_without_an_end_is_given_up(self) -> None:
        bench = RouterBench()
        bench.head("text/event-stream")
        for number in range(5):
            bench.say(Data([(bench.attempt_id, number * WINDOW, bytes(WINDOW))]))
        assert bench.events()[-1].problem.reason == "endpoint_failed"
        assert bench.link.take(Cancel)


class SidecarBench:
    """A sidecar whose calls never answer by themselves."""

    def __init__(self) -> None:
        self.now = 100.0
        self.ran: list[str] = []
        ring = EventRing(HybridLogicalClock(lambda: self.now), "side", "sidecar", "1")
        self.sidecar = Sidecar(
            FakeEndpoint(),  # type: ignore[arg-type]
            EndpointScheduler(1, 1),
            lambda post: FakeCaller(self.ran),  # type: ignore[arg-type,return-value]
            ring,
            lambda: self.now,
        )

    def handle(self, msg: Any) -> None:
        self.sidecar._handle(msg)

    def connect(self, number: int = 1, process_start: str = "p") -> FakeLink:
        link = FakeLink(Hello(1, "e", "entry", "z", "", process_start, "side", number))
        self.say(link, link.peer)
        return link

    def say(self, link: FakeLink, msg: Message) -> None:
        self.handle(EntryMessage(link, msg))  # type: ignore[arg-type]

    def start(self, link: FakeLink, name: str = "r.1", cancellable: bool = True) -> None:
        fields = (name, name[:-2], "s", "c", 1, False, False, cancellable, "x", 60.0)
        self.say(link, StartRequest(*fields, "POST", "/", [], b""))

    def lose(self, link: FakeLink) -> None:
        self.handle(EntryLinkClosed(link))  # type: ignore[arg-type]

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.sidecar._tick()


class FakeEndpoint:
    """Take control calls."""

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing."""


class FakeCaller:
    """Note which attempts run."""

    def __init__(self, ran: list[str]) -> None:
        self._ran = ran

    async def run(self, stream: Any) -> None:
        self._ran.append(stream.start.attempt_id)


class TestSidecarFaults:
    """Guards against work that runs twice or for nobody, and against streams that block."""

    async def test_delayed_start_after_attach_does_not_run(self) -> None:
        bench = SidecarBench()
        old = bench.connect(1)
        new = bench.connect(2)
        bench.say(new, Attach("r.1", 0, age_s=1.0))
        assert new.take(RejectStart)
        bench.start(old)
        bench.start(new)
        await asyncio.sleep(0)
        assert bench.ran == [] and not bench.sidecar.streams

    async def test_forgotten_attempt_is_not_told_as_not_run(self) -> None:
        bench = SidecarBench()
        link = bench.connect(1)
        bench.start(link)
        await asyncio.sleep(0)
        bench.handle(CallEnded("r.1", ok_outcome()))
        bench.tick(100.0)
        assert not bench.sidecar.streams
        bench.say(link, Attach("r.1", 0, age_s=101.0))
        assert not link.take(RejectStart)
        assert link.take(End)[-1].ran == "unknown"

    async def test_late_hello_of_an_older_link_is_ignored(self) -> None:
        bench = SidecarBench()
        new = bench.connect(2)
        old = bench.connect(1)
        assert old.aborted and not new.aborted
        restarted = bench.connect(1, "another process")
        assert new.aborted and not restarted.aborted

    async def test_lost_acknowledgement_does_not_block_the_stream(self) -> None:
        bench = SidecarBench()
        old = bench.connect(1)
        bench.start(old)
        bench.handle(CallData("r.1", bytes(WINDOW)))
        stream = bench.sidecar.streams["r.1"]
        assert not stream.buffer_has_space.is_set()
        new = bench.connect(2)
        bench.say(new, Attach("r.1", WINDOW))
        bench.say(new, Ack([("r.1", WINDOW)]))
        assert stream.buffer_has_space.is_set()

    @pytest.mark.parametrize("cancellable", [True, False])
    async def test_stream_without_receiver_holds_no_slot(self, cancellable: bool) -> None:
        bench = SidecarBench()
        link = bench.connect()
        bench.start(link, cancellable=cancellable)
        stream = bench.sidecar.streams["r.1"]
        bench.handle(CallData("r.1", bytes(2 * WINDOW)))
        bench.lose(link)
        bench.tick(LIMITS.DETACHED_STREAM_TIMEOUT_S)
        assert stream.cancelled is cancellable
        bench.handle(CallData("r.1", bytes(2 * WINDOW)))
        assert stream.buffer_has_space.is_set()

    async def test_end_is_kept_for_an_entry_instance_that_dials_again(self) -> None:
        bench = SidecarBench()
        link = bench.connect(1)
        bench.start(link)
        await asyncio.sleep(0)
        bench.lose(link)
        bench.handle(CallEnded("r.1", ok_outcome()))
        bench.handle(DrainSidecar())
        assert bench.sidecar.unfinished_count() == 1
        new = bench.connect(2)
        bench.say(new, Attach("r.1", 0))
        assert new.take(End)[0].ok
        bench.say(new, Ack([("r.1", 0)]))
        assert bench.sidecar.unfinished_count() == 0

    async def test_drain_does_not_wait_for_ever_for_an_entry_instance(self) -> None:
        bench = SidecarBench()
        link = bench.connect()
        bench.start(link)
        bench.handle(CallEnded("r.1", ok_outcome()))
        bench.lose(link)
        bench.now += LIMITS.DETACHED_STREAM_TIMEOUT_S
        assert bench.sidecar.unfinished_count() == 0

    async def test_drain_gives_waiting_work_back_and_reports_at_once(self) -> None:
        bench = SidecarBench()
        link = bench.connect()
        bench.start(link, "r.1")
        bench.start(link, "q.1")
        bench.handle(DrainSidecar())
        assert [msg.attempt_id for msg in link.take(RejectStart)] == ["q.1"]
        assert link.take(Report)[-1].leaving
        bench.start(link, "late.1")
        assert link.take(RejectStart)[-1].attempt_id == "late.1"
        assert bench.sidecar.unfinished_count() == 1


def ok_outcome() -> Any:
    return Outcome(True, ExecutionStatus.EXECUTED, 1)
