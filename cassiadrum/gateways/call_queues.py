"""Requests that wait for an endpoint."""

from collections.abc import Hashable
from itertools import count
from typing import Generic, NamedTuple, TypeVar

__all__ = ["CallQueue"]

Waiter = TypeVar("Waiter", bound=Hashable)


class _Entry(NamedTuple, Generic[Waiter]):
    """Order a waiter by priority, then by the time until which it can be on time."""

    priority: int
    target_s: float
    number: int
    waiter: Waiter


class CallQueue(Generic[Waiter]):
    """Keep waiting requests of one service, the most urgent first.

    Answers bursts of one class: a less urgent class waits behind a more urgent one. Within a
    priority the request whose latency target ends first goes first, and those that are late
    already go last, so that a backlog does not make all that follow late as well. A waiter stands
    for one request; ids do not, since a caller that repeats a request uses its id again.
    """

    def __init__(self) -> None:
        self._entries: list[_Entry[Waiter]] = []
        self._waiting: set[Waiter] = set()
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, waiter: Waiter, priority: int, target_s: float) -> None:
        """Add a request whose target ends at `target_s` in monotonic seconds."""
        self._waiting.add(waiter)
        self._entries.append(_Entry(priority, target_s, next(self._numbers), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Drop a request."""
        self._waiting.discard(waiter)

    def has_preceding(self, priority: int, target_s: float) -> bool:
        """Return whether any waiting request goes before one that would be added now."""
        own = (priority, target_s)
        return any(
            (entry.priority, entry.target_s) < own
            for entry in self._entries
            if entry.waiter in self._waiting
        )

    def ordered(self, now: float) -> list[Waiter]:
        """Return the waiting requests, the most urgent first."""
        self._entries = [entry for entry in self._entries if entry.waiter in self._waiting]
        self._entries.sort(key=lambda entry: (entry.priority, entry.target_s <= now, entry))
        return [entry.waiter for entry in self._entries]
