"""The waiting requests of one class, shared fairly by its customers."""

from cassiadrum.decisions.customer_queues import CustomerQueue
from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.queue_entries import QueueEntry
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["ClassQueue"]

MIN_WEIGHT = 1e-6


class ClassQueue:
    """Serve the customer with the least virtual time first (start-time fair queueing).

    A customer's virtual time advances by estimated tokens / weight with each request served. The
    time of a customer without waiting requests is kept until the class's clock passes it, so
    that sending one request at a time gains nothing, and memory follows the active customers.
    """

    def __init__(self, req: QueuedRequest, counter: OperationCounter) -> None:
        self.tier = req.tier
        self.protected = req.protected
        self.max_wait_s = req.max_wait_s
        self.min_share = req.min_share
        self.tokens = 0.0
        # Accounting of min_share, in tokens that classes without protection were served.
        self.overdue = False
        self.share_tag = 0.0
        self._counter = counter
        self._clock = 0.0
        self._lanes: dict[str, CustomerQueue] = {}
        self._by_tag = LazyHeap(counter)
        self._by_tokens = LazyHeap(counter)
        self._oldest = LazyHeap(counter)
        self._idle_tags: dict[str, float] = {}
        self._idle = LazyHeap(counter)

    def add(self, entry: QueueEntry, refund: bool) -> None:
        """Add a request; `refund` takes back what its customer was charged when it was served."""
        req = entry.req
        self.max_wait_s, self.min_share = req.max_wait_s, req.min_share
        lane = self._lanes.get(req.customer)
        if lane is None:
            tag = max(self._clock, self._idle_tags.pop(req.customer, 0.0))
            self._idle.discard(req.customer)
            lane = self._lanes[req.customer] = CustomerQueue(tag, self._counter)
        if refund:
            lane.start_tag -= _charge(entry)
        lane.add(entry)
        self.tokens += entry.tokens
        self._oldest.set(req.request_id, entry.order)
        self._reorder(req.customer, lane)

    def serve(self) -> QueueEntry:
        """Remove and return the next request and charge its customer."""
        entry = self.next()
        lane = self._lanes[entry.req.customer]
        self._clock = max(self._clock, lane.start_tag)
        lane.start_tag += _charge(entry)
        self.remove(entry)
        self._forget_idle()
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that waits here."""
        customer = entry.req.customer
        lane = self._lanes[customer]
        lane.remove(entry)
        self._oldest.discard(entry.req.request_id)
        self.tokens -= entry.tokens
        if len(lane):
            self._reorder(customer, lane)
        else:
            self._retire(customer, lane)
        if not self._lanes:
            self._reset()

    def next(self) -> QueueEntry:
        """Return the request to serve next; raise LookupError when nothing waits."""
        return self._lane(self._by_tag).oldest()

    def victim(self) -> QueueEntry:
        """Return the newest request of the customer with the most queued tokens."""
        return self._lane(self._by_tokens).newest()

    def head_arrived_s(self) -> float:
        """Return when the request that waits longest arrived."""
        first = self._oldest.first()
        if first is None:
            raise LookupError("no request waits in this class")
        arrived_s: float = first[0][0]
        return arrived_s

    def ahead_tokens(self, customer: str, own_tokens: float) -> float:
        """Return the tokens of this class served before a new request of the customer.

        Each other customer gets at most as much as this one until then.
        """
        lane = self._lanes.get(customer)
        queued = lane.tokens if lane else 0.0
        others = len(self._lanes) - (1 if lane else 0)
        return min(self.tokens, queued + others * (queued + own_tokens))

    def __len__(self) -> int:
        return len(self._oldest)

    def _lane(self, heap: LazyHeap) -> CustomerQueue:
        first = heap.first()
        if first is None:
            raise LookupError("no request waits in this class")
        return self._lanes[first[1]]

    def _reorder(self, customer: str, lane: CustomerQueue) -> None:
        self._by_tag.set(customer, (lane.start_tag, lane.oldest().order))
        self._by_tokens.set(customer, -lane.tokens)

    def _retire(self, customer: str, lane: CustomerQueue) -> None:
        del self._lanes[customer]
        self._by_tag.discard(customer)
        self._by_tokens.discard(customer)
        if lane.start_tag > self._clock:
            self._idle_tags[customer] = lane.start_tag
            self._idle.set(customer, lane.start_tag)

    def _forget_idle(self) -> None:
        while (first := self._idle.first()) is not None and first[0] <= self._clock:
            self._idle.discard(first[1])
            del self._idle_tags[first[1]]

    def _reset(self) -> None:
        # Nothing waits, so nobody is behind: all customers start again as equals. This also
        # removes the rounding error of the sums.
        self.tokens = 0.0
        self.overdue = False
        self._clock = 0.0
        self._idle_tags.clear()
        self._idle = LazyHeap(self._counter)


def _charge(entry: QueueEntry) -> float:
    return entry.tokens / max(entry.req.weight, MIN_WEIGHT)
