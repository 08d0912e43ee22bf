"""Base class of the request queues of an entry instance."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RequestQueue"]


class RequestQueue(ABC):
    """Bounded queue of the waiting requests of one service, in the order of service."""

    @abstractmethod
    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Add a request and return the evicted ones, which may include `req` itself."""

    def requeue(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Put back a popped request that did not run and return the evicted ones."""
        return self.push(req, now)

    @abstractmethod
    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request, or return None if the queue is empty."""

    @abstractmethod
    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request by its id, or return None if it is not in the queue."""

    @abstractmethod
    def expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""

    @abstractmethod
    def ahead_tokens(self, req: QueuedRequest) -> float:
        """Return the estimated output tokens of the requests that are served before `req`."""

    def protected_waiting(self) -> bool:
        """Return whether a protected request waits, which is then popped next."""
        return False

    @abstractmethod
    def __len__(self) -> int: ...
