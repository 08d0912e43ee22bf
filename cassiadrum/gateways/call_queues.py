"""Requests that wait for an endpoint."""

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

    Answers bursts of one class: a less urgent class waits behind a more urgent one. Within a
    priority the request whose latency target ends first goes first, and those that are late
    already go last, so that a backlog does not make all that follow late as well.
    """

    def __init__(self) -> None:
        self._entries: list[QueuedCall] = []
        self._waiting: set[str] = set()
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, request_id: str, priority: int, target_s: float) -> None:
        """Add a request whose target ends at `target_s` in monotonic seconds."""
        self._waiting.add(request_id)
        self._entries.append(QueuedCall(priority, target_s, next(self._numbers), request_id))

    def remove(self, request_id: str) -> None:
        """Drop a request."""
        self._waiting.discard(request_id)

    def ordered(self, now: float) -> list[str]:
        """Return the waiting requests, the most urgent first."""
        self._entries = [entry for entry in self._entries if entry.request_id in self._waiting]
        self._entries.sort(key=lambda entry: (entry.priority, entry.target_s <= now, entry))
        return [entry.request_id for entry in self._entries]
