"""Preemption by pausing lower-tier streams."""

from collections.abc import Collection, Iterable

from cassiadrum.decisions.preemption_policies import PreemptionPolicy
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.running_streams import RunningStream

__all__ = ["PausePreemption"]

# A stream that was paused this often runs to its end, so its class is eventually served.
MAX_PAUSES = 3


class PausePreemption(PreemptionPolicy):
    """Pause the lowest-tier, least-progressed stream for a protected request.

    `pausable_classes` names the classes whose effect may be cut; all others are never paused.
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
        """Return the stream to pause, or None when none may be paused for `req`."""
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
