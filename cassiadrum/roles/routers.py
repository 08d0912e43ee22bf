"""The task of an entry instance that owns its requests, dispatchers and links."""

import asyncio
import time
from collections.abc import Callable, Collection, Mapping
from typing import Any

from cassiadrum.decisions import (
    Action,
    Cancel,
    Dispatch,
    Dispatcher,
    EndpointReport,
    Hedge,
    Outcome,
    Ran,
    Refuse,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind, EventRing
from cassiadrum.frontends import Problem
from cassiadrum.links import Link
from cassiadrum.links.messages import Head
from cassiadrum.roles.answer_relays import AnswerRelay
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import AnswerEnd
from cassiadrum.roles.pending_requests import PendingRequest
from cassiadrum.roles.router_messages import (
    CallerGone,
    Delivered,
    FromLink,
    LinkDown,
    MemberGone,
    MemberUsable,
    RefuseAll,
    RouterMessage,
    Submit,
    Tick,
)
from cassiadrum.roles.sidecar_clients import AttemptEvents, SidecarClient

__all__ = ["Router"]

TICK_INTERVAL_S = 0.05
CANCELLED_KEPT_S = 600.0
# Acknowledging each frame would double the number of frames; the window is eight times as large.
ACK_BYTES = LIMITS.STREAM_BUFFER_BYTES // 8
# The longest single event of a stream.
EVENT_BYTES = 1024 * 1024
# Half the time for which a sidecar knows the attempts that have ended.
REJECTED_AS_NOT_RUN_S = 30.0
# The reason in a sidecar's answer to `attach` when it does not know the attempt.
UNKNOWN_ATTEMPT = "no_endpoint"
LOST = Outcome(False, Ran.UNKNOWN, 0, "answer_lost")


class Router(AttemptEvents):
    """Own all requests of an entry instance and carry out what the dispatchers decide.

    Other tasks post messages to it; `services` maps a sidecar instance to its service.
    """

    def __init__(
        self,
        make_dispatcher: Callable[[str], Dispatcher],
        services: Callable[[str], str],
        ring: EventRing,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.pending: dict[str, PendingRequest] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.on_report: Callable[[str, EndpointReport], None] = lambda service, rep: None
        self.on_gone: Callable[[str, str], None] = lambda service, instance: None
        self._make_dispatcher = make_dispatcher
        self._services = services
        self._ring = ring
        self._clock = clock
        self._inbox: asyncio.Queue[RouterMessage] = asyncio.Queue()
        self._relay = AnswerRelay(ring)
        self._path = SidecarClient(self, clock)
        # Cancelled attempts whose end the dispatcher still has to hear of.
        self._cancelled: dict[str, tuple[Attempt, str]] = {}
        self._handlers: dict[type[RouterMessage], Callable[[Any], None]] = {
            Submit: lambda msg: self._submit(msg.pending),
            CallerGone: lambda msg: self._caller_gone(msg.request_id),
            Delivered: self._delivered,
            FromLink: self._path.handle,
            LinkDown: lambda msg: self._path.link_down(msg.link),
            MemberUsable: self._member_usable,
            MemberGone: self._member_gone,
            RefuseAll: lambda msg: self._refuse_all(),
            Tick: lambda msg: self._tick(),
        }

    @property
    def links(self) -> Mapping[str, Link]:
        """Return the current link of each sidecar."""
        return self._path.links

    def models_wanted(self, service: str) -> list[tuple[str, str]]:
        """Return model and adapter of each request of a service that waits or runs."""
        return [
            (pending.queued.model, pending.queued.adapter)
            for pending in self.pending.values()
            if pending.queued.service == service
        ]

    def post(self, msg: RouterMessage) -> None:
        """Queue a message for the task."""
        self._inbox.put_nowait(msg)

    def busy(self, instance: str) -> bool:
        """Tell whether attempts run at a sidecar."""
        return bool(self._attempts_at(instance))

    def describe(self) -> list[str]:
        """Return a line for each request that is not answered."""
        return [pending.describe() for pending in self.pending.values()]

    async def run(self) -> None:
        """Handle messages, and tick the dispatchers, for ever."""
        self._tick()
        while True:
            self._handle(await self._inbox.get())

    def _handle(self, msg: RouterMessage) -> None:
        self._handlers[type(msg)](msg)

    def _submit(self, pending: PendingRequest) -> None:
        req = pending.queued
        self.pending[req.request_id] = pending
        self._record(EventKind.RECEIVED, pending)
        actions = self._dispatcher(req.service).submit(req, self._clock())
        if not any(isinstance(a, Dispatch | Refuse) and a.req is req for a in actions):
            self._record(EventKind.QUEUED, pending)
        self._carry_out(actions)

    def _caller_gone(self, request_id: str) -> None:
        pending = self.pending.get(request_id)
        if pending is None:
            return
        pending.caller_gone = True
        if not pending.cls.cancellable:
            return
        self._record(EventKind.CANCELLED, pending, reason="caller_left")
        dispatcher = self._dispatcher(pending.queued.service)
        self._carry_out(dispatcher.cancelled(request_id, self._clock()))
        self._forget(pending)

    def _delivered(self, msg: Delivered) -> None:
        pending = self.pending.get(msg.request_id)
        attempt = pending.attempts.get(msg.attempt_id) if pending else None
        if attempt is not None and msg.position - attempt.acked >= ACK_BYTES:
            self._path.acknowledge(attempt, msg.position)

    # Events of the sidecars.

    def sidecar_connected(self, instance: str, restarted: bool) -> None:
        """Go on with the attempts over a new link, or end them after a restart."""
        self._ring.record(EventKind.CONNECTED, peer=instance)
        for pending, attempt in self._attempts_at(instance):
            if restarted:
                self._ended(pending, attempt, LOST)
                continue
            attempt.detached_s = None
            self._path.reattach(attempt)
            self._record(EventKind.REATTACHED, pending, position=attempt.position)

    def sidecar_disconnected(self, instance: str) -> None:
        """Date the loss of the link; the attempts may be found again."""
        now = self._clock()
        self._ring.record(EventKind.DISCONNECTED, peer=instance)
        for _, attempt in self._attempts_at(instance):
            attempt.detached_s = now
        self._carry_out(self._dispatcher(self._services(instance)).lost(instance, now))

    def load_reported(self, rep: EndpointReport, cached: Collection[int]) -> None:
        """Pass a load report on to the service's dispatcher."""
        now = self._clock()
        service = self._services(rep.instance)
        dispatcher = self._dispatcher(service)
        if cached:
            dispatcher.cached(rep.instance, cached, now)
        self.on_report(service, rep)
        self._carry_out(dispatcher.report(rep, now))

    def head_received(self, head: Head) -> None:
        """Pass the head of an answer on."""
        found = self._find(head.attempt_id)
        if found is not None:
            self._relay.head(*found, head)

    def _member_usable(self, msg: MemberUsable) -> None:
        now = self._clock()
        report = self._path.set_usable(msg.instance, msg.usable)
        if report is not None:
            dispatcher = self._dispatcher(self._services(msg.instance))
            self._carry_out(dispatcher.report(report, now))

    def _member_gone(self, msg: MemberGone) -> None:
        self._path.forget(msg.instance)
        self.on_gone(msg.service, msg.instance)
        dispatcher = self._dispatcher(msg.service)
        # Nothing may be dispatched there again while its attempts end one after the other.
        self._carry_out(dispatcher.lost(msg.instance, self._clock()))
        for pending, attempt in self._attempts_at(msg.instance):
            self._ended(pending, attempt, LOST)
        self._carry_out(dispatcher.removed(msg.instance, self._clock()))

    def data_received(self, attempt_id: str, position: int, data: bytes) -> None:
        """Pass bytes of an answer on and confirm them."""
        found = self._find(attempt_id)
        if found is None:
            return
        pending, attempt = found
        tokens = self._relay.data(pending, attempt, position, data, self._clock())
        if tokens:
            dispatcher = self._dispatcher(pending.queued.service)
            self._carry_out(
                dispatcher.progressed(
                    attempt.instance, pending.queued.request_id, tokens, self._clock()
                )
            )
        if pending.splitter.held_bytes > EVENT_BYTES:
            self._ended(
                pending, attempt, Outcome(False, Ran.YES, 0, "endpoint_failed", final=True)
            )
            self._cancel_attempt(pending, attempt)
            return
        # Bytes that are held back or have no receiver are confirmed here, the others once the
        # caller's socket took them.
        if pending.caller_gone or attempt.attempt_id != pending.winner or attempt.held:
            self._path.acknowledge(attempt, attempt.position)
        elif pending.splitter.held_bytes >= ACK_BYTES:
            # The rest of a long event only comes once its beginning is confirmed.
            self._path.acknowledge(attempt, attempt.position)

    def attempt_ended(self, attempt_id: str, position: int, outcome: Outcome) -> bool:
        """Close the request of an attempt, or try again; return whether the attempt is known."""
        found = self._find(attempt_id)
        if found is None:
            self._cancelled_ended(attempt_id, outcome.tokens)
            return False
        pending, attempt = found
        if outcome.ok and position != attempt.position:
            self._path.request_resend(attempt)
            return True
        if outcome.ok and not self._relay.continues(pending, attempt):
            outcome = Outcome(False, outcome.ran, outcome.tokens, "endpoint_failed")
        self._path.acknowledge(attempt, position)
        self._ended(pending, attempt, outcome)
        return True

    def attempt_rejected(self, attempt_id: str, reason: str, retry_after_s: float) -> None:
        """Try an attempt elsewhere that did not run, unless it may have run long ago."""
        found = self._find(attempt_id)
        if found is None:
            self._cancelled_ended(attempt_id, 0)
            return
        # An old attempt that the sidecar does not know may have run and been forgotten there.
        old = self._clock() - found[1].started_s >= REJECTED_AS_NOT_RUN_S
        ran = Ran.UNKNOWN if old and reason == UNKNOWN_ATTEMPT else Ran.NO
        self._ended(*found, Outcome(False, ran, 0, reason, retry_after_s))

    def _cancelled_ended(self, attempt_id: str, tokens: int) -> None:
        """Tell the dispatcher that a copy which nobody waits for has ended."""
        entry = self._cancelled.pop(attempt_id, None)
        if entry is None:
            return
        attempt, service = entry
        outcome = Outcome(False, Ran.UNKNOWN, tokens, "cancelled")
        dispatcher = self._dispatcher(service)
        self._carry_out(
            dispatcher.finished(attempt.request_id, outcome, self._clock(), attempt.instance)
        )

    def _ended(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome) -> None:
        pending.attempts.pop(attempt.attempt_id, None)
        req = pending.queued
        if outcome.ok:
            self._relay.finish(pending, attempt)
            self._close(pending, None, EventKind.FINISHED, outcome)
        else:
            self._relay.failed(pending, attempt)
            outcome = self._relay.repeatable(pending, outcome)
        dispatcher = self._dispatcher(req.service)
        self._carry_out(
            dispatcher.finished(req.request_id, outcome, self._clock(), attempt.instance)
        )

    # Actions.

    def _carry_out(self, actions: list[Action]) -> None:
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
        if not self._path.start(pending, attempt):
            self._ended(pending, attempt, Outcome(False, Ran.NO, 0, "no_endpoint"))

    def _refuse(self, action: Refuse) -> None:
        pending = self.pending.get(action.req.request_id)
        if pending is None:
            return
        problem = Problem(
            action.reason, action.ran, "", action.req.request_id, action.retry_after_s
        )
        outcome = Outcome(False, action.ran, 0, action.reason, action.retry_after_s)
        kind = EventKind.EVICTED if action.reason == "evicted" else EventKind.REFUSED
        self._close(pending, problem, kind, outcome)

    def _refuse_all(self) -> None:
        for pending in list(self.pending.values()):
            self._refuse(Refuse(pending.queued, "draining", Ran.UNKNOWN, 0.0))

    def _cancel(self, action: Cancel) -> None:
        pending = self.pending.get(action.request_id)
        for attempt in list(pending.attempts.values()) if pending else ():
            if pending is not None and attempt.instance == action.instance:
                self._cancel_attempt(pending, attempt)

    def _cancel_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        pending.attempts.pop(attempt.attempt_id, None)
        self._cancelled[attempt.attempt_id] = (attempt, pending.queued.service)
        self._path.cancel(attempt)

    def _close(
        self, pending: PendingRequest, problem: Problem | None, kind: EventKind, outcome: Outcome
    ) -> None:
        pending.events.put_nowait(AnswerEnd(problem))
        self._forget(pending)
        self._record(kind, pending, reason=outcome.reason, ran=outcome.ran, tokens=outcome.tokens)

    def _forget(self, pending: PendingRequest) -> None:
        """Drop a request; attempts that still run are cancelled."""
        self.pending.pop(pending.queued.request_id, None)
        for attempt in list(pending.attempts.values()):
            self._cancel_attempt(pending, attempt)

    def _tick(self) -> None:
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.post, Tick())
        now = self._clock()
        horizon_s = now - CANCELLED_KEPT_S
        while self._cancelled:
            key, entry = next(iter(self._cancelled.items()))
            if entry[0].started_s > horizon_s:
                break
            del self._cancelled[key]
        for dispatcher in self.dispatchers.values():
            self._carry_out(dispatcher.tick(now))
        for pending in list(self.pending.values()):
            for attempt in list(pending.attempts.values()):
                lost_s = attempt.detached_s
                if lost_s is not None and now - lost_s >= LIMITS.DETACHED_STREAM_S:
                    self._ended(pending, attempt, LOST)

    # Helpers.

    def _dispatcher(self, service: str) -> Dispatcher:
        if service not in self.dispatchers:
            self.dispatchers[service] = self._make_dispatcher(service)
        return self.dispatchers[service]

    def _find(self, attempt_id: str) -> tuple[PendingRequest, Attempt] | None:
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
