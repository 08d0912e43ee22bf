"""Entry of a queue."""

from typing import NamedTuple

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["QueueEntry"]


class QueueEntry(NamedTuple):
    """A waiting request with its estimated output `tokens` and its serial number in the queue."""

    req: QueuedRequest
    tokens: float
    serial: int

    @property
    def order(self) -> tuple[float, int]:
        """Return the sort key by arrival: the time in seconds, then the serial number."""
        return (self.req.arrived_s, self.serial)
