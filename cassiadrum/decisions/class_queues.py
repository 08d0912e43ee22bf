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
        self._virtual_time = 0.0
        self._customers: dict[str, CustomerQueue] = {}
        self._by_start_tag = LazyHeap(counter)
        self._by_tokens = LazyHeap(counter)
        self._by_arrival = LazyHeap(counter)
        self._idle_start_tags: dict[str, float] = {}
        self._idle_by_start_tag = LazyHeap(counter)

    def add(self, entry: QueueEntry, refund: bool) -> None:
        """Add a request; `refund` takes back what its customer was charged when it was served."""
        req = entry.req
        self.max_wait_s, self.min_share = req.max_wait_s, req.min_share
        customer_queue = self._customers.get(req.customer)
        if customer_queue is None:
            start_tag = max(self._virtual_time, self._idle_start_tags.pop(req.customer, 0.0))
            self._idle_by_start_tag.discard(req.customer)
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
        """Remove a request that waits here."""
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
        """Return the request to serve next; raise LookupError when nothing waits."""
        return self._first_customer(self._by_start_tag).oldest()

    def victim(self) -> QueueEntry:
        """Return the newest request of the customer with the most queued tokens."""
        return self._first_customer(self._by_tokens).newest()

    def head_arrived_s(self) -> float:
        """Return when the request that waits longest arrived."""
        first = self._by_arrival.first()
        if first is None:
            raise LookupError("no request waits in this class")
        arrived_s: float = first[0][0]
        return arrived_s

    def ahead_tokens(self, customer: str, own_tokens: float) -> float:
        """Return the tokens of this class served before a new request of the customer.

        Each other customer gets at most as much as this one until then.
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
            raise LookupError("no request waits in this class")
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
            self._idle_by_start_tag.set(customer, customer_queue.start_tag)

    def _prune_idle_customers(self) -> None:
        while (first := self._idle_by_start_tag.first()) is not None and first[
            0
        ] <= self._virtual_time:
            self._idle_by_start_tag.discard(first[1])
            del self._idle_start_tags[first[1]]

    def _reset(self) -> None:
        # Nothing waits, so nobody is behind: all customers start again as equals. This also
        # removes the rounding error of the sums.
        self.tokens = 0.0
        self.overdue = False
        self._virtual_time = 0.0
        self._idle_start_tags.clear()
        self._idle_by_start_tag = LazyHeap(self._counter)


def _charge(entry: QueueEntry) -> float:
    return entry.tokens / max(entry.req.weight, MIN_WEIGHT)
