"""The task of a sidecar that owns its streams and its scheduler."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Coroutine
from typing import Any

from cassiadrum.decisions import (
    EndpointScheduler,
    Outcome,
    Pause,
    QueuedRequest,
    Ran,
    Reject,
    Resume,
    SchedulerAction,
    Start,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.endpoints import Endpoint, EndpointError, EndpointLoad
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import BytesGone, Link, split_data
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
    Report,
    StartRequest,
)
from cassiadrum.members import ConnectionBound
from cassiadrum.roles.endpoint_callers import EndpointCaller
from cassiadrum.roles.entry_links import EntryLinks
from cassiadrum.roles.sidecar_messages import (
    CallData,
    CallEnded,
    CallHead,
    EndAll,
    LinkLost,
    LinkMessage,
    LoadChanged,
    SidecarMessage,
)
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.roles.start_messages import queued_request

__all__ = ["Sidecar"]

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
# A finished answer stays fetchable for this long.
FINISHED_KEPT_S = 60.0
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
        self._endpoint = endpoint
        self._scheduler = scheduler
        self._ring = ring
        self._clock = clock
        self._inbox: asyncio.Queue[SidecarMessage] = asyncio.Queue()
        self._caller = caller(self.post)
        self._load = EndpointLoad()
        self._load_taken_s = clock()
        self._reachable = True
        # Monotonic time of the announcement that the endpoint leaves.
        self._draining_s: float | None = None
        self._reported_s = 0.0
        self._report_due = True
        # Attempts that a peer asked for before they arrived; a start of one of them that was
        # delayed on an old connection must not run.
        self._refused: dict[str, float] = {}
        self._control_tasks: set[asyncio.Task[None]] = set()

    def post(self, msg: SidecarMessage) -> None:
        """Queue a message for the task."""
        self._inbox.put_nowait(msg)

    def unfinished(self) -> int:
        """Return the number of streams that run or that an entry instance still waits for."""
        now = self._clock()
        return sum(stream.unfinished(now) for stream in self.streams.values())

    def describe(self) -> list[str]:
        """Return a line for each stream that is not finished and delivered."""
        now = self._clock()
        return [stream.describe() for stream in self.streams.values() if stream.unfinished(now)]

    def drained_s(self) -> float | None:
        """Return how long ago the endpoint was announced as leaving, None when it was not."""
        return None if self._draining_s is None else self._clock() - self._draining_s

    async def run(self) -> None:
        """Handle messages, and send reports, for ever."""
        while True:
            try:
                # asyncio.wait_for can lose a cancellation that comes together with a message.
                async with asyncio.timeout(TICK_INTERVAL_S):
                    msg = await self._inbox.get()
                self._handle(msg)
                while not self._inbox.empty():
                    self._handle(self._inbox.get_nowait())
            except TimeoutError:
                pass
            self._tick()

    def _handle(self, msg: SidecarMessage) -> None:
        if isinstance(msg, LinkMessage):
            self._from_link(msg)
        elif isinstance(msg, CallData):
            self._call_data(msg)
        elif isinstance(msg, CallHead):
            self._call_head(msg)
        elif isinstance(msg, CallEnded):
            self._call_ended(msg)
        elif isinstance(msg, LoadChanged):
            self._load_changed(msg)
        elif isinstance(msg, LinkLost):
            self._link_lost(msg.link)
        elif isinstance(msg, EndAll):
            self._end_all()
        else:
            self._drain()

    # Messages of entry instances.

    def _from_link(self, message: LinkMessage) -> None:
        link, msg = message
        if isinstance(msg, Hello):
            self._link_up(link, msg)
        elif not self._links.may_send(link, msg):
            return
        elif isinstance(msg, StartRequest):
            self._start(link, msg)
        elif isinstance(msg, Ack):
            for attempt_id, position in msg.parts:
                self._ack(attempt_id, position)
        elif isinstance(msg, Attach):
            self._attach(link, msg)
        elif isinstance(msg, Detach):
            self._detach(link, msg.attempt_id)
        elif isinstance(msg, Cancel):
            self._cancel(msg.attempt_id)

    def _link_up(self, link: Link, hello: Hello) -> None:
        if hello.role == FETCH_ROLE:
            self._links.fetch_up(link)
            return
        if self._links.is_older(hello):
            link.abort()
            return
        if not self._links.up(link, hello, self._clock()):
            link.send(Full(f"{len(self.bound)} entry instances are connected"))
            return
        self._ring.record(EventKind.CONNECTED, peer=hello.instance)
        link.send(self._report())

    def _link_lost(self, link: Link) -> None:
        peer = self._links.down(link, self._clock())
        if peer:
            self._ring.record(EventKind.DISCONNECTED, peer=peer)
        now = self._clock()
        for stream in self.streams.values():
            if stream.link is link:
                stream.link = None
                stream.idle_since_s = now

    def _start(self, link: Link, msg: StartRequest) -> None:
        if msg.attempt_id in self.streams:
            return
        if msg.attempt_id in self._refused:
            link.send(RejectStart(msg.attempt_id, "answer_lost", 0.0))
            return
        now = self._clock()
        queued = queued_request(msg, now)
        stream = SidecarStream(msg, queued, link)
        self.streams[msg.attempt_id] = stream
        actions = self._scheduler.arrive(queued, now)
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

    def _attach(self, link: Link, msg: Attach) -> None:
        stream = self.streams.get(msg.attempt_id)
        if stream is None:
            self._refused[msg.attempt_id] = self._clock()
            link.send(RejectStart(msg.attempt_id, "no_endpoint", 0.0))
            return
        try:
            rest = stream.buffer.since(msg.position)
        except BytesGone:
            link.send(End(msg.attempt_id, False, Ran.YES, 0, "answer_lost", 0.0, 0))
            return
        stream.link = link
        stream.idle_since_s = None
        if stream.head is not None:
            link.send(stream.head)
        for part in split_data(msg.attempt_id, msg.position, rest):
            link.send(part)
        if stream.end is not None:
            link.send(stream.end)

    def _detach(self, link: Link, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is not None and stream.link is link:
            stream.link = None
            stream.idle_since_s = self._clock()

    def _cancel(self, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is None or stream.end is not None or not stream.start.cancellable:
            return
        stream.cancelled = True
        stream.room.set()
        if self._scheduler.cancelled(attempt_id, self._clock()):
            self._end(stream, Outcome(False, Ran.NO, 0, "cancelled"))
        elif stream.task is not None:
            self._control(self._endpoint.cancel(attempt_id))
            stream.task.cancel()

    # Messages of the calls.

    def _call_head(self, msg: CallHead) -> None:
        stream = self.streams[msg.attempt_id]
        stream.head = Head(msg.attempt_id, msg.status, msg.headers)
        stream.send(stream.head)

    def _call_data(self, msg: CallData) -> None:
        stream = self.streams[msg.attempt_id]
        position = stream.buffer.append(msg.data)
        if stream.link is not None:
            stream.link.send(Data([(msg.attempt_id, position, msg.data)]))
        if stream.abandoned:
            stream.buffer.ack(stream.buffer.end)
        if stream.buffer.full and not stream.cancelled:
            stream.room.clear()

    def _call_ended(self, msg: CallEnded) -> None:
        stream = self.streams[msg.attempt_id]
        stream.task = None
        if stream.end is None:
            self._end(stream, msg.outcome)
        self._carry_out(self._scheduler.finished(msg.attempt_id, self._clock()))

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
        stream.idle_since_s = self._clock()
        cancelled = outcome.reason == "cancelled"
        kind = EventKind.CANCELLED if cancelled else EventKind.FINISHED
        reason = "caller_left" if cancelled else outcome.reason
        self._record_stream(kind, stream, reason=reason, ran=outcome.ran, tokens=outcome.tokens)
        stream.send(stream.end)
        self._report_due = True

    def _load_changed(self, msg: LoadChanged) -> None:
        reachable = msg.load is not None
        if reachable != self._reachable:
            logger.info("endpoint %s", "answers again" if reachable else "does not answer")
            kind = EventKind.ENDPOINT_RECOVERED if reachable else EventKind.ENDPOINT_FAILED
            self._ring.record(kind)
            self._report_due = True
        self._reachable = reachable
        if msg.load is not None:
            self._report_due = self._report_due or msg.load != self._load
            self._load = msg.load
            self._load_taken_s = msg.taken_s

    def _drain(self) -> None:
        self._draining_s = self._clock()
        self._ring.record(EventKind.DRAINING)
        self._carry_out(self._scheduler.drain(self._clock()))
        self._send_reports()

    def _end_all(self) -> None:
        for stream in self.streams.values():
            if stream.end is None:
                stream.room.set()
                if stream.start.cancellable:
                    self._control(self._endpoint.cancel(stream.start.attempt_id))
                self._end(stream, Outcome(False, Ran.UNKNOWN, 0, "draining"))

    # Actions of the scheduler.

    def _carry_out(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._run(action.req)
            elif isinstance(action, Reject):
                self._reject(action)
            elif isinstance(action, Pause):
                self._record(EventKind.PAUSED, action.request_id)
                self._control(self._endpoint.pause(action.request_id))
            elif isinstance(action, Resume):
                self._record(EventKind.RESUMED, action.request_id)
                self._control(self._endpoint.resume(action.request_id))
        self._report_due = True

    def _run(self, req: QueuedRequest) -> None:
        stream = self.streams[req.request_id]
        self._record(EventKind.STARTED, req.request_id)
        stream.task = asyncio.create_task(self._caller.run(stream))

    def _reject(self, action: Reject) -> None:
        stream = self.streams.pop(action.req.request_id)
        self._record_stream(EventKind.REJECTED, stream, reason=action.reason)
        if stream.link is not None:
            stream.link.send(RejectStart(stream.start.attempt_id, action.reason, RETRY_AFTER_S))

    def _control(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(_ignore_failure(call))
        self._control_tasks.add(task)
        task.add_done_callback(self._control_tasks.discard)

    # Time.

    def _tick(self) -> None:
        now = self._clock()
        for stream in list(self.streams.values()):
            self._expire(stream, now)
        horizon = now - FINISHED_KEPT_S
        self._refused = {key: at for key, at in self._refused.items() if at > horizon}
        idle = now - self._reported_s
        due = self._report_due and idle >= LIMITS.REPORT_MIN_INTERVAL_S
        if due or idle >= LIMITS.REPORT_MAX_INTERVAL_S:
            self._send_reports()

    def _expire(self, stream: SidecarStream, now: float) -> None:
        if stream.idle_since_s is None:
            return
        idle_s = now - stream.idle_since_s
        if stream.end is not None and idle_s >= FINISHED_KEPT_S:
            del self.streams[stream.start.attempt_id]
        elif stream.end is None and stream.link is None and idle_s >= LIMITS.DETACHED_STREAM_S:
            stream.idle_since_s = None
            if not stream.start.cancellable:
                stream.abandon()
            self._cancel(stream.start.attempt_id)

    def _send_reports(self) -> None:
        self._links.send(self._report())
        self._reported_s = self._clock()
        self._report_due = False

    def _report(self) -> Report:
        limit = self._scheduler.limit if self._reachable else 0
        load, self._load = self._load, self._load._replace(cached=())
        return Report(
            min(self._clock() - self._load_taken_s, 1e6),
            self._scheduler.running(),
            self._scheduler.waiting(),
            limit,
            list(load.models),
            list(load.adapters),
            self._draining_s is not None,
            load.tokens_per_s,
            list(load.cached),
        )

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


async def _ignore_failure(call: Coroutine[Any, Any, None]) -> None:
    """Wait for a control call; its failure shows in the load report and in the stream."""
    with contextlib.suppress(EndpointError):
        await call
