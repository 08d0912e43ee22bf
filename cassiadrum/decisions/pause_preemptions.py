"""Preemption by pausing streams of lower tiers."""

from collections.abc import Collection, Iterable

from cassiadrum.decisions.preemption_policies import PreemptionPolicy
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.running_streams import RunningStream

__all__ = ["PausePreemption"]

# After this many pauses a stream runs to its end, so that its class is not starved.
MAX_PAUSES = 3


class PausePreemption(PreemptionPolicy):
    """Policy that pauses the lowest-tier stream with the fewest tokens for a protected request.

    Only streams of the classes in `pausable_classes` are paused.
    """

    def __init__(self, pausable_classes: Collection[str], max_pauses: int = MAX_PAUSES) -> None:
        self._pausable_classes = frozenset(pausable_classes)
        self._max_pauses = max_pauses

    def configure(self, pausable_classes: Collection[str]) -> None:
        """Replace the classes that may be paused."""
        self._pausable_classes = frozenset(pausable_classes)

    def choose_victim(
        self, req: QueuedRequest, running: Iterable[RunningStream], now: float
    ) -> str | None:
        """Return the request id of the stream to pause for `req`, or None if there is none."""
        if not req.protected:
            return None
        candidates = [stream for stream in running if self._may_pause(stream, req)]
        best = min(
            candidates,
            key=lambda stream: (-stream.req.tier, stream.tokens, -stream.changed_s),
            default=None,
        )
        return best.req.request_id if best else None

    def _may_pause(self, stream: RunningStream, req: QueuedRequest) -> bool:
        return (
            not stream.req.protected
            and stream.req.tier > req.tier
            and stream.req.class_name in self._pausable_classes
            and stream.pauses < self._max_pauses
        )
