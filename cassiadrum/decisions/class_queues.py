"""Queue of one class with fair queueing between its customers."""

from cassiadrum.decisions.customer_queues import CustomerQueue
from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.queue_entries import QueueEntry
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["ClassQueue"]

MIN_WEIGHT = 1e-6


class ClassQueue:
    """Start-time fair queueing: the customer with the lowest start tag is served first.

    A customer's start tag advances by estimated tokens / weight with each request served. The
    tag of a customer without waiting requests is kept until the class's virtual time passes it:
    a customer gains nothing by sending one request at a time, and memory use is proportional to
    the number of active customers.
    """

    def __init__(self, req: QueuedRequest, counter: OperationCounter) -> None:
        self.tier = req.tier
        self.protected = req.protected
        self.max_wait_s = req.max_wait_s
        self.min_share = req.min_share
        self.tokens = 0.0
        # State of the min_share scheduler; the tag is in tokens served to unprotected classes.
        self.overdue = False
        self.share_tag = 0.0
        self._counter = counter
        self._virtual_time = 0.0
        self._customers: dict[str, CustomerQueue] = {}
        self._by_start_tag = LazyHeap(counter)
        self._by_tokens = LazyHeap(counter)
        self._by_arrival = LazyHeap(counter)
        self._idle_start_tags: dict[str, float] = {}
        self._idle_by_tag = LazyHeap(counter)

    def add(self, entry: QueueEntry, refund: bool) -> None:
        """Add a request; `refund` reverses the charge to its customer for an earlier service."""
        req = entry.req
        self.max_wait_s, self.min_share = req.max_wait_s, req.min_share
        customer_queue = self._customers.get(req.customer)
        if customer_queue is None:
            start_tag = max(self._virtual_time, self._idle_start_tags.pop(req.customer, 0.0))
            self._idle_by_tag.discard(req.customer)
            customer_queue = self._customers[req.customer] = CustomerQueue(
                start_tag, self._counter
            )
        if refund:
            customer_queue.start_tag -= _charge(entry)
        customer_queue.add(entry)
        self.tokens += entry.tokens
        self._by_arrival.set(req.request_id, entry.order)
        self._reorder(req.customer, customer_queue)

    def serve(self) -> QueueEntry:
        """Remove and return the next request and charge its customer."""
        entry = self.peek()
        customer_queue = self._customers[entry.req.customer]
        self._virtual_time = max(self._virtual_time, customer_queue.start_tag)
        customer_queue.start_tag += _charge(entry)
        self.remove(entry)
        self._prune_idle_customers()
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting request."""
        customer = entry.req.customer
        customer_queue = self._customers[customer]
        customer_queue.remove(entry)
        self._by_arrival.discard(entry.req.request_id)
        self.tokens -= entry.tokens
        if len(customer_queue):
            self._reorder(customer, customer_queue)
        else:
            self._remove_customer(customer, customer_queue)
        if not self._customers:
            self._reset()

    def peek(self) -> QueueEntry:
        """Return the request to serve next; raise LookupError if the queue is empty."""
        return self._first_customer(self._by_start_tag).oldest()

    def victim(self) -> QueueEntry:
        """Return the request to evict: the newest of the customer with the most queued tokens."""
        return self._first_customer(self._by_tokens).newest()

    def head_arrived_s(self) -> float:
        """Return the arrival time of the oldest request, in monotonic seconds."""
        first = self._by_arrival.first()
        if first is None:
            raise LookupError("the class has no waiting requests")
        arrived_s: float = first[0][0]
        return arrived_s

    def ahead_tokens(self, customer: str, own_tokens: float) -> float:
        """Return the tokens of this class that are served before a new request of the customer.

        Until then, fair queueing serves each other customer at most as many tokens as this one.
        """
        customer_queue = self._customers.get(customer)
        queued = customer_queue.tokens if customer_queue else 0.0
        others = len(self._customers) - (1 if customer_queue else 0)
        return min(self.tokens, queued + others * (queued + own_tokens))

    def __len__(self) -> int:
        return len(self._by_arrival)

    def _first_customer(self, heap: LazyHeap) -> CustomerQueue:
        first = heap.first()
        if first is None:
            raise LookupError("the class has no waiting requests")
        return self._customers[first[1]]

    def _reorder(self, customer: str, customer_queue: CustomerQueue) -> None:
        self._by_start_tag.set(customer, (customer_queue.start_tag, customer_queue.oldest().order))
        self._by_tokens.set(customer, -customer_queue.tokens)

    def _remove_customer(self, customer: str, customer_queue: CustomerQueue) -> None:
        del self._customers[customer]
        self._by_start_tag.discard(customer)
        self._by_tokens.discard(customer)
        if customer_queue.start_tag > self._virtual_time:
            self._idle_start_tags[customer] = customer_queue.start_tag
            self._idle_by_tag.set(customer, customer_queue.start_tag)

    def _prune_idle_customers(self) -> None:
        while (first := self._idle_by_tag.first()) is not None and first[0] <= self._virtual_time:
            self._idle_by_tag.discard(first[1])
            del self._idle_start_tags[first[1]]

    def _reset(self) -> None:
        # In an empty class no customer is behind its share, so all start tags restart at 0. This
        # also clears the accumulated rounding error of the sums.
        self.tokens = 0.0
        self.overdue = False
        self._virtual_time = 0.0
        self._idle_start_tags.clear()
        self._idle_by_tag = LazyHeap(self._counter)


def _charge(entry: QueueEntry) -> float:
    return entry.tokens / max(entry.req.weight, MIN_WEIGHT)
