"""Base class of preemption policies."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.running_streams import RunningStream

__all__ = ["PreemptionPolicy"]


class PreemptionPolicy(ABC):
    """Decides which running stream is paused for a waiting request."""

    @abstractmethod
    def choose_victim(
        self, req: QueuedRequest, running: Iterable[RunningStream], now: float
    ) -> str | None:
        """Return the request id of the stream to pause for `req`, or None."""
