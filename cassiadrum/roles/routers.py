"""The router task of an entry instance, which owns its requests, dispatchers and links."""

import asyncio
import time
from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import Any, NamedTuple

from cassiadrum.decisions import (
    Action,
    Cancel,
    Dispatch,
    Dispatcher,
    EndpointReport,
    ExecutionStatus,
    Hedge,
    Outcome,
    Refuse,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind, EventRing
from cassiadrum.frontends import Problem
from cassiadrum.links import Link
from cassiadrum.links.messages import CrashReport, Head
from cassiadrum.roles.answer_relays import AnswerRelay
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import AnswerEnd
from cassiadrum.roles.crash_guards import CrashGuard
from cassiadrum.roles.inboxes import Inbox
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.router_messages import (
    CallerDisconnected,
    Delivered,
    LinkClosed,
    MemberRemoved,
    MemberUsable,
    ReceivedMessage,
    RefuseAll,
    RouterMessage,
    Submit,
    Tick,
)
from cassiadrum.roles.sidecar_clients import AttemptEvents, SidecarClient

__all__ = ["Router"]

TICK_INTERVAL_S = 0.05
CANCELLED_RETENTION_S = 600.0
# One acknowledgement per data frame would double the number of frames. The send window of a
# sidecar is eight times this interval.
ACK_INTERVAL_BYTES = LIMITS.STREAM_BUFFER_BYTES // 8
# Limit for one server-sent event, which is held in memory until it is complete.
MAX_EVENT_BYTES = 1024 * 1024
# Half the time for which a sidecar remembers ended attempts: a younger attempt that it does not
# know was not run.
NOT_RUN_MAX_AGE_S = 30.0
# The reason a sidecar gives when asked to attach to an attempt that it does not know.
UNKNOWN_ATTEMPT_REASON = "no_endpoint"
LOST_OUTCOME = Outcome(False, ExecutionStatus.UNKNOWN, 0, "answer_lost")


class _CancelledAttempt(NamedTuple):
    """A cancelled attempt, its service and the time of its cancellation in monotonic seconds."""

    attempt: Attempt
    service: str
    cancelled_s: float


class Router(AttemptEvents):
    """The owner of all requests of an entry instance, which executes the dispatchers' decisions.

    One task runs it; other tasks interact with it by posting messages. `service_of` maps the
    name of a sidecar instance to its service. `on_report(service, report)` is called for each load
    report, `on_removed(service, instance)` when a sidecar is removed. `clock` returns monotonic
    seconds.
    """

    def __init__(
        self,
        make_dispatcher: Callable[[str], Dispatcher],
        service_of: Callable[[str], str],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.on_report: Callable[[str, EndpointReport], None] = lambda service, rep: None
        self.on_removed: Callable[[str, str], None] = lambda service, instance: None
        self._make_dispatcher = make_dispatcher
        self._service_of = service_of
        self._ring = ring
        self._clock = clock
        self._inbox = Inbox[RouterMessage]()
        self._relay = AnswerRelay(ring)
        self.crash_guard = CrashGuard(clock, Random())
        self.crash_guard.on_harmful = self._refuse_harmful
        self.crash_guard.on_news = self._tell_crashes
        self._sidecars = SidecarClient(self, clock)
        # Cancelled attempts whose end has not been reported to the dispatcher yet, with their
        # service, in order of cancellation.
        self._cancelled_attempts: dict[str, _CancelledAttempt] = {}
        self._handlers: dict[type[RouterMessage], Callable[[Any], None]] = {
            Submit: lambda msg: self._submit(msg.pending),
            CallerDisconnected: lambda msg: self._caller_disconnected(msg.request_id),
            Delivered: self._delivered,
            ReceivedMessage: self._sidecars.handle,
            LinkClosed: lambda msg: self._sidecars.link_down(msg.link),
            MemberUsable: self._member_usable,
            MemberRemoved: self._member_removed,
            RefuseAll: lambda msg: self._refuse_all(),
            Tick: lambda msg: self._tick(),
        }

    @property
    def links(self) -> Mapping[str, Link]:
        """Return the current link of each sidecar, by instance."""
        return self._sidecars.links

    def requested_models(self, service: str) -> list[tuple[str, str]]:
        """Return the model and adapter of each waiting or running request of a service."""
        return [
            (pending.queued.model, pending.queued.adapter)
            for pending in self.pending.values()
            if pending.queued.service == service
        ]

    def post(self, msg: RouterMessage) -> None:
        """Queue a message for the router's task."""
        self._inbox.put(msg)

    def has_attempts(self, instance: str) -> bool:
        """Return whether any attempt is in progress at a sidecar."""
        return bool(self._attempts_at(instance))

    def describe(self) -> list[str]:
        """Return one line of text for each unanswered request."""
        return [pending.describe() for pending in self.pending.values()]

    async def run(self) -> None:
        """Handle messages and tick the dispatchers until cancelled."""
        self._tick()
        while True:
            self._handle(await self._inbox.get())

    def _handle(self, msg: RouterMessage) -> None:
        self._handlers[type(msg)](msg)

    def _submit(self, pending: PendingRequest) -> None:
        req = pending.queued
        self.pending[req.request_id] = pending
        self._record(EventKind.RECEIVED, pending)
        refusal = self.crash_guard.admit(pending)
        if refusal is not None:
            self._refuse(refusal)
            return
        actions = self._dispatcher(req.service).submit(req, self._clock())
        if not any(isinstance(a, Dispatch | Refuse) and a.req is req for a in actions):
            self._record(EventKind.QUEUED, pending)
        self._execute(actions)

    def _caller_disconnected(self, request_id: str) -> None:
        pending = self.pending.get(request_id)
        if pending is None:
            return
        pending.caller_disconnected = True
        if not pending.request_class.cancellable:
            return
        self._record(EventKind.CANCELLED, pending, reason="caller_left")
        dispatcher = self._dispatcher(pending.queued.service)
        self._execute(dispatcher.cancelled(request_id, self._clock()))
        self._remove(pending)

    def _delivered(self, msg: Delivered) -> None:
        pending = self.pending.get(msg.request_id)
        attempt = pending.attempts.get(msg.attempt_id) if pending else None
        if attempt is not None and msg.position - attempt.acknowledged >= ACK_INTERVAL_BYTES:
            self._sidecars.acknowledge(attempt, msg.position)

    # Events from sidecars.

    def sidecar_connected(self, instance: str, restarted: bool) -> None:
        """Resume the sidecar's attempts over its new link, or fail them if it restarted."""
        self._ring.record(EventKind.CONNECTED, peer=instance)
        for pending, attempt in self._attempts_at(instance):
            if restarted:
                self._finish_attempt(pending, attempt, LOST_OUTCOME)
                continue
            attempt.detached_s = None
            self._sidecars.reattach(attempt)
            self._record(EventKind.REATTACHED, pending, position=attempt.position)

    def sidecar_disconnected(self, instance: str) -> None:
        """Record when the link was lost; its attempts can be reattached over a new one."""
        now = self._clock()
        self._ring.record(EventKind.DISCONNECTED, peer=instance)
        for _, attempt in self._attempts_at(instance):
            attempt.detached_s = now
        self._execute(self._dispatcher(self._service_of(instance)).endpoint_lost(instance, now))

    def load_reported(self, rep: EndpointReport, cached: Collection[int]) -> None:
        """Pass a load report and the cached prompt prefixes to the service's dispatcher."""
        now = self._clock()
        service = self._service_of(rep.instance)
        dispatcher = self._dispatcher(service)
        if cached:
            dispatcher.observe_cached_prefixes(rep.instance, cached, now)
        self.on_report(service, rep)
        self._execute(dispatcher.report(rep, now))

    def crashes_reported(self, report: CrashReport) -> None:
        """Apply what a sidecar tells of endpoints that ended as they began answers."""
        self.crash_guard.apply(report)

    def head_received(self, head: Head) -> None:
        """Relay the head of an answer."""
        found = self._find_attempt(head.attempt_id)
        if found is not None:
            self._relay.receive_head(*found, head)

    def _member_usable(self, msg: MemberUsable) -> None:
        now = self._clock()
        report = self._sidecars.set_usable(msg.instance, msg.usable)
        if report is not None:
            dispatcher = self._dispatcher(self._service_of(msg.instance))
            self._execute(dispatcher.report(report, now))

    def _member_removed(self, msg: MemberRemoved) -> None:
        self._sidecars.forget(msg.instance)
        self.on_removed(msg.service, msg.instance)
        dispatcher = self._dispatcher(msg.service)
        # Marked as lost first, so that a retry of one of its attempts is not dispatched to it.
        self._execute(dispatcher.endpoint_lost(msg.instance, self._clock()))
        for pending, attempt in self._attempts_at(msg.instance):
            self._finish_attempt(pending, attempt, LOST_OUTCOME)
        self._execute(dispatcher.endpoint_removed(msg.instance, self._clock()))

    def data_received(self, attempt_id: str, position: int, data: bytes) -> None:
        """Relay bytes of an answer and acknowledge those that the caller's task does not.

        An event longer than MAX_EVENT_BYTES fails the attempt.
        """
        found = self._find_attempt(attempt_id)
        if found is None:
            return
        pending, attempt = found
        tokens = self._relay.receive_data(pending, attempt, position, data, self._clock())
        if tokens:
            self.crash_guard.board.record_begun(pending.contents)
            dispatcher = self._dispatcher(pending.queued.service)
            self._execute(
                dispatcher.progressed(
                    attempt.instance, pending.queued.request_id, tokens, self._clock()
                )
            )
        if pending.splitter.buffered_bytes > MAX_EVENT_BYTES:
            self._finish_attempt(
                pending,
                attempt,
                Outcome(False, ExecutionStatus.EXECUTED, 0, "endpoint_failed", final=True),
            )
            self._cancel_attempt(pending, attempt)
            return
        # Bytes that are buffered or have no receiver are acknowledged here, all others once they
        # have been written to the caller's socket.
        if pending.caller_disconnected or attempt.attempt_id != pending.winner or attempt.buffered:
            self._sidecars.acknowledge(attempt, attempt.position)
        elif pending.splitter.buffered_bytes >= ACK_INTERVAL_BYTES:
            # The sidecar sends the rest of a long event only after an acknowledgement.
            self._sidecars.acknowledge(attempt, attempt.position)

    def attempt_ended(self, attempt_id: str, position: int, outcome: Outcome) -> bool:
        """Complete or retry the request of an attempt; return whether the attempt is known.

        Bytes that are missing from a successful answer are requested again first.
        """
        found = self._find_attempt(attempt_id)
        if found is None:
            self._finish_cancelled(attempt_id, outcome.tokens)
            return False
        pending, attempt = found
        if outcome.ok and position != attempt.position:
            self._sidecars.request_resend(attempt)
            return True
        if outcome.ok and not self._relay.is_whole(pending, attempt):
            outcome = Outcome(False, outcome.ran, outcome.tokens, "endpoint_failed")
        self._sidecars.acknowledge(attempt, position)
        self._finish_attempt(pending, attempt, outcome)
        return True

    def attempt_rejected(self, attempt_id: str, reason: str, retry_after_s: float) -> None:
        """Report an attempt as not run, or as unknown if it may have run and been forgotten."""
        found = self._find_attempt(attempt_id)
        if found is None:
            self._finish_cancelled(attempt_id, 0)
            return
        # A sidecar forgets ended attempts, so an old one that it does not know may have run.
        old = self._clock() - found[1].started_s >= NOT_RUN_MAX_AGE_S
        ran = (
            ExecutionStatus.UNKNOWN
            if old and reason == UNKNOWN_ATTEMPT_REASON
            else ExecutionStatus.NOT_EXECUTED
        )
        self._finish_attempt(*found, Outcome(False, ran, 0, reason, retry_after_s))

    def _finish_cancelled(self, attempt_id: str, tokens: int) -> None:
        """Report the end of a cancelled attempt to its dispatcher."""
        entry = self._cancelled_attempts.pop(attempt_id, None)
        if entry is None:
            return
        attempt, service, _ = entry
        outcome = Outcome(False, ExecutionStatus.UNKNOWN, tokens, "cancelled")
        dispatcher = self._dispatcher(service)
        self._execute(
            dispatcher.finished(attempt.request_id, outcome, self._clock(), attempt.instance)
        )

    def _finish_attempt(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome) -> None:
        pending.attempts.pop(attempt.attempt_id, None)
        req = pending.queued
        if outcome.ok:
            if attempt.status < 300:
                self.crash_guard.board.record_answered(pending.contents)
            self._relay.finish(pending, attempt)
            self._complete(pending, None, EventKind.FINISHED, outcome)
        else:
            self._relay.discard_partial(pending, attempt)
            outcome = self._relay.restrict_retry(pending, outcome)
            outcome = self.crash_guard.restrict_retry(pending, outcome)
        dispatcher = self._dispatcher(req.service)
        self._execute(
            dispatcher.finished(req.request_id, outcome, self._clock(), attempt.instance)
        )

    # Actions.

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Dispatch | Hedge):
                self._dispatch(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Cancel):
                self._cancel(action)

    def _dispatch(self, action: Dispatch | Hedge) -> None:
        pending = self.pending.get(action.req.request_id)
        if pending is None:
            return
        now = self._clock()
        pending.queued = action.req
        pending.attempts_made += 1
        attempt_id = f"{action.req.request_id}.{pending.attempts_made}"
        attempt = Attempt(attempt_id, action.req.request_id, action.instance, now)
        pending.attempts[attempt_id] = attempt
        kind = EventKind.HEDGED if isinstance(action, Hedge) else EventKind.DISPATCHED
        self._record(kind, pending, to=action.instance, attempt=pending.attempts_made)
        pending.resent = self.crash_guard.has_crash(pending)
        if not self._sidecars.start(pending, attempt):
            self._finish_attempt(
                pending, attempt, Outcome(False, ExecutionStatus.NOT_EXECUTED, 0, "no_endpoint")
            )

    def _refuse(self, action: Refuse) -> None:
        pending = self.pending.get(action.req.request_id)
        if pending is None:
            return
        problem = Problem(
            action.reason, action.ran, "", action.req.request_id, action.retry_after_s
        )
        outcome = Outcome(False, action.ran, 0, action.reason, action.retry_after_s)
        kind = EventKind.EVICTED if action.reason == "evicted" else EventKind.REFUSED
        self._complete(pending, problem, kind, outcome)

    def _refuse_harmful(self) -> None:
        """Refuse the requests with harmful contents whose answers have not begun.

        Calls that must not be cancelled are left to end.
        """
        for pending in list(self.pending.values()):
            refusal = None if pending.event_sent else self.crash_guard.find_refusal(pending)
            if refusal is None or (pending.attempts and not pending.request_class.cancellable):
                continue
            dispatcher = self._dispatcher(pending.queued.service)
            self._execute(dispatcher.cancelled(pending.queued.request_id, self._clock()))
            self._refuse(refusal)

    def _tell_crashes(self) -> None:
        self._sidecars.relay_crashes(self.crash_guard.report())

    def _refuse_all(self) -> None:
        for pending in list(self.pending.values()):
            ran = (
                ExecutionStatus.UNKNOWN if pending.attempts_made else ExecutionStatus.NOT_EXECUTED
            )
            self._refuse(Refuse(pending.queued, "draining", ran, 0.0))

    def _cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request_id)
        for attempt in list(pending.attempts.values()) if pending else ():
            if pending is not None and attempt.instance == action.instance:
                self._cancel_attempt(pending, attempt)

    def _cancel_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        pending.attempts.pop(attempt.attempt_id, None)
        entry = _CancelledAttempt(attempt, pending.queued.service, self._clock())
        self._cancelled_attempts[attempt.attempt_id] = entry
        self._sidecars.cancel(attempt)

    def _complete(
        self, pending: PendingRequest, problem: Problem | None, kind: EventKind, outcome: Outcome
    ) -> None:
        pending.caller_events.put_nowait(AnswerEnd(problem))
        self._remove(pending)
        self._record(kind, pending, reason=outcome.reason, ran=outcome.ran, tokens=outcome.tokens)

    def _remove(self, pending: PendingRequest) -> None:
        """Remove a request and cancel its remaining attempts."""
        self.pending.pop(pending.queued.request_id, None)
        for attempt in list(pending.attempts.values()):
            self._cancel_attempt(pending, attempt)

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.post, Tick())
        now = self._clock()
        horizon_s = now - CANCELLED_RETENTION_S
        self.crash_guard.board.expire()
        while self._cancelled_attempts:
            key, entry = next(iter(self._cancelled_attempts.items()))
            if entry.cancelled_s > horizon_s:
                break
            del self._cancelled_attempts[key]
        for dispatcher in self.dispatchers.values():
            self._execute(dispatcher.tick(now))
        for pending in list(self.pending.values()):
            for attempt in list(pending.attempts.values()):
                detached_s = attempt.detached_s
                if detached_s is not None and now - detached_s >= LIMITS.DETACHED_STREAM_TIMEOUT_S:
                    self._finish_attempt(pending, attempt, LOST_OUTCOME)

    # Helpers.

    def _dispatcher(self, service: str) -> Dispatcher:
        if service not in self.dispatchers:
            self.dispatchers[service] = self._make_dispatcher(service)
            self.dispatchers[service].allows_hedge = self._allows_hedge
        return self.dispatchers[service]

    def _allows_hedge(self, request_id: str) -> bool:
        """Return whether a second copy of a request endangers no other endpoint."""
        pending = self.pending.get(request_id)
        return pending is None or not self.crash_guard.board.is_suspect(pending.contents)

    def _find_attempt(self, attempt_id: str) -> tuple[PendingRequest, Attempt] | None:
        pending = self.pending.get(attempt_id.rpartition(".")[0])
        attempt = pending.attempts.get(attempt_id) if pending else None
        return (pending, attempt) if pending and attempt else None

    def _attempts_at(self, instance: str) -> list[tuple[PendingRequest, Attempt]]:
        return [
            (pending, attempt)
            for pending in self.pending.values()
            for attempt in pending.attempts.values()
            if attempt.instance == instance
        ]

    def _record(self, kind: EventKind, pending: PendingRequest, **fields: object) -> None:
        req = pending.queued
        self._ring.record(
            kind, req.request_id, req.service, req.class_name, req.customer, **fields
        )
