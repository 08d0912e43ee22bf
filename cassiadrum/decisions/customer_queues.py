"""The waiting requests of one customer in one class."""

from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.queue_entries import QueueEntry

__all__ = ["CustomerQueue"]


class CustomerQueue:
    """Keep one customer's requests by arrival; `start_tag` is its virtual time in weighted tokens."""

    def __init__(self, start_tag: float, counter: OperationCounter) -> None:
        self.start_tag = start_tag
        self.tokens = 0.0
        self._entries: dict[str, QueueEntry] = {}
        self._oldest = LazyHeap(counter)
        self._newest = LazyHeap(counter)

    def add(self, entry: QueueEntry) -> None:
        """Add a request in its place by arrival."""
        arrived_s, serial = entry.order
        self._entries[entry.req.request_id] = entry
        self._oldest.set(entry.req.request_id, (arrived_s, serial))
        self._newest.set(entry.req.request_id, (-arrived_s, -serial))
        self.tokens += entry.tokens

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that waits here."""
        del self._entries[entry.req.request_id]
        self._oldest.discard(entry.req.request_id)
        self._newest.discard(entry.req.request_id)
        self.tokens -= entry.tokens

    def oldest(self) -> QueueEntry:
        """Return the request that arrived first; raise LookupError when nothing waits."""
        return self._entry(self._oldest)

    def newest(self) -> QueueEntry:
        """Return the request that arrived last; raise LookupError when nothing waits."""
        return self._entry(self._newest)

    def __len__(self) -> int:
        return len(self._entries)

    def _entry(self, heap: LazyHeap) -> QueueEntry:
        first = heap.first()
        if first is None:
            raise LookupError("no request waits in this queue")
        return self._entries[first[1]]
