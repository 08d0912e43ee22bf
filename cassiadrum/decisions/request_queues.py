"""Base class of the queues in which requests wait at an entry instance."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RequestQueue"]


class RequestQueue(ABC):
    """Keep waiting requests of one service, bounded, in the order in which they are served."""

    @abstractmethod
    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Add a request and return those evicted for it, which may include `req` itself."""

    def requeue(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Put back a popped request that did not run and return those evicted for it."""
        return self.push(req, now)

    @abstractmethod
    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request, or None when nothing waits."""

    @abstractmethod
    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request by its id and return it, or None when it does not wait here."""

    @abstractmethod
    def expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""

    @abstractmethod
    def ahead_tokens(self, req: QueuedRequest) -> float:
        """Return the estimated output tokens that are served before `req` would be."""

    def protected_waiting(self) -> bool:
        """Return whether a protected request waits; it is then the next to be popped."""
        return False

    @abstractmethod
    def __len__(self) -> int: ...
