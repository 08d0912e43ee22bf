"""Queue of one customer's requests in one class."""

from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.queue_entries import QueueEntry

__all__ = ["CustomerQueue"]


class CustomerQueue:
    """One customer's waiting requests in order of arrival.

    `start_tag` is the customer's virtual time in tokens / weight.
    """

    def __init__(self, start_tag: float, counter: OperationCounter) -> None:
        self.start_tag = start_tag
        self.tokens = 0.0
        self._entries: dict[str, QueueEntry] = {}
        self._oldest = LazyHeap(counter)
        self._newest = LazyHeap(counter)

    def add(self, entry: QueueEntry) -> None:
        """Add a request, ordered by arrival."""
        arrived_s, serial = entry.order
        self._entries[entry.req.request_id] = entry
        self._oldest.set(entry.req.request_id, (arrived_s, serial))
        self._newest.set(entry.req.request_id, (-arrived_s, -serial))
        self.tokens += entry.tokens

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting request."""
        del self._entries[entry.req.request_id]
        self._oldest.discard(entry.req.request_id)
        self._newest.discard(entry.req.request_id)
        self.tokens -= entry.tokens

    def oldest(self) -> QueueEntry:
        """Return the request that arrived first; raise LookupError if the queue is empty."""
        return self._entry(self._oldest)

    def newest(self) -> QueueEntry:
        """Return the request that arrived last; raise LookupError if the queue is empty."""
        return self._entry(self._newest)

    def __len__(self) -> int:
        return len(self._entries)

    def _entry(self, heap: LazyHeap) -> QueueEntry:
        first = heap.first()
        if first is None:
            raise LookupError("the customer has no waiting requests")
        return self._entries[first[1]]
