"""Running attempts and the endpoints at which they run."""

from cassiadrum.decisions.actions import Action, Cancel
from cassiadrum.decisions.cancelled_copies import CancelledCopies, CancelledCopy
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.hedge_policies import HedgePolicy
from cassiadrum.decisions.outcomes import ExecutionStatus, Outcome
from cassiadrum.decisions.tracked_requests import TrackedRequest

__all__ = ["AttemptTable"]


class AttemptTable:
    """The running requests of a service with their copies.

    Reports every start and end of a copy to the endpoint chooser, and wasted tokens to the hedge
    policy.
    """

    def __init__(self, chooser: EndpointChooser, hedge: HedgePolicy) -> None:
        self._chooser = chooser
        self._hedge_policy = hedge
        self._lost: set[str] = set()
        # Software versions of the connected instances, empty for one that states none.
        self._versions: dict[str, str] = {}
        self._cancelled = CancelledCopies()
        self._unprotected = 0
        self.running: dict[str, TrackedRequest] = {}

    def report(self, rep: EndpointReport, now: float) -> None:
        """Apply a load report, which also proves that the connection works."""
        self._lost.discard(rep.instance)
        self._versions[rep.instance] = rep.version
        self._chooser.report(rep, now)

    def mark_lost(self, instance: str) -> None:
        """Start no new work at the instance until its next report."""
        self._lost.add(instance)

    def requests_at(self, instance: str) -> list[TrackedRequest]:
        """Return the running requests that have a copy at the instance."""
        return [tracked for tracked in self.running.values() if instance in tracked.copies]

    def remove(self, instance: str, now: float) -> None:
        """Remove an instance whose only remaining copies are cancelled ones."""
        self._lost.discard(instance)
        self._versions.pop(instance, None)
        for copy in self._cancelled.pop_instance(instance):
            self._end_copy(copy, 0, now)
        self._chooser.remove(instance)

    def has_available_endpoint(self) -> bool:
        """Return whether any connected endpoint can take new work."""
        return self._available_excluding(self._lost) > 0

    def free_slots(self) -> int:
        """Return the number of free slots, 0 when no endpoint is available."""
        return self._chooser.free_slots() if self.has_available_endpoint() else 0

    def all_protected(self) -> bool:
        """Return whether all running requests are protected."""
        return self._unprotected == 0

    def default_instance(self, request_id: str) -> str:
        """Return the instance that an event without one refers to, empty if no copy runs."""
        tracked = self.running.get(request_id)
        if tracked is not None:
            return tracked.primary_instance()
        return min(self._cancelled.instances(request_id), default="")

    def choose(self, tracked: TrackedRequest, now: float) -> str | None:
        """Return an instance for the next copy of the request.

        The instance of the last failure is avoided as long as another one is available.
        """
        exclude = self._lost | set(tracked.copies)
        exclude |= self._cancelled.instances(tracked.req.request_id)
        if tracked.version is not None:
            exclude |= {name for name in self._versions if not self._fits(tracked, name)}
        if self._available_excluding(exclude | {tracked.last_failed_instance}):
            exclude.add(tracked.last_failed_instance)
        return self._chooser.choose(tracked.req, now, exclude)

    def keep_version(self, tracked: TrackedRequest, instance: str) -> None:
        """Keep a request at the software version of an instance that gave a part of its answer."""
        if tracked.version is None:
            tracked.version = self._versions.get(instance, "")

    def has_fitting_endpoint(self, tracked: TrackedRequest) -> bool:
        """Return whether an endpoint that can take work may go on with a request's answer."""
        return tracked.version is None or any(
            self._fits(tracked, name) and self._chooser.is_available(name)
            for name in self._versions.keys() - self._lost
        )

    def _fits(self, tracked: TrackedRequest, instance: str) -> bool:
        """Return whether an instance has the version that began an answer; no one may guess."""
        return bool(tracked.version) and self._versions[instance] == tracked.version

    def start(self, tracked: TrackedRequest, instance: str, now: float) -> None:
        """Record the start of a copy."""
        if tracked.req.request_id not in self.running:
            self.running[tracked.req.request_id] = tracked
            self._unprotected += not tracked.req.protected
        tracked.copies[instance] = now
        self._chooser.dispatched(instance, tracked.req, now)

    def end(self, tracked: TrackedRequest, instance: str, outcome: Outcome, now: float) -> float:
        """Record the end of a copy and return its duration in seconds."""
        # A rejection as not run is no sign of a failing endpoint.
        if not outcome.ok and outcome.ran is ExecutionStatus.NOT_EXECUTED:
            self._chooser.rejected(instance, tracked.req.request_id, now)
        else:
            self._chooser.finished(instance, tracked.req.request_id, outcome.ok, now)
        started_s = tracked.copies.pop(instance)
        if not tracked.copies:
            self._remove_request(tracked)
        return now - started_s

    def cancel(self, tracked: TrackedRequest, keep: str, now: float) -> list[Action]:
        """Cancel all copies except the one at `keep`; an empty `keep` cancels the request."""
        actions: list[Action] = []
        for instance in [name for name in tracked.copies if name != keep]:
            hedge = bool(keep)
            request_id = tracked.req.request_id
            self._cancelled.add(CancelledCopy(request_id, instance, hedge, now))
            del tracked.copies[instance]
            actions.append(Cancel(request_id, instance))
        if not tracked.copies:
            self._remove_request(tracked)
        return actions

    def end_cancelled(self, request_id: str, instance: str, tokens: int, now: float) -> bool:
        """Record the end of a cancelled copy; return False if the copy was not cancelled."""
        copy = self._cancelled.pop(request_id, instance)
        if copy is not None:
            self._end_copy(copy, tokens, now)
        return copy is not None

    def release_overdue(self, now: float) -> None:
        """Free the slots of cancelled copies whose end was not reported in time."""
        for copy in self._cancelled.pop_overdue(now):
            self._end_copy(copy, 0, now)

    def _available_excluding(self, excluded: set[str]) -> int:
        return self._chooser.available_count() - sum(
            self._chooser.is_available(name) for name in excluded
        )

    def _end_copy(self, copy: CancelledCopy, tokens: int, now: float) -> None:
        self._chooser.finished(copy.instance, copy.request_id, True, now)
        if copy.hedge:
            self._hedge_policy.add_wasted_tokens(tokens)
            self._hedge_policy.record_hedge_ended()

    def _remove_request(self, tracked: TrackedRequest) -> None:
        if self.running.pop(tracked.req.request_id, None) is not None:
            self._unprotected -= not tracked.req.protected
