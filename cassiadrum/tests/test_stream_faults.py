"""Tests of the router and the sidecar with faults on the link between them."""

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
from cassiadrum.roles.router_messages import (
    CallerDisconnected,
    Delivered,
    LinkClosed,
    ReceivedMessage,
    Submit,
    Tick,
)
from cassiadrum.roles.routers import CANCELLED_RETENTION_S, Router
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
    """A link that records the messages sent on it; `hello` is the hello of the peer."""

    def __init__(self, hello: Hello) -> None:
        self.peer = hello
        self.sent: list[Any] = []
        self.aborted = False

    def send(self, msg: Message) -> None:
        self.sent.append(msg)

    def abort(self) -> None:
        self.aborted = True

    def sent_of(self, kind: type) -> list[Any]:
        return [msg for msg in self.sent if isinstance(msg, kind)]


class RouterHarness:
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
        self._class = cls
        self.link = self.connect()
        self.pending = self.submit("r")
        (self.start,) = self.link.sent_of(StartRequest)
        self.attempt_id = self.start.attempt_id

    def submit(self, request_id: str) -> PendingRequest:
        queued = QueuedRequest(
            request_id, "s", "c", 1, False, "x", self.now, math.inf, idempotent=True
        )
        http = HttpRequest("POST", "/", (), b"{}")
        pending = PendingRequest(queued, self._class, http, "/", "")
        self.handle(Submit(pending))
        return pending

    def handle(self, msg: Any) -> None:
        self.router._handle(msg)

    def receive(self, msg: Message) -> None:
        self.handle(ReceivedMessage(self.link, msg))  # type: ignore[arg-type]

    def connect(self, process_start: str = "p") -> FakeLink:
        self.link = FakeLink(Hello(1, "side", "sidecar", "z", "", process_start))
        self.receive(self.link.peer)
        self.receive(Report(0.0, 0, 0, 4, [], [], False, 1.0, []))
        return self.link

    def disconnect(self) -> None:
        self.handle(LinkClosed(self.link))  # type: ignore[arg-type]

    def head(self, content_type: str) -> None:
        self.receive(Head(self.attempt_id, 200, [("content-type", content_type)]))

    def events(self) -> list[Any]:
        events_read = []
        while not self.pending.caller_events.empty():
            events_read.append(self.pending.caller_events.get_nowait())
        return events_read


