"""Incarnations of endpoints that are known to be gone."""

from typing import NamedTuple

from cassiadrum.gateways.endpoint_entries import Incarnation

__all__ = ["RemovedIncarnations"]

# Age of the oldest copy that the store may come back from; older knowledge is forgotten.
RETENTION_S = 120.0


class _Removal(NamedTuple):
    removed_s: float
    left: bool


class RemovedIncarnations:
    """Remember who is gone while a restored store may still name it; monotonic seconds."""

    def __init__(self) -> None:
        self._removals: dict[Incarnation, _Removal] = {}

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._removals

    def add(self, incarnation: Incarnation, now: float, *, left: bool) -> None:
        """Add an incarnation; `left` tells that it announced its leaving, so it cannot return."""
        self._removals.pop(incarnation, None)
        self._removals[incarnation] = _Removal(now, left)

    def announced_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a gone incarnation had announced that it leaves."""
        return self._removals[incarnation].left

    def expire(self, now: float) -> None:
        """Forget who has been gone for long."""
        while self._removals:
            oldest = next(iter(self._removals))
            if now - self._removals[oldest].removed_s < RETENTION_S:
                return
            del self._removals[oldest]
