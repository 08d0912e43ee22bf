"""Cancelled copies of requests that have not ended yet."""

from typing import NamedTuple

__all__ = ["CancelledCopies", "CancelledCopy"]

# A sidecar cancels a stream without a reader after 10 s, so a copy has ended by then.
CANCEL_TIMEOUT_S = 10.0


class CancelledCopy(NamedTuple):
    """A cancelled copy; `hedge` is True for the losing copy of a hedged request.

    `cancelled_s` is in monotonic seconds.
    """

    request_id: str
    instance: str
    hedge: bool
    cancelled_s: float


class CancelledCopies:
    """The cancelled copies that still occupy slots, in order of cancellation."""

    def __init__(self) -> None:
        self._copies: dict[tuple[str, str], CancelledCopy] = {}

    def add(self, copy: CancelledCopy) -> None:
        """Add a copy at the time of its cancellation."""
        self._copies[copy.request_id, copy.instance] = copy

    def pop(self, request_id: str, instance: str) -> CancelledCopy | None:
        """Remove and return a copy, or return None if it was not cancelled."""
        return self._copies.pop((request_id, instance), None)

    def instances(self, request_id: str) -> set[str]:
        """Return the instances at which cancelled copies of the request still run."""
        return {copy.instance for copy in self._copies.values() if copy.request_id == request_id}

    def pop_overdue(self, now: float) -> list[CancelledCopy]:
        """Remove and return the copies whose end was not reported within the time-out."""
        overdue = []
        for copy in list(self._copies.values()):
            if now - copy.cancelled_s < CANCEL_TIMEOUT_S:
                break
            overdue.append(copy)
            del self._copies[copy.request_id, copy.instance]
        return overdue

    def pop_instance(self, instance: str) -> list[CancelledCopy]:
        """Remove and return the cancelled copies at one instance."""
        copies = [copy for copy in self._copies.values() if copy.instance == instance]
        for copy in copies:
            del self._copies[copy.request_id, copy.instance]
        return copies
