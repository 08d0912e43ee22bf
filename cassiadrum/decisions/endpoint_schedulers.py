"""Scheduling of requests on one endpoint by its sidecar."""

from cassiadrum.decisions.concurrency_limits import ConcurrencyLimit
from cassiadrum.decisions.fixed_limits import FixedLimit
from cassiadrum.decisions.preemption_policies import PreemptionPolicy
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.running_streams import RunningStream
from cassiadrum.decisions.scheduler_actions import Pause, Reject, Resume, SchedulerAction, Start
from cassiadrum.defaults import LIMITS

__all__ = ["EndpointScheduler"]


def queue_rank(req: QueuedRequest) -> tuple[bool, int, float]:
    """Return the sort key of the short queue; the lowest key is served first."""
    return (not req.protected, req.tier, req.arrived_s)


class EndpointScheduler:
    """Scheduler that runs requests up to a limit, queues a few and rejects the rest as not run.

    `queue_limit` bounds the short queue; None means SIDECAR_QUEUE_PER_SLOT requests per slot.
    Without `preemption`, for example on an endpoint that cannot pause streams, protected requests
    wait for the next free slot. All times are monotonic seconds.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit | int,
        queue_limit: int | None = None,
        preemption: PreemptionPolicy | None = None,
    ) -> None:
        self._limit = FixedLimit(limit) if isinstance(limit, int) else limit
        self._queue_limit = queue_limit
        self._preemption = preemption
        self._running: dict[str, RunningStream] = {}
        self._paused: dict[str, RunningStream] = {}
        # Waiting requests by id, with their arrival times at this scheduler.
        self._waiting: dict[str, tuple[QueuedRequest, float]] = {}
        self._draining = False

    @property
    def limit(self) -> int:
        """Return the current concurrency limit."""
        return self._limit.limit

    def running(self) -> int:
        """Return the number of running streams, not counting paused ones."""
        return len(self._running)

    def paused(self) -> int:
        """Return the number of paused streams."""
        return len(self._paused)

    def waiting(self) -> int:
        """Return the number of requests in the short queue."""
        return len(self._waiting)

    def submit(self, req: QueuedRequest, now: float) -> list[SchedulerAction]:
        """Schedule a request from an entry instance; duplicates of a known request are ignored."""
        if any(req.request_id in held for held in (self._running, self._paused, self._waiting)):
            return []
        if self._draining:
            return [Reject(req, "draining")]
        self._waiting[req.request_id] = (req, now)
        return self._schedule(now)

    def progressed(self, request_id: str, tokens: int, now: float) -> None:
        """Count tokens that a running stream has produced since the last call."""
        stream = self._running.get(request_id)
        if stream is not None:
            self._running[request_id] = stream._replace(tokens=stream.tokens + tokens)

    def observe_latency(
        self, request_id: str, first_token_s: float, inter_token_s: float, now: float
    ) -> list[SchedulerAction]:
        """Record the measured latencies of a running stream, in seconds."""
        stream = self._running.get(request_id)
        # The latencies of a paused stream include the pause, so they do not describe the endpoint.
        if stream is None or stream.pauses:
            return []
        self._limit.observe(
            first_token_s, inter_token_s, len(self._running), now, stream.req.class_name
        )
        return self._schedule(now)

    def finished(self, request_id: str, now: float) -> list[SchedulerAction]:
        """Handle the end of a started request, running or paused."""
        self._running.pop(request_id, None)
        self._paused.pop(request_id, None)
        return self._schedule(now)

    def cancel_waiting(self, request_id: str, now: float) -> bool:
        """Drop a waiting request; return False if it is not in the short queue."""
        return self._waiting.pop(request_id, None) is not None

    def drain(self, now: float) -> list[SchedulerAction]:
        """Reject all waiting and future requests as not run; paused streams still resume."""
        self._draining = True
        rejected = sorted((req for req, _ in self._waiting.values()), key=queue_rank)
        self._waiting.clear()
        return [Reject(req, "draining") for req in rejected]

    def _schedule(self, now: float) -> list[SchedulerAction]:
        actions = self._fill_slots(now)
        actions += self._preempt_for_protected(now)
        return actions + self._reject_excess()

    def _fill_slots(self, now: float) -> list[SchedulerAction]:
        actions: list[SchedulerAction] = []
        while len(self._running) < self.limit:
            candidate = self._next_request_id(now)
            if candidate is None:
                break
            actions.append(self._start_or_resume(candidate, now))
        return actions

    def _next_request_id(self, now: float) -> str | None:
        """Return the id of the waiting or paused request that gets the next free slot."""
        ranked = [
            (stream.req.tier, 0, stream.req.arrived_s, stream.changed_s, stream.req)
            for stream in self._paused.values()
        ]
        # Paused streams hold KV cache, so only protected requests are started while there are as
        # many paused streams as slots.
        only_protected = len(self._paused) >= self.limit
        ranked += [
            (req.tier, 1, req.arrived_s, since, req)
            for req, since in self._waiting.values()
            if req.protected or not only_protected
        ]
        best = min(
            ranked,
            # Unprotected requests that exceeded their class's longest wait precede all other
            # unprotected ones, so that constant load of higher tiers cannot starve them.
            key=lambda item: (
                not item[4].protected,
                now - item[3] < item[4].max_wait_s,
                item[:3],
            ),
            default=None,
        )
        return best[4].request_id if best else None

    def _start_or_resume(self, request_id: str, now: float) -> SchedulerAction:
        stream = self._paused.pop(request_id, None)
        if stream is not None:
            self._running[request_id] = stream._replace(changed_s=now)
            return Resume(request_id)
        req, _ = self._waiting.pop(request_id)
        self._running[request_id] = RunningStream(req, now)
        return Start(req)

    def _preempt_for_protected(self, now: float) -> list[SchedulerAction]:
        """Pause streams to start protected requests that found no free slot."""
        actions: list[SchedulerAction] = []
        protected = sorted(
            (req for req, _ in self._waiting.values() if req.protected), key=queue_rank
        )
        for req in protected:
            pauses = self._pause_for(req, now)
            if not pauses:
                break
            actions += [*pauses, self._start_or_resume(req.request_id, now)]
        return actions

    def _pause_for(self, req: QueuedRequest, now: float) -> list[SchedulerAction]:
        """Pause streams until `req` fits; only a lowered limit requires more than one pause."""
        pauses: list[SchedulerAction] = []
        while self._preemption is not None and len(self._running) >= self.limit:
            victim = self._preemption.choose_victim(req, self._running.values(), now)
            if victim is None:
                break
            stream = self._running.pop(victim)
            self._paused[victim] = stream._replace(changed_s=now, pauses=stream.pauses + 1)
            pauses.append(Pause(victim))
        return pauses

    def _reject_excess(self) -> list[SchedulerAction]:
        """Reject the lowest-ranked requests that exceed the bound of the short queue."""
        bound = self._queue_limit
        if bound is None:
            bound = LIMITS.SIDECAR_QUEUE_PER_SLOT * self.limit
        actions: list[SchedulerAction] = []
        while len(self._waiting) > bound:
            req = max((req for req, _ in self._waiting.values()), key=queue_rank)
            del self._waiting[req.request_id]
            actions.append(Reject(req, "overloaded"))
        return actions
