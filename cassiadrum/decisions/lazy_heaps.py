"""Heap with lazy deletion."""

import heapq
from typing import Any

from cassiadrum.decisions.operation_counters import OperationCounter

__all__ = ["LazyHeap"]

# In smaller heaps, stale entries waste too little memory to justify the cost of compaction.
COMPACT_MIN_ENTRIES = 16


class LazyHeap:
    """Min-heap of items by key, in which items can be moved and removed.

    Stale entries of removed and moved items stay in the heap until they reach its top or outnumber
    the live ones, so every method costs amortised O(log n).
    """

    def __init__(self, counter: OperationCounter) -> None:
        self._counter = counter
        self._heap: list[tuple[Any, int, str]] = []
        self._live: dict[str, int] = {}
        self._serial = 0

    def set(self, item: str, key: Any) -> None:
        """Add an item, or move it to a new key."""
        self._serial += 1
        self._live[item] = self._serial
        heapq.heappush(self._heap, (key, self._serial, item))
        self._counter.add(len(self._heap).bit_length())
        self._compact()

    def discard(self, item: str) -> None:
        """Remove an item if it is present."""
        self._live.pop(item, None)
        self._compact()

    def first(self) -> tuple[Any, str] | None:
        """Return the smallest key and its item, or None if the heap is empty."""
        heap = self._heap
        while heap and self._live.get(heap[0][2]) != heap[0][1]:
            heapq.heappop(heap)
            self._counter.add(len(heap).bit_length() + 1)
        self._counter.add(1)
        return (heap[0][0], heap[0][2]) if heap else None

    def __len__(self) -> int:
        return len(self._live)

    def _compact(self) -> None:
        if len(self._heap) < COMPACT_MIN_ENTRIES or len(self._heap) <= 2 * len(self._live):
            return
        self._counter.add(len(self._heap))
        self._heap = [entry for entry in self._heap if self._live.get(entry[2]) == entry[1]]
        heapq.heapify(self._heap)
