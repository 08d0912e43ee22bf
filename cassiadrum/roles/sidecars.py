"""The task of a sidecar that owns its streams and its scheduler."""

import asyncio
import contextlib
import logging
import time
from collections import deque
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
    CallStarted,
    DrainSidecar,
    LinkLost,
    LinkMessage,
    LoadChanged,
    SidecarMessage,
    Tick,
)
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.roles.start_messages import queued_request
from cassiadrum.roles.stream_timings import StreamTiming

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
        # Streams without an end, and the ends in their order: a busy sidecar keeps thousands of
        # finished answers, which must not be visited at each tick.
        self._open: dict[str, SidecarStream] = {}
        self._ended: deque[tuple[float, str]] = deque()
        self._endpoint = endpoint
        self._scheduler = scheduler
        self._ring = ring
        self._clock = clock
        self._inbox: asyncio.Queue[SidecarMessage] = asyncio.Queue()
        self._caller = caller(self.post)
        self._load = EndpointLoad()
        self._load_taken_s = clock()
        self._reachable = True
        self._draining = False
        self._reported_s = 0.0
        self._ticked_s = clock()
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

    def waiting(self) -> int:
        """Return the number of requests in the short queue."""
        return self._scheduler.waiting()

    async def run(self) -> None:
        """Handle messages, and send reports, for ever."""
        self._tick()
        while True:
            self._handle(await self._inbox.get())
            while not self._inbox.empty():
                self._handle(self._inbox.get_nowait())
            self._report_when_due()

    def _handle(self, msg: SidecarMessage) -> None:
        if isinstance(msg, LinkMessage):
            self._from_link(msg)
        elif isinstance(msg, CallData):
            self._call_data(msg)
        elif isinstance(msg, CallStarted):
            self._call_started(msg)
        elif isinstance(msg, CallHead):
            self._call_head(msg)
        elif isinstance(msg, CallEnded):
            self._call_ended(msg)
        elif isinstance(msg, LoadChanged):
            self._load_changed(msg)
        elif isinstance(msg, LinkLost):
            self._link_lost(msg.link)
        elif isinstance(msg, Tick):
            self._tick()
        elif isinstance(msg, DrainSidecar):
            self._drain()

    # Messages of entry instances.

    def _from_link(self, message: LinkMessage) -> None:
        link, msg = message
        if isinstance(msg, Hello):
            self._link_up(link, msg)
        elif not self._links.is_current(link):
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
            stream = self.streams.get(msg.attempt_id)
            # An entry instance that another has replaced has no say over the stream any more.
            if stream is not None and stream.link in (None, link):
                self._cancel(msg.attempt_id)

    def _link_up(self, link: Link, hello: Hello) -> None:
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
        self._open[msg.attempt_id] = stream
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
            self._attach_unknown(link, msg)
            return
        try:
            rest = stream.buffer.since(msg.position)
        except BytesGone:
            link.send(End(msg.attempt_id, False, Ran.YES, 0, "answer_lost", 0.0, 0))
            return
        self._take_over(stream, link)
        stream.idle_since_s = None
        if stream.head is not None:
            link.send(stream.head)
        for part in split_data(msg.attempt_id, msg.position, rest):
            link.send(part)
        if stream.end is not None:
            link.send(stream.end)

    def _attach_unknown(self, link: Link, msg: Attach) -> None:
        """Answer for an attempt that is not here: it never arrived, or it is forgotten."""
        self._refused[msg.attempt_id] = self._clock()
        if msg.age_s < FINISHED_KEPT_S / 2:
            link.send(RejectStart(msg.attempt_id, "no_endpoint", 0.0))
        else:
            # It may have run and been forgotten, for example while its entry instance was paused.
            link.send(End(msg.attempt_id, False, Ran.UNKNOWN, 0, "answer_lost", 0.0, 0))

    def _detach(self, link: Link, attempt_id: str) -> None:
        stream = self.streams.get(attempt_id)
        if stream is not None and stream.link is link:
            stream.link = None
            stream.idle_since_s = self._clock()

    def _take_over(self, stream: SidecarStream, link: Link) -> None:
        """Attach a stream to a link; an entry instance that had it until now gets an end.

        The caller fetches the rest elsewhere, and without an end its first request would stay
        open for as long as its silent connection does.
        """
        old, stream.link = stream.link, link
        if old is not None and old.peer is not None and old.peer.instance != _instance(link):
            end = End(stream.start.attempt_id, False, Ran.UNKNOWN, 0, "answer_lost", 0.0, 0)
            old.send(end._replace(final=True))

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
        self._end(stream, msg.outcome)
        now = self._clock()
        if msg.outcome.ok and stream.timing is not None:
            first_s, gap_s = stream.timing.first_token_s, stream.timing.inter_token_s
            self._carry_out(self._scheduler.observed(msg.attempt_id, first_s, gap_s, now))
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
        self._draining = True
        self._ring.record(EventKind.DRAINING)
        self._carry_out(self._scheduler.drain(self._clock()))
        self._send_reports()

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
                self._control(self._endpoint.pause(action.request_id))
            elif isinstance(action, Resume):
                self._record(EventKind.RESUMED, action.request_id)
                self._set_paused(action.request_id, False)
                self._control(self._endpoint.resume(action.request_id))
        self._report_due = True

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

    def _control(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(_ignore_failure(call))
        self._control_tasks.add(task)
        task.add_done_callback(self._control_tasks.discard)

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
        self._refused = {key: at for key, at in self._refused.items() if at > horizon}

    def _report_when_due(self) -> None:
        idle = self._clock() - self._reported_s
        due = self._report_due and idle >= LIMITS.REPORT_MIN_INTERVAL_S
        if due or idle >= LIMITS.REPORT_MAX_INTERVAL_S:
            self._send_reports()

    def _expire(self, stream: SidecarStream, now: float) -> None:
        if stream.idle_since_s is None or stream.link is not None:
            return
        if now - stream.idle_since_s >= LIMITS.DETACHED_STREAM_S:
            stream.idle_since_s = None
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
            self._control(self._endpoint.cancel(stream.start.attempt_id))
            stream.task.cancel()

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
            self._draining,
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


def _instance(link: Link) -> str:
    return link.peer.instance if link.peer else ""
