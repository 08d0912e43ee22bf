"""Bounded queue with strict tiers, minimum shares and fairness between customers."""

import math
from collections.abc import Callable

from cassiadrum.decisions.class_queues import ClassQueue
from cassiadrum.decisions.lazy_heaps import LazyHeap
from cassiadrum.decisions.min_share_schedulers import MinShareScheduler
from cassiadrum.decisions.operation_counters import OperationCounter
from cassiadrum.decisions.queue_charges import QueueCharge
from cassiadrum.decisions.queue_entries import QueueEntry
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue

__all__ = ["FairTierQueue"]

DEFAULT_OUTPUT_TOKENS = 200.0
# A rejected request returns within a round trip, so charges beyond this number are not refunded.
MAX_RETAINED_CHARGES = 1024


def _requested_tokens(req: QueuedRequest) -> float:
    return float(req.max_tokens or DEFAULT_OUTPUT_TOKENS)


class FairTierQueue(RequestQueue):
    """Queue that serves protected classes first, then strict tiers, with a minimum share for each.

    `max_requests` and `max_tokens` bound the queue. `estimate_tokens` estimates a request's output
    tokens and is called once per push. `operations` counts heap steps and visited entries.
    """

    def __init__(
        self,
        max_requests: int,
        max_tokens: float = math.inf,
        estimate_tokens: Callable[[QueuedRequest], float] = _requested_tokens,
    ) -> None:
        self._max_requests = max_requests
        self._max_tokens = max_tokens
        self._estimate_tokens = estimate_tokens
        self._counter = OperationCounter()
        self._classes: dict[tuple[str, int, bool], ClassQueue] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._deadlines = LazyHeap(self._counter)
        self._tokens = 0.0
        self._serial = 0
        self._min_shares = MinShareScheduler()
        self._charges: dict[str, QueueCharge] = {}

    @property
    def operations(self) -> int:
        """Return the number of elementary steps so far."""
        return self._counter.count

    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Add a request, ordered by arrival, and return those evicted for it.

        Raises ValueError if a request with this id is already in the queue.
        """
        return self._insert(req, refund=False)

    def requeue(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Put back a popped request that did not run, and reverse its charges."""
        return self._insert(req, refund=True)

    def pop(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request."""
        cls = self._next_class(now)
        if cls is None:
            return None
        tokens = cls.peek().tokens
        advance = 0.0 if cls.protected else self._min_shares.charge(cls, tokens)
        entry = cls.serve()
        self._drop_entry(entry)
        self._retain_charge(entry.req.request_id, QueueCharge(tokens, entry.serial, advance))
        return entry.req

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request by its id."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._classes[_class_key(entry.req)].remove(entry)
        self._drop_entry(entry)
        return entry.req

    def expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while (first := self._deadlines.first()) is not None and first[0] <= now:
            req = self.remove(first[1])
            if req is not None:
                expired.append(req)
        return expired

    def ahead_tokens(self, req: QueuedRequest) -> float:
        """Return the tokens served before `req` if it were pushed now.

        Only protected requests count as ahead of a protected one.
        """
        own = self._classes.get(_class_key(req))
        ahead = sum(
            cls.tokens
            for cls in self._classes.values()
            if cls is not own and _is_served_before(cls, req)
        )
        if own is not None:
            ahead += own.ahead_tokens(req.customer, self._bounded_tokens(req))
        return ahead

    def protected_waiting(self) -> bool:
        """Return whether a protected request waits, which is then popped next."""
        return any(cls.protected and len(cls) for cls in self._classes.values())

    def __len__(self) -> int:
        return len(self._entries)

    def _insert(self, req: QueuedRequest, refund: bool) -> list[QueuedRequest]:
        if req.request_id in self._entries:
            raise ValueError(f"request {req.request_id} is already in the queue")
        charge = self._charges.pop(req.request_id, None)
        entry = self._entry(req, charge)
        cls = self._classes.get(_class_key(req))
        if cls is None:
            cls = self._classes[_class_key(req)] = ClassQueue(req, self._counter)
        refunded = charge if refund else None
        if refunded is not None and not cls.protected:
            self._min_shares.refund(cls, refunded.tokens, refunded.share_advance)
        cls.add(entry, refunded is not None)
        self._entries[req.request_id] = entry
        self._tokens += entry.tokens
        if req.deadline_s < math.inf:
            self._deadlines.set(req.request_id, req.deadline_s)
        return self._shed()

    def _entry(self, req: QueuedRequest, charge: QueueCharge | None) -> QueueEntry:
        if charge is not None:
            return QueueEntry(req, charge.tokens, charge.serial)
        self._serial += 1
        return QueueEntry(req, self._bounded_tokens(req), self._serial)

    def _bounded_tokens(self, req: QueuedRequest) -> float:
        # Without the upper bound, a request larger than the whole queue could never be queued.
        return min(max(self._estimate_tokens(req), 1.0), self._max_tokens)

    def _shed(self) -> list[QueuedRequest]:
        evicted = []
        while len(self) > self._max_requests or (
            self._tokens > self._max_tokens and len(self) > 1
        ):
            victim = self._victim()
            self.remove(victim.req.request_id)
            evicted.append(victim.req)
        return evicted

    def _victim(self) -> QueueEntry:
        waiting = [cls for cls in self._classes.values() if len(cls)]
        self._counter.add(len(waiting))
        lowest = max((not cls.protected, cls.tier) for cls in waiting)
        candidates = [cls.victim() for cls in waiting if (not cls.protected, cls.tier) == lowest]
        return max(candidates, key=lambda entry: entry.order)

    def _next_class(self, now: float) -> ClassQueue | None:
        waiting = [cls for cls in self._classes.values() if len(cls)]
        self._counter.add(len(waiting))
        if not waiting:
            return None
        first = min(waiting, key=lambda cls: (not cls.protected, cls.tier, cls.head_arrived_s()))
        if first.protected:
            return first
        return self._min_shares.next_due(waiting, now) or first

    def _retain_charge(self, request_id: str, charge: QueueCharge) -> None:
        self._charges[request_id] = charge
        if len(self._charges) > MAX_RETAINED_CHARGES:
            del self._charges[next(iter(self._charges))]

    def _drop_entry(self, entry: QueueEntry) -> None:
        del self._entries[entry.req.request_id]
        self._deadlines.discard(entry.req.request_id)
        self._tokens = self._tokens - entry.tokens if self._entries else 0.0


def _class_key(req: QueuedRequest) -> tuple[str, int, bool]:
    return (req.class_name, req.tier, req.protected)


def _is_served_before(cls: ClassQueue, req: QueuedRequest) -> bool:
    if req.protected or cls.protected:
        return cls.protected and (not req.protected or cls.tier <= req.tier)
    return cls.tier <= req.tier
