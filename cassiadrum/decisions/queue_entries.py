"""A request in a queue, with what the queue knows of it."""

from typing import NamedTuple

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["QueueEntry"]


class QueueEntry(NamedTuple):
    """Hold a waiting request, its estimated output `tokens` and its serial number."""

    req: QueuedRequest
    tokens: float
    serial: int

    @property
    def order(self) -> tuple[float, int]:
        """Return the place by arrival: seconds, then the order of pushes."""
        return (self.req.arrived_s, self.serial)
