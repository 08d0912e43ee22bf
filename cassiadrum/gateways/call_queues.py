"""Requests that wait for an endpoint."""

import heapq
from itertools import count
from typing import NamedTuple

__all__ = ["CallQueue", "QueuedCall"]


class QueuedCall(NamedTuple):
    """Order a waiting request by priority, then by the time until which it can be on time."""

    priority: int
    target_s: float
    number: int
    request_id: str


class CallQueue:
    """Keep waiting requests of one service, the most urgent first.

    Answers bursts of one class: a less urgent class waits behind a more urgent one, and within a
    priority the request whose latency target ends first goes first.
    """

    def __init__(self) -> None:
        self._heap: list[QueuedCall] = []
        self._waiting: set[str] = set()
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, request_id: str, priority: int, target_s: float) -> None:
        """Add a request whose target ends at `target_s` in monotonic seconds."""
        self._waiting.add(request_id)
        heapq.heappush(self._heap, QueuedCall(priority, target_s, next(self._numbers), request_id))

    def remove(self, request_id: str) -> None:
        """Drop a request."""
        self._waiting.discard(request_id)

    def ordered(self) -> list[str]:
        """Return the waiting requests, the most urgent first."""
        self._heap = [entry for entry in self._heap if entry.request_id in self._waiting]
        heapq.heapify(self._heap)
        return [entry.request_id for entry in sorted(self._heap)]
