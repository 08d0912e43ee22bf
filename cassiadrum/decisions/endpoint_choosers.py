"""Base class of endpoint selection."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["EndpointChooser"]


class EndpointChooser(ABC):
    """The connected endpoints of one service, with a strategy to choose one for each request."""

    @abstractmethod
    def report(self, rep: EndpointReport, now: float) -> None:
        """Apply a load report; the first one of an instance adds the endpoint."""

    @abstractmethod
    def remove(self, instance: str) -> None:
        """Remove an endpoint, for example after its connection is lost."""

    @abstractmethod
    def dispatched(self, instance: str, req: QueuedRequest, now: float) -> None:
        """Count a dispatch, which load reports do not include yet."""

    @abstractmethod
    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> None:
        """Count the tokens that arrived for a stream since the last call."""

    @abstractmethod
    def finished(self, instance: str, request_id: str, ok: bool, now: float) -> None:
        """Count the end of an attempt; `ok` is False when the endpoint failed it."""

    def rejected(self, instance: str, request_id: str, now: float) -> None:
        """Count an attempt that the endpoint rejected as not run."""
        self.finished(instance, request_id, True, now)

    @abstractmethod
    def observe_cached_prefixes(self, instance: str, keys: Collection[int], now: float) -> None:
        """Record prefix keys that the endpoint reported as cached."""

    @abstractmethod
    def choose(self, req: QueuedRequest, now: float, exclude: Collection[str] = ()) -> str | None:
        """Return the instance to send the request to, or None when none has a free slot."""

    @abstractmethod
    def free_slots(self) -> int:
        """Return the number of requests that can be dispatched now."""

    @abstractmethod
    def available_instances(self) -> Collection[str]:
        """Return the endpoints that may take new work."""

    def available_count(self) -> int:
        """Return the number of endpoints that may take new work."""
        return len(self.available_instances())

    def is_available(self, instance: str) -> bool:
        """Return whether the endpoint may take new work."""
        return instance in self.available_instances()
