"""Request queues of the ablations, each without one rule."""

from cassiadrum.decisions import QueuedRequest, RequestQueue

__all__ = ["FreeSlotOnlyQueue", "NoMinShareQueue"]


class DelegatingQueue(RequestQueue):
    """Delegates every call to another queue."""

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue

    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        return self._queue.push(req, now)

    def requeue(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        return self._queue.requeue(req, now)

    def pop(self, now: float) -> QueuedRequest | None:
        return self._queue.pop(now)

    def remove(self, request_id: str) -> QueuedRequest | None:
        return self._queue.remove(request_id)

    def expired(self, now: float) -> list[QueuedRequest]:
        return self._queue.expired(now)

    def ahead_tokens(self, req: QueuedRequest) -> float:
        return self._queue.ahead_tokens(req)

    def protected_waiting(self) -> bool:
        return self._queue.protected_waiting()

    def __len__(self) -> int:
        return len(self._queue)


class FreeSlotOnlyQueue(DelegatingQueue):
    """Dispatches protected work only while a slot is free, as other work."""

    def protected_waiting(self) -> bool:
        return False


class NoMinShareQueue(DelegatingQueue):
    """Serves strictly by tier, without a minimum share for lower tiers."""

    def push(self, req: QueuedRequest, now: float) -> list[QueuedRequest]:
        return self._queue.push(req._replace(min_share=0.0), now)
