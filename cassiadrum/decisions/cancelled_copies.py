"""Copies that were told to stop and have not ended yet."""

from typing import NamedTuple

__all__ = ["CancelledCopies", "CancelledCopy"]

# A sidecar cancels a stream that nobody reads after 10 s by itself.
CANCEL_TIMEOUT_S = 10.0


class CancelledCopy(NamedTuple):
    """Name a copy that was told to stop; `hedge` is True for the loser of two copies."""

    request_id: str
    instance: str
    hedge: bool
    cancelled_s: float


class CancelledCopies:
    """Know which slots are still occupied by cancelled copies."""

    def __init__(self) -> None:
        self._copies: dict[tuple[str, str], CancelledCopy] = {}

    def add(self, copy: CancelledCopy) -> None:
        """Add a copy that was just told to stop."""
        self._copies[copy.request_id, copy.instance] = copy

    def pop(self, request_id: str, instance: str) -> CancelledCopy | None:
        """Remove and return a copy, or None when it is not known here."""
        return self._copies.pop((request_id, instance), None)

    def instances(self, request_id: str) -> set[str]:
        """Return the instances at which copies of the request have not ended."""
        return {copy.instance for copy in self._copies.values() if copy.request_id == request_id}

    def pop_overdue(self, now: float) -> list[CancelledCopy]:
        """Remove and return the copies whose end was not heard of in time."""
        overdue = []
        for copy in list(self._copies.values()):
            if now - copy.cancelled_s < CANCEL_TIMEOUT_S:
                break
            overdue.append(copy)
            del self._copies[copy.request_id, copy.instance]
        return overdue

    def pop_instance(self, instance: str) -> list[CancelledCopy]:
        """Remove and return the copies at one instance."""
        copies = [copy for copy in self._copies.values() if copy.instance == instance]
        for copy in copies:
            del self._copies[copy.request_id, copy.instance]
        return copies
