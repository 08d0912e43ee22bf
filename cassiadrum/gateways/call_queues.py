"""Priority queue of the requests that wait for an endpoint."""

from collections.abc import Hashable
from itertools import count
from typing import Generic, NamedTuple, TypeVar

__all__ = ["CallQueue"]

Waiter = TypeVar("Waiter", bound=Hashable)


class _Entry(NamedTuple, Generic[Waiter]):
    """A queued request, ordered by priority, then by the end of its latency target."""

    priority: int
    target_s: float
    number: int
    waiter: Waiter


class CallQueue(Generic[Waiter]):
    """The queued requests of one service, most urgent first.

    A less urgent class waits behind a more urgent one. Within a priority, the request whose
    latency target ends first goes first, and requests past their target go last, so that a
    backlog does not make all later requests miss their targets too. A waiter represents one
    request; a request id does not, since a caller reuses it for a retry.
    """

    def __init__(self) -> None:
        self._entries: list[_Entry[Waiter]] = []
        self._waiting: set[Waiter] = set()
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, waiter: Waiter, priority: int, target_s: float) -> None:
        """Add a request whose latency target ends at `target_s`, in monotonic seconds."""
        self._waiting.add(waiter)
        self._entries.append(_Entry(priority, target_s, next(self._numbers), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; an unknown one is ignored."""
        self._waiting.discard(waiter)

    def has_preceding(self, priority: int, target_s: float) -> bool:
        """Return whether any queued request goes before one with this priority and target."""
        own = (priority, target_s)
        return any(
            (entry.priority, entry.target_s) < own
            for entry in self._entries
            if entry.waiter in self._waiting
        )

    def ordered(self, now: float) -> list[Waiter]:
        """Return the queued requests, most urgent first."""
        self._entries = [entry for entry in self._entries if entry.waiter in self._waiting]
        self._entries.sort(key=lambda entry: (entry.priority, entry.target_s <= now, entry))
        return [entry.waiter for entry in self._entries]
