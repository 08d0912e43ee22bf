"""Message loop of a sidecar: it owns the streams and the scheduler of one endpoint."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from cassiadrum.decisions import (
    EndpointScheduler,
    ExecutionStatus,
    Outcome,
    Pause,
    QueuedRequest,
    Reject,
    Resume,
    SchedulerAction,
    Start,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link
from cassiadrum.links.messages import (
    FETCH_ROLE,
    Ack,
    Attach,
    Cancel,
    CrashReport,
    Data,
    Detach,
    End,
    Head,
    Hello,
    LinkRefused,
    RejectStart,
    StartRequest,
)
from cassiadrum.members import ConnectionBound
from cassiadrum.roles.call_runners import CallRunner
from cassiadrum.roles.endpoint_controls import EndpointControls
from cassiadrum.roles.entry_links import EntryLinks
from cassiadrum.roles.inboxes import Inbox
from cassiadrum.roles.load_reporters import LoadReporter
from cassiadrum.roles.sidecar_crashes import SidecarCrashes
from cassiadrum.roles.sidecar_messages import (
    CallData,
    CallEnded,
    CallHead,
    CallStarted,
    DrainSidecar,
    EndAllStreams,
    EntryLinkClosed,
    EntryMessage,
    LoadChanged,
    SidecarMessage,
    Tick,
)
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.roles.start_messages import queued_request
from cassiadrum.roles.stream_attachments import FINISHED_RETENTION_S, StreamAttachments
from cassiadrum.roles.stream_timings import StreamTiming

__all__ = ["Sidecar"]

TICK_INTERVAL_S = 0.1
REJECT_RETRY_AFTER_S = 0.2


class Sidecar:
    """The attempts that all entry instances send to one endpoint.

    All state is changed by the task of `run`, which takes messages from a queue; other tasks only
    post messages.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        scheduler: EndpointScheduler,
        make_call_runner: Callable[[Callable[[SidecarMessage], None]], CallRunner],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.streams: dict[str, SidecarStream] = {}
        self.connection_bound = ConnectionBound()
        self._links = EntryLinks(self.connection_bound)
        self.links = self._links.by_instance
        # Running streams, and finished ones in order of their end time. A busy sidecar keeps
        # thousands of finished answers, too many to visit at each tick.
        self._open_streams: dict[str, SidecarStream] = {}
        self._ended_streams: deque[tuple[float, str]] = deque()
        self._endpoint = endpoint
        self._controls = EndpointControls(endpoint)
        self._scheduler = scheduler
        self._ring = ring
        self._clock = clock
        self._inbox = Inbox[SidecarMessage]()
        self._call_runner = make_call_runner(self.post)
        self._attachments = StreamAttachments(self.streams, clock)
        self._reporter = LoadReporter(scheduler, self._links, ring, clock)
        self._crashes = SidecarCrashes(clock, self._tell_crashes)
        self._last_tick_s = clock()
        self._handlers: dict[type[SidecarMessage], Callable[[Any], None]] = {
            EntryMessage: self._handle_entry_message,
            EntryLinkClosed: lambda msg: self._link_down(msg.link),
            CallStarted: self._call_started,
            CallHead: self._call_head,
            CallData: self._call_data,
            CallEnded: self._call_ended,
            LoadChanged: self._reporter.load_changed,
            DrainSidecar: lambda msg: self._drain(),
            EndAllStreams: lambda msg: self._end_all(),
            Tick: lambda msg: self._tick(),
        }

    def post(self, msg: SidecarMessage) -> None:
        """Queue a message for the task of `run`."""
        self._inbox.put(msg)

    def unfinished_count(self) -> int:
        """Return the number of streams that run or whose answer may still be fetched."""
        now = self._clock()
        return sum(stream.unfinished(now) for stream in self.streams.values())

    def waiting_count(self) -> int:
        """Return the number of requests that wait in the scheduler's queue."""
        return self._scheduler.waiting()

    def describe(self) -> list[str]:
        """Return one line of text for each unfinished stream."""
        now = self._clock()
        return [stream.describe() for stream in self.streams.values() if stream.unfinished(now)]

    def draining_for_s(self) -> float | None:
        """Return the seconds since the drain was announced, None before a drain."""
        since_s = self._reporter.draining_since_s
        return None if since_s is None else self._clock() - since_s

    async def run(self) -> None:
        """Handle messages and send load reports until cancelled."""
        self._tick()
        while True:
            self._handle(await self._inbox.get())
            while not self._inbox.is_empty:
                self._handle(await self._inbox.get())
            self._reporter.send_when_due()

    def _handle(self, msg: SidecarMessage) -> None:
        self._handlers[type(msg)](msg)

    # Messages from entry instances.

    def _handle_entry_message(self, message: EntryMessage) -> None:
        link, msg = message
        if isinstance(msg, Hello):
            self._link_up(link, msg)
        elif not self._links.accepts(link, msg):
            return
        elif isinstance(msg, StartRequest):
            self._start(link, msg)
        elif isinstance(msg, Ack):
            for attempt_id, position in msg.parts:
                self._ack(attempt_id, position)
        elif isinstance(msg, Attach):
            self._attachments.attach(link, msg)
        elif isinstance(msg, Detach):
            self._attachments.detach(link, msg.attempt_id)
        elif isinstance(msg, CrashReport):
            self._links.broadcast(msg, link)
        elif isinstance(msg, Cancel):
            self._cancel_for(link, msg.attempt_id)

    def _link_up(self, link: Link, hello: Hello) -> None:
        if hello.role == FETCH_ROLE:
            self._links.add_fetch_link(link)
            return
        if self._links.is_outdated(hello):
            link.abort()
            return
        if not self._links.admit(link, hello, self._clock()):
            link.send(LinkRefused(f"{len(self.connection_bound)} entry instances are connected"))
            return
        self._ring.record(EventKind.CONNECTED, peer=hello.instance)
        link.send(self._reporter.report())
        crashes = self._crashes.report()
        if crashes is not None:
            link.send(crashes)

    def _link_down(self, link: Link) -> None:
        peer = self._links.remove(link, self._clock())
        if peer:
            self._ring.record(EventKind.DISCONNECTED, peer=peer)
        self._attachments.link_down(link)

    def _start(self, link: Link, msg: StartRequest) -> None:
        if msg.attempt_id in self.streams:
            return
        if self._attachments.is_refused(msg.attempt_id):
            link.send(RejectStart(msg.attempt_id, "answer_lost", 0.0))
            return
        now = self._clock()
        queued = queued_request(msg, now)
        stream = SidecarStream(msg, queued, link)
        self.streams[msg.attempt_id] = stream
        self._open_streams[msg.attempt_id] = stream
        actions = self._scheduler.submit(queued, now)
        self._record_stream(EventKind.QUEUED, stream)
        self._apply_actions(actions)

    def _ack(self, attempt_id: str, position: int) -> None:
        stream = self.streams.get(attempt_id)
        if stream is None:
            return
        stream.buffer.ack(position)
        if stream.end is not None and position >= stream.end.position:
            stream.end_acked = True
        if not stream.buffer.full:
            stream.buffer_has_space.set()

    def _cancel_for(self, link: Link, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        # The stream may meanwhile be attached to another entry instance, whose caller still reads
        # it.
        if stream is not None and stream.link in (None, link):
            self._cancel(attempt_id)

    def _cancel(self, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is None or stream.end is not None or not stream.start.cancellable:
            return
        stream.cancelled = True
        stream.buffer_has_space.set()
        if self._scheduler.cancel_waiting(attempt_id, self._clock()):
            self._end(stream, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "cancelled"))
        elif stream.task is not None:
            self._controls.cancel(attempt_id)
            stream.task.cancel()

    # Messages from the tasks that call the endpoint.

    def _call_started(self, msg: CallStarted) -> None:
        stream = self.streams[msg.attempt_id]
        stream.timing = StreamTiming(self._clock())
        stream.silent_s = 0.0
        self._record_stream(EventKind.STARTED, stream)

    def _call_head(self, msg: CallHead) -> None:
        stream = self.streams[msg.attempt_id]
        stream.head = Head(msg.attempt_id, msg.status, msg.headers)
        stream.silent_s = 0.0
        stream.send(stream.head)

    def _call_data(self, msg: CallData) -> None:
        stream = self.streams[msg.attempt_id]
        position = stream.buffer.append(msg.data)
        stream.silent_s = 0.0
        if stream.link is not None:
            stream.link.send(Data([(msg.attempt_id, position, msg.data)]))
        if stream.abandoned:
            stream.buffer.ack(stream.buffer.end)
        if stream.buffer.full and not stream.cancelled:
            stream.buffer_has_space.clear()
        if stream.timing is not None:
            now = self._clock()
            events = stream.timing.record_data(msg.data, now)
            if events:
                self._crashes.record_begun(stream)
            self._scheduler.progressed(msg.attempt_id, events, now)

    def _call_ended(self, msg: CallEnded) -> None:
        stream = self.streams[msg.attempt_id]
        stream.task = None
        if msg.endpoint_ended:
            # Told before the end of the attempt, which the entry instance may send on.
            self._crashes.record_lost(stream)
        elif msg.outcome.ok and stream.head is not None and stream.head.status < 300:
            self._crashes.record_answered(stream)
        if stream.end is None:
            self._end(stream, msg.outcome)
        now = self._clock()
        if msg.outcome.ok and stream.timing is not None:
            first_s, gap_s = stream.timing.first_token_s, stream.timing.inter_token_s
            self._apply_actions(
                self._scheduler.observe_latency(msg.attempt_id, first_s, gap_s, now)
            )
        self._apply_actions(self._scheduler.finished(msg.attempt_id, now))

    def _end(self, stream: SidecarStream, outcome: Outcome) -> None:
        stream.end = End(
            stream.start.attempt_id,
            outcome.ok,
            outcome.ran,
            outcome.tokens,
            outcome.reason,
            outcome.retry_after_s,
            stream.buffer.end,
            final=outcome.final,
        )
        self._open_streams.pop(stream.start.attempt_id, None)
        self._ended_streams.append((self._clock(), stream.start.attempt_id))
        cancelled = outcome.reason == "cancelled"
        kind = EventKind.CANCELLED if cancelled else EventKind.FINISHED
        reason = "caller_left" if cancelled else outcome.reason
        self._record_stream(kind, stream, reason=reason, ran=outcome.ran, tokens=outcome.tokens)
        stream.send(stream.end)
        self._reporter.report_due = True

    def _tell_crashes(self) -> None:
        report = self._crashes.report()
        if report is not None:
            self._links.broadcast(report)

    def _drain(self) -> None:
        self._ring.record(EventKind.DRAINING)
        self._apply_actions(self._scheduler.drain(self._clock()))
        self._reporter.announce_leaving()

    def _end_all(self) -> None:
        for stream in self.streams.values():
            if stream.end is None:
                stream.buffer_has_space.set()
                if stream.start.cancellable:
                    self._controls.cancel(stream.start.attempt_id)
                self._end(stream, Outcome(False, ExecutionStatus.UNKNOWN, 0, "draining"))

    # Actions that the scheduler returns.

    def _apply_actions(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._start_call(action.req)
            elif isinstance(action, Reject):
                self._reject(action)
            elif isinstance(action, Pause):
                self._record_by_id(EventKind.PAUSED, action.request_id)
                self._set_paused(action.request_id, True)
                self._controls.pause(action.request_id)
            elif isinstance(action, Resume):
                self._record_by_id(EventKind.RESUMED, action.request_id)
                self._set_paused(action.request_id, False)
                self._controls.resume(action.request_id)
        self._reporter.report_due = True

    def _start_call(self, req: QueuedRequest) -> None:
        stream = self.streams[req.request_id]
        stream.task = asyncio.create_task(self._call_runner.run(stream))

    def _set_paused(self, attempt_id: str, paused: bool) -> None:
        stream = self.streams.get(attempt_id)
        if stream is not None:
            stream.paused, stream.silent_s = paused, 0.0

    def _reject(self, action: Reject) -> None:
        stream = self.streams.pop(action.req.request_id)
        self._open_streams.pop(action.req.request_id, None)
        self._record_stream(EventKind.REJECTED, stream, reason=action.reason)
        if stream.link is not None:
            stream.link.send(
                RejectStart(stream.start.attempt_id, action.reason, REJECT_RETRY_AFTER_S)
            )

    # Periodic work.

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.post, Tick())
        now = self._clock()
        # Silence is not counted while this process itself was paused.
        passed_s, self._last_tick_s = min(now - self._last_tick_s, 2 * TICK_INTERVAL_S), now
        for stream in list(self._open_streams.values()):
            self._expire_detached(stream, now)
            self._check_silence(stream, passed_s)
        horizon = now - FINISHED_RETENTION_S
        while self._ended_streams and self._ended_streams[0][0] <= horizon:
            self.streams.pop(self._ended_streams.popleft()[1], None)
        self._attachments.expire_refusals(now)
        self._crashes.expire()

    def _expire_detached(self, stream: SidecarStream, now: float) -> None:
        if stream.detached_since_s is None or stream.link is not None:
            return
        already_ending = stream.cancelled or stream.abandoned
        if (
            not already_ending
            and now - stream.detached_since_s >= LIMITS.DETACHED_STREAM_TIMEOUT_S
        ):
            if not stream.start.cancellable:
                stream.abandon()
            self._cancel(stream.start.attempt_id)

    def _check_silence(self, stream: SidecarStream, passed_s: float) -> None:
        """End a call whose endpoint has sent nothing for the silence limit, as connection lost."""
        limit_s = stream.start.silence_limit_s
        if stream.task is None or stream.timing is None or limit_s <= 0:
            return
        if stream.paused or not stream.buffer_has_space.is_set():
            return
        stream.silent_s += passed_s
        if stream.silent_s >= limit_s and not stream.silence_expired:
            stream.silence_expired = True
            # Idle connections to the same endpoint may be dead as well.
            self._endpoint.close()
            self._controls.cancel(stream.start.attempt_id)
            stream.task.cancel()

    def _record_by_id(self, kind: EventKind, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is not None:
            self._record_stream(kind, stream)

    def _record_stream(self, kind: EventKind, stream: SidecarStream, **fields: object) -> None:
        start = stream.start
        self._ring.record(
            kind,
            start.request_id,
            start.service,
            start.class_name,
            start.customer,
            attempt=start.attempt_id,
            **fields,
        )
