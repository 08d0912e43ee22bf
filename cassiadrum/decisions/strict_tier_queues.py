"""Bounded queue in strict tier order."""

from collections import deque

from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue

__all__ = ["StrictTierQueue"]


class StrictTierQueue(RequestQueue):
    """Queue that serves the highest tier first, and requests of a tier in order of arrival."""

    def __init__(self, capacity: int, tokens_per_request: float = 200.0) -> None:
        self._capacity = capacity
        self._tokens_per_request = tokens_per_request
        self._tiers: dict[int, deque[QueuedRequest]] = {}

    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Add a request; on overflow evict the newest of the lowest tier."""
        self._tiers.setdefault(req.tier, deque()).append(req)
        if len(self) <= self._capacity:
            return []
        lowest = max(tier for tier, waiting in self._tiers.items() if waiting)
        return [self._tiers[lowest].pop()]

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the oldest request of the highest tier."""
        for tier in sorted(self._tiers):
            if self._tiers[tier]:
                return self._tiers[tier].popleft()
        return None

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request by its id."""
        for waiting in self._tiers.values():
            for req in waiting:
                if req.request_id == request_id:
                    waiting.remove(req)
                    return req
        return None

    def expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [req for tier in self._tiers.values() for req in tier if req.deadline_s <= now]
        for req in expired:
            self._tiers[req.tier].remove(req)
        return expired

    def ahead_tokens(self, req: QueuedRequest) -> float:
        """Return the estimated tokens of all requests of the same and of higher tiers."""
        ahead = sum(len(waiting) for tier, waiting in self._tiers.items() if tier <= req.tier)
        return ahead * self._tokens_per_request

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._tiers.values())