class TestRouterFaults:
    """Guards against answers that stall, repeat or get a wrong outcome at the entry instance.

    A message from the sidecar is lost, repeated or late, the sidecar restarts, the entry instance
    is paused, or the caller reads slowly.
    """

    def test_lost_acknowledgement_is_sent_again(self) -> None:
        harness = RouterHarness()
        harness.head("text/event-stream")
        harness.receive(Data([(harness.attempt_id, 0, b"data: x\n\n" * (WINDOW // 9))]))
        harness.handle(Delivered("r", harness.attempt_id, WINDOW // 9 * 9))
        harness.disconnect()
        link = harness.connect()
        assert link.sent_of(Attach)[0].position == WINDOW // 9 * 9
        assert link.sent_of(Ack)[0].parts == [(harness.attempt_id, WINDOW // 9 * 9)]

    def test_duplicate_and_late_data_reach_the_caller_once(self) -> None:
        harness = RouterHarness()
        harness.head("text/event-stream")
        for position, data in ((0, b"data: a\n\n"), (0, b"data: a\n\ndata: b\n\n"), (99, b"x")):
            harness.receive(Data([(harness.attempt_id, position, data)]))
        sent = b"".join(e.data for e in harness.events() if isinstance(e, AnswerData))
        assert sent == b"data: a\n\ndata: b\n\n"

    def test_lost_end_is_recovered_by_attaching(self) -> None:
        harness = RouterHarness()
        harness.head("text/event-stream")
        harness.receive(End(harness.attempt_id, True, "yes", 1, "", 0.0, 9))
        assert harness.link.sent_of(Attach)[-1].position == 0
        harness.receive(Data([(harness.attempt_id, 0, b"data: a\n\n")]))
        harness.receive(End(harness.attempt_id, True, "yes", 1, "", 0.0, 9))
        assert harness.events()[-1] == AnswerEnd(None)

    def test_end_of_an_unknown_attempt_is_acknowledged(self) -> None:
        # A draining sidecar waits for the acknowledgement of each end.
        harness = RouterHarness()
        harness.receive(End("gone.1", False, "unknown", 1, "cancelled", 0.0, 30))
        assert harness.link.sent_of(Ack)[-1].parts == [("gone.1", 30)]

    @pytest.mark.parametrize(
        ("reason", "age_s", "ran"),
        [("no_endpoint", 1.0, "no"), ("no_endpoint", 90.0, "unknown"), ("draining", 90.0, "no")],
    )
    def test_unknown_attempt_that_is_old_may_have_run(
        self, monkeypatch: pytest.MonkeyPatch, reason: str, age_s: float, ran: str
    ) -> None:
        # An entry instance that was paused for a minute attaches to an attempt that the
        # sidecar has forgotten.
        harness = RouterHarness()
        outcomes: list[Any] = []
        monkeypatch.setattr(
            harness.router, "_finish_attempt", lambda *args: outcomes.append(args[2])
        )
        harness.now += age_s
        harness.receive(RejectStart(harness.attempt_id, reason, 0.0))
        assert outcomes[0].ran == ran

    def test_new_process_under_the_same_name_ends_the_attempts(self) -> None:
        harness = RouterHarness()
        harness.disconnect()
        link = harness.connect("another process")
        assert not link.sent_of(Attach)
        assert harness.attempt_id not in harness.pending.attempts

    def test_acknowledgements_wait_for_a_slow_caller(self) -> None:
        harness = RouterHarness()
        harness.head("application/octet-stream")
        part = bytes(WINDOW // 16)
        for number in range(64):
            harness.receive(Data([(harness.attempt_id, number * len(part), part)]))
        acked = max(position for ack in harness.link.sent_of(Ack) for _, position in ack.parts)
        assert acked <= WINDOW

    def test_event_longer_than_the_window_does_not_block(self) -> None:
        harness = RouterHarness()
        harness.head("text/event-stream")
        harness.receive(Data([(harness.attempt_id, 0, b"data: " + bytes(WINDOW))]))
        assert harness.link.sent_of(Ack)[-1].parts == [(harness.attempt_id, WINDOW + 6)]

    async def test_cancelled_attempts_are_kept_for_a_time_from_their_cancellation(self) -> None:
        """An attempt that ran for long was forgotten too early, or kept behind a younger one."""
        harness = RouterHarness()
        harness.now = 100.0 + CANCELLED_RETENTION_S
        harness.submit("young")
        for request_id in ("young", "r"):
            harness.handle(CallerDisconnected(request_id))
            harness.now += 10.0
        kept = harness.router._cancelled_attempts
        assert len(kept) == 2
        harness.now = 105.0 + 2 * CANCELLED_RETENTION_S
        harness.handle(Tick())
        assert list(kept) == [harness.attempt_id]
        harness.now += 10.0
        harness.handle(Tick())
        assert not kept

    def test_event_without_an_end_fails_the_answer(self) -> None:
        harness = RouterHarness()
        harness.head("text/event-stream")
        for number in range(5):
            harness.receive(Data([(harness.attempt_id, number * WINDOW, bytes(WINDOW))]))
        assert harness.events()[-1].problem.reason == "endpoint_failed"
        assert harness.link.sent_of(Cancel)


class SidecarHarness:
    """A sidecar whose calls answer only when the test sends their data."""

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
        self.receive(link, link.peer)
        return link

    def receive(self, link: FakeLink, msg: Message) -> None:
        self.handle(EntryMessage(link, msg))  # type: ignore[arg-type]

    def start(self, link: FakeLink, name: str = "r.1", cancellable: bool = True) -> None:
        fields = (name, name[:-2], "s", "c", 1, False, False, cancellable, "x", 60.0)
        self.receive(link, StartRequest(*fields, "POST", "/", [], b""))

    def close_link(self, link: FakeLink) -> None:
        self.handle(EntryLinkClosed(link))  # type: ignore[arg-type]

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.sidecar._tick()


class FakeEndpoint:
    """An endpoint that ignores control calls."""

    async def cancel(self, attempt_id: str) -> None:
        """Do nothing."""


class FakeCaller:
    """A call runner that records the attempts that run."""

    def __init__(self, ran: list[str]) -> None:
        self._ran = ran

    async def run(self, stream: Any) -> None:
        self._ran.append(stream.start.attempt_id)


class TestSidecarFaults:
    """Guards against work that runs twice or without a receiver, and streams that block.

    Links are lost and replaced: messages of the old link arrive late, acknowledgements are lost,
    and the entry instance may never return.
    """

    async def test_delayed_start_after_attach_does_not_run(self) -> None:
        harness = SidecarHarness()
        old = harness.connect(1)
        new = harness.connect(2)
        harness.receive(new, Attach("r.1", 0, age_s=1.0))
        assert new.sent_of(RejectStart)
        harness.start(old)
        harness.start(new)
        await asyncio.sleep(0)
        assert harness.ran == [] and not harness.sidecar.streams

    async def test_forgotten_attempt_is_not_reported_as_not_run(self) -> None:
        harness = SidecarHarness()
        link = harness.connect(1)
        harness.start(link)
        await asyncio.sleep(0)
        harness.handle(CallEnded("r.1", ok_outcome()))
        harness.tick(100.0)
        assert not harness.sidecar.streams
        harness.receive(link, Attach("r.1", 0, age_s=101.0))
        assert not link.sent_of(RejectStart)
        assert link.sent_of(End)[-1].ran == "unknown"

    async def test_late_hello_of_an_older_link_is_ignored(self) -> None:
        harness = SidecarHarness()
        new = harness.connect(2)
        old = harness.connect(1)
        assert old.aborted and not new.aborted
        restarted = harness.connect(1, "another process")
        assert new.aborted and not restarted.aborted

    async def test_lost_acknowledgement_does_not_block_the_stream(self) -> None:
        harness = SidecarHarness()
        old = harness.connect(1)
        harness.start(old)
        harness.handle(CallData("r.1", bytes(WINDOW)))
        stream = harness.sidecar.streams["r.1"]
        assert not stream.buffer_has_space.is_set()
        new = harness.connect(2)
        harness.receive(new, Attach("r.1", WINDOW))
        harness.receive(new, Ack([("r.1", WINDOW)]))
        assert stream.buffer_has_space.is_set()

    @pytest.mark.parametrize("cancellable", [True, False])
    async def test_stream_without_receiver_does_not_block(self, cancellable: bool) -> None:
        harness = SidecarHarness()
        link = harness.connect()
        harness.start(link, cancellable=cancellable)
        stream = harness.sidecar.streams["r.1"]
        harness.handle(CallData("r.1", bytes(2 * WINDOW)))
        harness.close_link(link)
        harness.tick(LIMITS.DETACHED_STREAM_TIMEOUT_S)
        assert stream.cancelled is cancellable
        harness.handle(CallData("r.1", bytes(2 * WINDOW)))
        assert stream.buffer_has_space.is_set()

    async def test_end_is_kept_for_an_entry_instance_that_reconnects(self) -> None:
        harness = SidecarHarness()
        link = harness.connect(1)
        harness.start(link)
        await asyncio.sleep(0)
        harness.close_link(link)
        harness.handle(CallEnded("r.1", ok_outcome()))
        harness.handle(DrainSidecar())
        assert harness.sidecar.unfinished_count() == 1
        new = harness.connect(2)
        harness.receive(new, Attach("r.1", 0))
        assert new.sent_of(End)[0].ok
        harness.receive(new, Ack([("r.1", 0)]))
        assert harness.sidecar.unfinished_count() == 0

    async def test_drain_stops_waiting_for_a_lost_entry_instance(self) -> None:
        harness = SidecarHarness()
        link = harness.connect()
        harness.start(link)
        harness.handle(CallEnded("r.1", ok_outcome()))
        harness.close_link(link)
        harness.now += LIMITS.DETACHED_STREAM_TIMEOUT_S
        assert harness.sidecar.unfinished_count() == 0

    async def test_drain_rejects_queued_work_and_reports_at_once(self) -> None:
        harness = SidecarHarness()
        link = harness.connect()
        harness.start(link, "r.1")
        harness.start(link, "q.1")
        harness.handle(DrainSidecar())
        assert [msg.attempt_id for msg in link.sent_of(RejectStart)] == ["q.1"]
        assert link.sent_of(Report)[-1].leaving
        harness.start(link, "late.1")
        assert link.sent_of(RejectStart)[-1].attempt_id == "late.1"
        assert harness.sidecar.unfinished_count() == 1


def ok_outcome() -> Any:
    return Outcome(True, ExecutionStatus.EXECUTED, 1)
