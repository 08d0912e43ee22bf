"""Simulated sidecar with its endpoint and scheduler."""

from bench.calls import Call, gap_percentile
from bench.engine_profiles import ENGINE_PROFILE
from bench.engines import FakeEngine
from bench.event_loops import EventLoop
from bench.links import LINK_LATENCY_S, SidecarListener
from bench.plain_services import FakePlainService
from bench.run_records import RunRecords
from bench.safety_checks import SafetyCheck
from bench.streams import Stream
from cassiadrum.decisions import (
    EndpointScheduler,
    ExecutionStatus,
    Outcome,
    Pause,
    QueuedRequest,
    Reject,
    SchedulerAction,
    Start,
)
from cassiadrum.documents import ServiceDocument

__all__ = ["Sidecar"]

CRASH_DETECTION_S = 0.1


class Sidecar:
    """Executes a scheduler's actions on one fake endpoint and notifies the entry instances."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        instance: str,
        document: ServiceDocument,
        scheduler: EndpointScheduler,
        records: RunRecords,
        safety: SafetyCheck,
    ) -> None:
        self.instance = instance
        self.service = document.name
        self.scheduler = scheduler
        self.streams_tokens = document.kind == "model"
        self.down = False
        self._loop = loop
        self._records = records
        self._safety = safety
        self._requests: dict[str, tuple[Call, SidecarListener]] = {}
        self.endpoint: FakeEngine | FakePlainService
        if self.streams_tokens:
            self.endpoint = FakeEngine(loop, ENGINE_PROFILE, self._first_token, self._stream_ended)
        else:
            self.endpoint = FakePlainService(loop, self._stream_ended)

    def receive(self, call: Call, req: QueuedRequest, listener: SidecarListener) -> None:
        """Accept a request from an entry instance."""
        self._requests[req.request_id] = (call, listener)
        if self.down:
            self._end(
                req.request_id, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "endpoint_failed")
            )
            return
        self._execute(self.scheduler.submit(req, self._loop.now))

    def cancel(self, request_id: str, reason: str) -> None:
        """Cancel a waiting or running request; `reason` classifies its wasted work."""
        if request_id not in self._requests:
            return
        if self.scheduler.cancel_waiting(request_id, self._loop.now):
            self._end(request_id, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "cancelled"))
            return
        stream = self.endpoint.cancel(request_id)
        if stream is None:
            return
        self._end(request_id, self._failed(stream, reason))
        self._execute(self.scheduler.finished(request_id, self._loop.now))

    def crash(self, down_s: float) -> None:
        """Crash the engine, which loses all streams and restarts after `down_s`."""
        self.down = True
        lost = self.endpoint.crash()
        until_s = self._loop.now + down_s
        self._records.downtimes_s.setdefault(self.service, []).append((self._loop.now, until_s))
        self._loop.call_later(CRASH_DETECTION_S, self._on_crash_detected, lost)
        self._loop.call_at(until_s, self._restart)

    def progress(self) -> None:
        """Send the entry instances the tokens of each stream since the last call."""
        self.endpoint.update_progress()
        messages: dict[SidecarListener, list[tuple[str, int]]] = {}
        for request_id, stream in self.endpoint.streams.items():
            tokens = int(stream.produced - stream.reported_tokens)
            if tokens:
                stream.reported_tokens += tokens
                self.scheduler.progressed(request_id, tokens, self._loop.now)
                listener = self._requests[request_id][1]
                messages.setdefault(listener, []).append((request_id, tokens))
        for listener, counts in messages.items():
            self._loop.call_later(LINK_LATENCY_S, listener.progressed, self.instance, counts)

    def _execute(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._start(action.req.request_id)
            elif isinstance(action, Reject):
                self._records.rejects[action.req.class_name] += 1
                self._safety.rejected(action.req, self.instance)
                self._end(
                    action.req.request_id,
                    Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, action.reason),
                )
            elif isinstance(action, Pause):
                self._records.pauses += 1
                self._safety.paused(self._requests[action.request_id][0].req, self.instance)
                self.endpoint.pause(action.request_id)
            else:
                self.endpoint.resume(action.request_id)

    def _start(self, request_id: str) -> None:
        call = self._requests[request_id][0]
        if call.served_at_s is None:
            call.served_at_s = self._loop.now
        stream = self.endpoint.start(call, request_id)
        if not self.streams_tokens:
            self._first_token(stream)

    def _first_token(self, stream: Stream) -> None:
        listener = self._requests[stream.request_id][1]
        stream.reported_tokens = 1.0
        self._loop.call_later(LINK_LATENCY_S, listener.started, self.instance, stream.request_id)

    def _stream_ended(self, stream: Stream) -> None:
        self._deliver(stream, "duplicate")
        self._end(stream.request_id, Outcome(True, ExecutionStatus.EXECUTED, self._tokens(stream)))
        # A plain call has only one latency, that of the whole answer.
        first_at_s = self._loop.now if stream.started_at_s is None else stream.started_at_s
        first_s, gap_s = first_at_s - stream.arrived_at_s, gap_percentile(stream.gaps, 0.95)
        now = self._loop.now
        self._execute(self.scheduler.observe_latency(stream.request_id, first_s, gap_s, now))
        self._execute(self.scheduler.finished(stream.request_id, self._loop.now))

    def _on_crash_detected(self, lost: list[Stream]) -> None:
        for stream in lost:
            outcome = self._failed(stream, "endpoint_failed")
            self._end(stream.request_id, outcome)
            # The engine is down, so requests that the scheduler starts now fail as well.
            self._fail_started(self.scheduler.finished(stream.request_id, self._loop.now))

    def _fail_started(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if not isinstance(action, Start):
                continue
            request_id = action.req.request_id
            self._end(
                request_id, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "endpoint_failed")
            )
            self._fail_started(self.scheduler.finished(request_id, self._loop.now))

    def _restart(self) -> None:
        self.down = False

    def _failed(self, stream: Stream, reason: str) -> Outcome:
        """Deliver what an incomplete attempt produced and return the attempt's outcome."""
        self._deliver(stream, reason)
        return Outcome(False, ExecutionStatus.UNKNOWN, self._tokens(stream), reason)

    def _tokens(self, stream: Stream) -> int:
        """Return the tokens that the attempt produced, 0 for a plain service."""
        return round(stream.produced) if self.streams_tokens else 0

    def _deliver(self, stream: Stream, reason: str) -> None:
        """Add the produced work to the call if its caller reads this stream, else to the waste."""
        call = stream.call
        if not call.is_open or call.active_instance != self.instance:
            self._records.wasted[self.service, reason] += stream.produced
            return
        call.delivered += stream.produced
        call.add_gaps(stream.gaps)
        call.last_token_at_s = self._loop.now + LINK_LATENCY_S

    def _end(self, request_id: str, outcome: Outcome) -> None:
        listener = self._requests.pop(request_id)[1]
        self._loop.call_later(LINK_LATENCY_S, listener.ended, self.instance, request_id, outcome)
