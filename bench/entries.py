"""Simulated entry instance."""

from collections.abc import Callable

from bench.calls import Call
from bench.event_loops import EventLoop
from bench.links import LINK_LATENCY_S
from bench.run_records import RunRecords
from bench.safety_checks import SafetyCheck
from bench.sidecars import Sidecar
from cassiadrum.decisions import (
    Action,
    Cancel,
    Dispatch,
    Dispatcher,
    EndpointReport,
    Hedge,
    Outcome,
)

__all__ = ["Entry"]

TICK_INTERVAL_S = 0.25
MAX_RESENDS = 50


class Entry:
    """Runs one dispatcher for each service and executes the dispatchers' actions."""

    def __init__(
        self,
        *,
        loop: EventLoop,
        dispatchers: dict[str, Dispatcher],
        sidecars: dict[str, Sidecar],
        records: RunRecords,
        safety: SafetyCheck,
        resend_after_s: Callable[[str, str], float] | None = None,
    ) -> None:
        self._loop = loop
        self._dispatchers = dispatchers
        self._sidecars = sidecars
        self._records = records
        self._safety = safety
        self._resend_after_s = resend_after_s
        self._calls: dict[str, Call] = {}
        # Instances with an unfinished attempt, by request id.
        self._attempt_instances: dict[str, list[str]] = {}
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def submit(self, call: Call) -> None:
        """Accept a caller's request."""
        self._records.open_calls += 1
        self._safety.opened(call)
        if call.disconnects_at_s != float("inf"):
            self._loop.call_at(call.disconnects_at_s, self._on_caller_left, call)
        self._send(call)

    def started(self, instance: str, request_id: str) -> None:
        """Handle the first token of an attempt.

        The caller reads the stream of this attempt from now on, unless it already reads another.
        """
        call = self._calls[request_id]
        dispatcher = self._dispatchers[call.req.service]
        if self._sidecars[instance].streams_tokens:
            self._execute(dispatcher.progressed(instance, request_id, 1, self._loop.now))
        if (
            call.is_open
            and not call.active_instance
            and instance in self._attempt_instances.get(request_id, ())
        ):
            call.active_instance = instance
            if call.first_token_at_s is None:
                call.first_token_at_s = self._loop.now
            elif call.last_token_at_s is not None:
                call.add_gaps({self._loop.now - call.last_token_at_s: 1.0})

    def progressed(self, instance: str, counts: list[tuple[str, int]]) -> None:
        """Handle the token counts of several streams."""
        dispatcher = self._dispatchers[self._sidecars[instance].service]
        for request_id, tokens in counts:
            actions = dispatcher.progressed(instance, request_id, tokens, self._loop.now)
            self._execute(actions)

    def ended(self, instance: str, request_id: str, outcome: Outcome) -> None:
        """Handle the end of an attempt."""
        call = self._calls[request_id]
        instances = self._attempt_instances[request_id]
        instances.remove(instance)
        is_active = call.active_instance == instance
        if is_active:
            call.active_instance = ""
        dispatcher = self._dispatchers[call.req.service]
        if call.is_open and outcome.ok and (is_active or not call.active_instance):
            self._close(call, "done")
        self._execute(dispatcher.finished(request_id, outcome, self._loop.now, instance))

    def load_reported(self, service: str, rep: EndpointReport) -> None:
        """Handle a load report."""
        self._execute(self._dispatchers[service].report(rep, self._loop.now))

    def prefixes_cached(self, service: str, instance: str, keys: list[int]) -> None:
        """Handle cache events."""
        self._dispatchers[service].observe_cached_prefixes(instance, keys, self._loop.now)

    def _send(self, call: Call) -> None:
        request_id = call.req.request_id
        self._calls[request_id] = call
        self._attempt_instances[request_id] = []
        if self._resend_after_s is not None:
            wait_s = self._resend_after_s(call.req.service, call.req.class_name)
            self._loop.call_later(wait_s, self._resend, call, request_id)
        dispatcher = self._dispatchers[call.req.service]
        self._execute(dispatcher.submit(call.req, self._loop.now))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Dispatch | Hedge):
                self._dispatch(action)
            elif isinstance(action, Cancel):
                self._cancel(action.request_id, action.instance, "duplicate")
            else:
                call = self._calls[action.req.request_id]
                if call.is_open and call.req.request_id == action.req.request_id:
                    self._safety.refused(action.req, action.reason)
                    self._records.refusals[action.req.service, action.reason] += 1
                    self._close(call, action.reason)

    def _dispatch(self, action: Dispatch | Hedge) -> None:
        call = self._calls[action.req.request_id]
        self._attempt_instances[action.req.request_id].append(action.instance)
        sidecar = self._sidecars[action.instance]
        self._loop.call_later(LINK_LATENCY_S, sidecar.receive, call, action.req, self)

    def _cancel(self, request_id: str, instance: str, reason: str) -> None:
        self._loop.call_later(LINK_LATENCY_S, self._sidecars[instance].cancel, request_id, reason)

    def _on_caller_left(self, call: Call) -> None:
        if call.is_open:
            self._close(call, "cancelled")
            self._cancel_attempts(call, call.req.request_id, "cancelled")

    def _cancel_attempts(self, call: Call, request_id: str, reason: str) -> None:
        dispatcher = self._dispatchers[call.req.service]
        for action in dispatcher.cancelled(request_id, self._loop.now):
            if isinstance(action, Cancel):
                self._cancel(request_id, action.instance, reason)
            else:
                self._execute([action])

    def _resend(self, call: Call, request_id: str) -> None:
        """Send a request again from its start, as a caller does after its timeout."""
        if not call.is_open or call.req.request_id != request_id or not call.req.idempotent:
            return
        base, _, count = request_id.partition("~")
        if int(count or 0) >= MAX_RESENDS or self._loop.now >= call.req.deadline_s:
            return
        self._records.wasted[call.req.service, "resent"] += call.delivered
        call.delivered, call.active_instance = 0.0, ""
        call.req = call.req._replace(request_id=f"{base}~{int(count or 0) + 1}")
        self._cancel_attempts(call, request_id, "resent")
        self._send(call)

    def _close(self, call: Call, result: str) -> None:
        call.ended_at_s = self._loop.now
        call.result = result
        if result != "done" and call.delivered:
            self._records.wasted[call.req.service, result] += call.delivered
        self._records.open_calls -= 1
        self._safety.closed(call)

    def _tick(self) -> None:
        for dispatcher in self._dispatchers.values():
            self._execute(dispatcher.tick(self._loop.now))
        self._loop.call_later(TICK_INTERVAL_S, self._tick)
