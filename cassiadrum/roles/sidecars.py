"""The task of a sidecar that owns its streams and its scheduler."""

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
    Data,
    Detach,
    End,
    Full,
    Head,
    Hello,
    RejectStart,
    StartRequest,
)
from cassiadrum.members import ConnectionBound
from cassiadrum.roles.endpoint_callers import EndpointCaller
from cassiadrum.roles.endpoint_controls import EndpointControls
from cassiadrum.roles.entry_links import EntryLinks
from cassiadrum.roles.load_reporters import LoadReporter
from cassiadrum.roles.sidecar_messages import (
    CallData,
    CallEnded,
    CallHead,
    CallStarted,
    DrainSidecar,
    EndAll,
    LinkLost,
    LinkMessage,
    LoadChanged,
    SidecarMessage,
    Tick,
)
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.roles.start_messages import queued_request
from cassiadrum.roles.stream_attachments import FINISHED_KEPT_S, StreamAttachments
from cassiadrum.roles.stream_timings import StreamTiming

__all__ = ["Sidecar"]

TICK_INTERVAL_S = 0.1
RETRY_AFTER_S = 0.2


class Sidecar:
    """Own the work of all entry instances on one endpoint."""

    def __init__(
        self,
        endpoint: Endpoint,
        scheduler: EndpointScheduler,
        caller: Callable[[Callable[[SidecarMessage], None]], EndpointCaller],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.streams: dict[str, SidecarStream] = {}
        self.bound = ConnectionBound()
        self._links = EntryLinks(self.bound)
        self.links = self._links.by_instance
        # Streams without an end, and the ends in their order: a busy sidecar keeps thousands of
        # finished answers, which must not be visited at each tick.
        self._open: dict[str, SidecarStream] = {}
        self._ended: deque[tuple[float, str]] = deque()
        self._endpoint = endpoint
        self._controls = EndpointControls(endpoint)
        self._scheduler = scheduler
        self._ring = ring
        self._clock = clock
        self._inbox: asyncio.Queue[SidecarMessage] = asyncio.Queue()
        self._caller = caller(self.post)
        self._attachments = StreamAttachments(self.streams, clock)
        self._reporter = LoadReporter(scheduler, self._links, ring, clock)
        self._ticked_s = clock()
        self._handlers: dict[type[SidecarMessage], Callable[[Any], None]] = {
            LinkMessage: self._from_link,
            LinkLost: lambda msg: self._link_lost(msg.link),
            CallStarted: self._call_started,
            CallHead: self._call_head,
            CallData: self._call_data,
            CallEnded: self._call_ended,
            LoadChanged: self._reporter.load_changed,
            DrainSidecar: lambda msg: self._drain(),
            EndAll: lambda msg: self._end_all(),
            Tick: lambda msg: self._tick(),
        }

    def post(self, msg: SidecarMessage) -> None:
        """Queue a message for the task."""
        self._inbox.put_nowait(msg)

    def unfinished(self) -> int:
        """Return the number of streams that run or that an entry instance still waits for."""
        now = self._clock()
        return sum(stream.unfinished(now) for stream in self.streams.values())

    def waiting(self) -> int:
        """Return the number of requests in the short queue."""
        return self._scheduler.waiting()

    def describe(self) -> list[str]:
        """Return a line for each stream that is not finished and delivered."""
        now = self._clock()
        return [stream.describe() for stream in self.streams.values() if stream.unfinished(now)]

    def drained_s(self) -> float | None:
        """Return how long ago the endpoint was announced as leaving, None when it was not."""
        since_s = self._reporter.draining_s
        return None if since_s is None else self._clock() - since_s

    async def run(self) -> None:
        """Handle messages, and send reports, for ever."""
        self._tick()
        while True:
            self._handle(await self._inbox.get())
            while not self._inbox.empty():
                self._handle(self._inbox.get_nowait())
            self._reporter.send_when_due()

    def _handle(self, msg: SidecarMessage) -> None:
        self._handlers[type(msg)](msg)

    # Messages of entry instances.

    def _from_link(self, message: LinkMessage) -> None:
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
        elif isinstance(msg, Cancel):
            stream = self.streams.get(msg.attempt_id)
            # An entry instance that another has replaced has no say over the stream any more.
            if stream is not None and stream.link in (None, link):
                self._cancel(msg.attempt_id)

    def _link_up(self, link: Link, hello: Hello) -> None:
        if hello.role == FETCH_ROLE:
            self._links.add_fetch_link(link)
            return
        if self._links.is_outdated(hello):
            link.abort()
            return
        if not self._links.admit(link, hello, self._clock()):
            link.send(Full(f"{len(self.bound)} entry instances are connected"))
            return
        self._ring.record(EventKind.CONNECTED, peer=hello.instance)
        link.send(self._reporter.report())

    def _link_lost(self, link: Link) -> None:
        peer = self._links.remove(link, self._clock())
        if peer:
            self._ring.record(EventKind.DISCONNECTED, peer=peer)
        self._attachments.link_lost(link)

    def _start(self, link: Link, msg: StartRequest) -> None:
        if msg.attempt_id in self.streams:
            return
        if self._attachments.refused(msg.attempt_id):
            link.send(RejectStart(msg.attempt_id, "answer_lost", 0.0))
            return
        now = self._clock()
        queued = queued_request(msg, now)
        stream = SidecarStream(msg, queued, link)
        self.streams[msg.attempt_id] = stream
        self._open[msg.attempt_id] = stream
        actions = self._scheduler.submit(queued, now)
        self._record_stream(EventKind.QUEUED, stream)
        self._carry_out(actions)

    def _ack(self, attempt_id: str, position: int) -> None:
        stream = self.streams.get(attempt_id)
        if stream is None:
            return
        stream.buffer.ack(position)
        if stream.end is not None and position >= stream.end.position:
            stream.acked_end = True
        if not stream.buffer.full:
            stream.room.set()

    def _cancel(self, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is None or stream.end is not None or not stream.start.cancellable:
            return
        stream.cancelled = True
        stream.room.set()
        if self._scheduler.cancel_waiting(attempt_id, self._clock()):
            self._end(stream, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "cancelled"))
        elif stream.task is not None:
            self._controls.cancel(attempt_id)
            stream.task.cancel()

    # Messages of the calls.

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
            stream.room.clear()
        if stream.timing is not None:
            now = self._clock()
            events = stream.timing.data(msg.data, now)
            self._scheduler.progressed(msg.attempt_id, events, now)

    def _call_ended(self, msg: CallEnded) -> None:
        stream = self.streams[msg.attempt_id]
        stream.task = None
        if stream.end is None:
            self._end(stream, msg.outcome)
        now = self._clock()
        if msg.outcome.ok and stream.timing is not None:
            first_s, gap_s = stream.timing.first_token_s, stream.timing.inter_token_s
            self._carry_out(self._scheduler.observe_latency(msg.attempt_id, first_s, gap_s, now))
        self._carry_out(self._scheduler.finished(msg.attempt_id, now))

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
        self._open.pop(stream.start.attempt_id, None)
        self._ended.append((self._clock(), stream.start.attempt_id))
        cancelled = outcome.reason == "cancelled"
        kind = EventKind.CANCELLED if cancelled else EventKind.FINISHED
        reason = "caller_left" if cancelled else outcome.reason
        self._record_stream(kind, stream, reason=reason, ran=outcome.ran, tokens=outcome.tokens)
        stream.send(stream.end)
        self._reporter.due = True

    def _drain(self) -> None:
        self._ring.record(EventKind.DRAINING)
        self._carry_out(self._scheduler.drain(self._clock()))
        self._reporter.announce_leaving()

    def _end_all(self) -> None:
        for stream in self.streams.values():
            if stream.end is None:
                stream.room.set()
                if stream.start.cancellable:
                    self._controls.cancel(stream.start.attempt_id)
                self._end(stream, Outcome(False, ExecutionStatus.UNKNOWN, 0, "draining"))

    # Actions of the scheduler.

    def _carry_out(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._run(action.req)
            elif isinstance(action, Reject):
                self._reject(action)
            elif isinstance(action, Pause):
                self._record(EventKind.PAUSED, action.request_id)
                self._set_paused(action.request_id, True)
                self._controls.pause(action.request_id)
            elif isinstance(action, Resume):
                self._record(EventKind.RESUMED, action.request_id)
                self._set_paused(action.request_id, False)
                self._controls.resume(action.request_id)
        self._reporter.due = True

    def _run(self, req: QueuedRequest) -> None:
        stream = self.streams[req.request_id]
        stream.task = asyncio.create_task(self._caller.run(stream))

    def _set_paused(self, attempt_id: str, paused: bool) -> None:
        stream = self.streams.get(attempt_id)
        if stream is not None:
            stream.paused, stream.silent_s = paused, 0.0

    def _reject(self, action: Reject) -> None:
        stream = self.streams.pop(action.req.request_id)
        self._open.pop(action.req.request_id, None)
        self._record_stream(EventKind.REJECTED, stream, reason=action.reason)
        if stream.link is not None:
            stream.link.send(RejectStart(stream.start.attempt_id, action.reason, RETRY_AFTER_S))

    # Time.

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.post, Tick())
        now = self._clock()
        # Time in which this process did not run is not counted.
        passed_s, self._ticked_s = min(now - self._ticked_s, 2 * TICK_INTERVAL_S), now
        for stream in list(self._open.values()):
            self._expire(stream, now)
            self._watch_silence(stream, passed_s)
        horizon = now - FINISHED_KEPT_S
        while self._ended and self._ended[0][0] <= horizon:
            self.streams.pop(self._ended.popleft()[1], None)
        self._attachments.forget(now)

    def _expire(self, stream: SidecarStream, now: float) -> None:
        if stream.idle_since_s is None or stream.link is not None:
            return
        given_up = stream.cancelled or stream.abandoned
        if not given_up and now - stream.idle_since_s >= LIMITS.DETACHED_STREAM_TIMEOUT_S:
            if not stream.start.cancellable:
                stream.abandon()
            self._cancel(stream.start.attempt_id)

    def _watch_silence(self, stream: SidecarStream, passed_s: float) -> None:
        """Give up a call whose endpoint has been silent for too long: its connection is lost."""
        limit_s = stream.start.silence_limit_s
        if stream.task is None or stream.timing is None or limit_s <= 0:
            return
        if stream.paused or not stream.room.is_set():
            return
        stream.silent_s += passed_s
        if stream.silent_s >= limit_s and not stream.given_up:
            stream.given_up = True
            # Idle connections were opened before this one was found dead and may be dead too.
            self._endpoint.close()
            self._controls.cancel(stream.start.attempt_id)
            stream.task.cancel()

    def _record(self, kind: EventKind, attempt_id: str) -> None:
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
