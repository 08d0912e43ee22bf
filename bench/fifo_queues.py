"""Request queue in order of arrival."""

from collections import OrderedDict

from cassiadrum.decisions import QueuedRequest, RequestQueue

__all__ = ["FifoQueue"]


class FifoQueue(RequestQueue):
    """Serves in order of arrival without regard to tiers; refuses the newest on overflow."""

    def __init__(self, capacity: int, tokens_per_request: float = 200.0) -> None:
        self._capacity = capacity
        self._tokens_per_request = tokens_per_request
        self._waiting: OrderedDict[str, QueuedRequest] = OrderedDict()

    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        self._waiting[req.request_id] = req
        # A popped request that could not be dispatched returns to the front.
        oldest = next(iter(self._waiting.values()))
        if req.arrived_s < oldest.arrived_s:
            self._waiting.move_to_end(req.request_id, last=False)
        if len(self) <= self._capacity:
            return []
        return [self._waiting.popitem()[1]]

    def pop(self, now: float) -> QueuedRequest | None:
        return self._waiting.popitem(last=False)[1] if self._waiting else None

    def remove(self, request_id: str) -> QueuedRequest | None:
        return self._waiting.pop(request_id, None)

    def expired(self, now: float) -> list[QueuedRequest]:
        late = [req for req in self._waiting.values() if req.deadline_s <= now]
        for req in late:
            del self._waiting[req.request_id]
        return late

    def ahead_tokens(self, req: QueuedRequest) -> float:
        return len(self) * self._tokens_per_request

    def __len__(self) -> int:
        return len(self._waiting)
