"""Request handling of one service at an entry instance, from admission to the last attempt."""

from collections.abc import Callable, Collection

from cassiadrum.decisions.actions import Action, Dispatch, Hedge, Refuse
from cassiadrum.decisions.admission_decisions import Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.attempt_tables import AttemptTable
from cassiadrum.decisions.budget_retry_policies import BudgetRetryPolicy
from cassiadrum.decisions.deadline_admissions import DeadlineAdmission
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.length_estimators import LengthEstimator
from cassiadrum.decisions.outcomes import ExecutionStatus, Outcome
from cassiadrum.decisions.quantile_length_estimators import QuantileLengthEstimator
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.retry_policies import RetryPolicy
from cassiadrum.decisions.tracked_requests import TrackedRequest
from cassiadrum.decisions.wait_predictors import WaitPredictor
from cassiadrum.decisions.waste_bound_hedge_policies import WasteBoundHedgePolicy

__all__ = ["Dispatcher"]

# Longer than the 3 s of silence after which a connection is redialled, so that a reconnect refuses
# no requests. After this time, callers are refused at once.
NO_ENDPOINT_TIMEOUT_S = 5.0
# Limits how many requests without a usable endpoint one event skips to reach those behind them.
MAX_SKIPPED_REQUESTS = 8


class Dispatcher:
    """State machine that turns the events of one service into actions.

    `now` is in monotonic seconds. The caller must carry out the returned actions in order.
    Requests of the classes in `uncancellable` are neither hedged nor cancelled after dispatch.
    """

    def __init__(
        self,
        queue: RequestQueue,
        chooser: EndpointChooser,
        *,
        admission: Admission | None = None,
        estimator: LengthEstimator | None = None,
        retry: RetryPolicy | None = None,
        hedge: HedgePolicy | None = None,
        uncancellable: Collection[str] = (),
    ) -> None:
        self._queue = queue
        self._chooser = chooser
        self._retry_policy = retry or BudgetRetryPolicy()
        self._hedge_policy = hedge or WasteBoundHedgePolicy()
        self._uncancellable = uncancellable
        self._attempts = AttemptTable(chooser, self._hedge_policy)
        self._predictor = WaitPredictor(
            queue,
            self._attempts,
            admission or DeadlineAdmission(),
            estimator or QuantileLengthEstimator(),
        )
        # Returns whether a second copy of a running request may be sent, by its id.
        self.allows_hedge: Callable[[str], bool] = lambda request_id: True
        self._waiting: dict[str, TrackedRequest] = {}
        self._disconnected_s: float | None = None

    def submit(self, req: QueuedRequest, now: float) -> list[Action]:
        """Admit or refuse a new request; raise ValueError if its id is in use."""
        if req.request_id in self._waiting or req.request_id in self._attempts.running:
            raise ValueError(f"request {req.request_id} is already waiting or running")
        self._update_connection_state(now)
        decision = self._predictor.decide(req, now)
        if isinstance(decision, Rejected):
            return [
                Refuse(req, decision.reason, ExecutionStatus.NOT_EXECUTED, decision.retry_after_s)
            ]
        self._waiting[req.request_id] = TrackedRequest(req, decision, now)
        evicted = self._queue.push(req, now)
        if req not in evicted:
            self._retry_policy.record_accepted(req)
        return self._refuse_evicted(evicted, req) + self._dispatch_waiting(now)

    def report(self, rep: EndpointReport, now: float) -> list[Action]:
        """Apply an endpoint's load report, which also ends the effect of `endpoint_lost`."""
        self._attempts.report(rep, now)
        self._update_connection_state(now)
        return self._dispatch_waiting(now)

    def endpoint_lost(self, instance: str, now: float) -> list[Action]:
        """Send an endpoint no new work after its connection broke; its streams may reattach."""
        self._attempts.mark_lost(instance)
        self._update_connection_state(now)
        return self._dispatch_waiting(now)

    def endpoint_removed(self, instance: str, now: float) -> list[Action]:
        """Remove an endpoint permanently; its attempts fail with `ran` unknown."""
        actions: list[Action] = []
        failure = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, reason="answer_lost")
        for tracked in self._attempts.requests_at(instance):
            actions += self._end_attempt(tracked, instance, failure, now)
        self._attempts.remove(instance, now)
        self._update_connection_state(now)
        return actions + self._dispatch_waiting(now)

    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> list[Action]:
        """Count tokens that arrived; the first one of a hedged request cancels the other copy."""
        self._chooser.progressed(instance, request_id, tokens, now)
        tracked = self._attempts.running.get(request_id)
        if tracked is None or tracked.winner or tokens <= 0 or instance not in tracked.copies:
            return []
        tracked.winner = instance
        self._attempts.keep_version(tracked, instance)
        waited_s = now - min(tracked.copies.values())
        self._hedge_policy.observe_first_token(tracked.req.class_name, waited_s)
        return self._attempts.cancel(tracked, instance, now)

    def observe_cached_prefixes(self, instance: str, keys: Collection[int], now: float) -> None:
        """Record prefixes that an endpoint reported as cached."""
        self._chooser.observe_cached_prefixes(instance, keys, now)

    def finished(
        self, request_id: str, outcome: Outcome, now: float, instance: str = ""
    ) -> list[Action]:
        """Handle the end of an attempt and retry a failed one if that is allowed.

        `instance` distinguishes the copies of a hedged request and is required for the end of a
        cancelled copy. If empty, it defaults to the instance whose copy answers.
        """
        instance = instance or self._attempts.default_instance(request_id)
        if self._attempts.end_cancelled(request_id, instance, outcome.tokens, now):
            return self._dispatch_waiting(now)
        tracked = self._attempts.running.get(request_id)
        if tracked is None or instance not in tracked.copies:
            return []
        return self._end_attempt(tracked, instance, outcome, now) + self._dispatch_waiting(now)

    def cancelled(self, request_id: str, now: float) -> list[Action]:
        """Drop a request whose caller disconnected and cancel its copies if that is allowed."""
        if self._queue.remove(request_id) is not None:
            del self._waiting[request_id]
            return self._dispatch_waiting(now)
        tracked = self._attempts.running.get(request_id)
        if tracked is None:
            return []
        if tracked.req.class_name in self._uncancellable:
            tracked.abandoned = True
            return []
        return self._attempts.cancel(tracked, "", now)

    def tick(self, now: float) -> list[Action]:
        """Refuse requests that waited too long, dispatch what fits and hedge slow requests."""
        self._attempts.release_overdue(now)
        self._update_connection_state(now)
        return self._refuse_disconnected(now) + self._dispatch_waiting(now) + self._hedge_slow(now)

    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def running(self) -> int:
        """Return the number of dispatched requests."""
        return len(self._attempts.running)

    def predicted_wait_s(self, req: QueuedRequest) -> float:
        """Return the predicted wait, in seconds, of the request if it arrived now."""
        return self._predictor.predict_s(req)

    def _end_attempt(
        self, tracked: TrackedRequest, instance: str, outcome: Outcome, now: float
    ) -> list[Action]:
        duration_s = self._attempts.end(tracked, instance, outcome, now)
        if outcome.ok:
            self._hedge_policy.add_useful_tokens(outcome.tokens)
            self._predictor.observe_success(tracked.req, outcome.tokens, duration_s)
            return self._attempts.cancel(tracked, instance, now)
        tracked.record_failure(instance, outcome.ran)
        if outcome.tokens > 0:
            self._attempts.keep_version(tracked, instance)
        if tracked.copies:
            self._hedge_policy.add_wasted_tokens(outcome.tokens)
            self._hedge_policy.record_hedge_ended()
            return []
        return self._after_failure(tracked, outcome, now)

    def _after_failure(
        self, tracked: TrackedRequest, outcome: Outcome, now: float
    ) -> list[Action]:
        if tracked.abandoned:
            return []
        req, ran = tracked.req, tracked.attempt_ran
        may_repeat = tracked.may_repeat and not outcome.final
        if may_repeat and self._allows_retry(tracked, outcome, now):
            tracked.begin_next_attempt()
            self._waiting[req.request_id] = tracked
            # `requeue` also reverses the charge to the customer for work that did not run.
            enqueue = (
                self._queue.requeue if ran is ExecutionStatus.NOT_EXECUTED else self._queue.push
            )
            return self._refuse_evicted(enqueue(tracked.req, now))
        retry_after_s = outcome.retry_after_s or self._predictor.retry_after_s(req)
        return [Refuse(req, outcome.reason or "endpoint_failed", tracked.ran, retry_after_s)]

    def _allows_retry(self, tracked: TrackedRequest, outcome: Outcome, now: float) -> bool:
        if not self._attempts.has_fitting_endpoint(tracked):
            return False
        counted = tracked.req._replace(attempt=tracked.attempts_with_same_outcome)
        if outcome.tokens > 0 and tracked.attempt_ran is not ExecutionStatus.NOT_EXECUTED:
            return self._retry_policy.may_continue(counted, now)
        return self._retry_policy.may_retry(counted, tracked.attempt_ran, now)

    def _refuse_evicted(
        self, evicted: list[QueuedRequest], new: QueuedRequest | None = None
    ) -> list[Action]:
        return [
            self._refuse_waiting(req, "overloaded" if req == new else "evicted") for req in evicted
        ]

    def _refuse_waiting(self, req: QueuedRequest, reason: str) -> Action:
        tracked = self._waiting.pop(req.request_id)
        return Refuse(req, reason, tracked.ran, self._predictor.retry_after_s(req))

    def _update_connection_state(self, now: float) -> None:
        if self._attempts.has_available_endpoint():
            self._disconnected_s = None
        elif self._disconnected_s is None:
            self._disconnected_s = now

    def _refuse_disconnected(self, now: float) -> list[Action]:
        since_s = self._disconnected_s
        if since_s is None or now - since_s < NO_ENDPOINT_TIMEOUT_S:
            return []
        actions = []
        while (req := self._queue.pop(now)) is not None:
            actions.append(self._refuse_waiting(req, "no_endpoint"))
        return actions

    def _dispatch_waiting(self, now: float) -> list[Action]:
        expired = self._queue.expired(now)
        actions = [self._refuse_waiting(req, "deadline") for req in expired]
        skipped: list[QueuedRequest] = []
        while len(skipped) < MAX_SKIPPED_REQUESTS and self._may_dispatch():
            req = self._queue.pop(now)
            if req is None:
                break
            tracked = self._waiting[req.request_id]
            instance = self._attempts.choose(tracked, now)
            if instance is None and not self._attempts.has_fitting_endpoint(tracked):
                actions.append(self._refuse_waiting(req, "no_endpoint"))
                continue
            if instance is None:
                skipped.append(req)
                continue
            del self._waiting[req.request_id]
            self._attempts.start(tracked, instance, now)
            self._predictor.observe_dispatch(tracked, now)
            actions.append(Dispatch(req, instance))
        for req in reversed(skipped):
            actions += self._refuse_evicted(self._queue.requeue(req, now))
        return actions

    def _may_dispatch(self) -> bool:
        # Protected requests may also enter a full endpoint's short queue; `choose` decides that.
        return self._attempts.free_slots() > 0 or self._queue.protected_waiting()

    def _hedge_slow(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for tracked in self._attempts.running.values():
            if not self._may_hedge(tracked, now):
                continue
            instance = self._attempts.choose(tracked, now)
            if instance is not None:
                self._attempts.start(tracked, instance, now)
                self._hedge_policy.record_hedge_started()
                actions.append(Hedge(tracked.req, instance))
        return actions

    def _may_hedge(self, tracked: TrackedRequest, now: float) -> bool:
        req = tracked.req
        if not tracked.may_be_hedged or req.class_name in self._uncancellable:
            return False
        if not self.allows_hedge(req.request_id):
            return False
        return self._hedge_policy.may_hedge(req, now - min(tracked.copies.values()), now)
