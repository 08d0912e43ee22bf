"""Incarnations of endpoints that were removed recently."""

from typing import NamedTuple

from cassiadrum.gateways.endpoint_entries import Incarnation

__all__ = ["RemovedIncarnations"]

# Maximum age of the copy that a store can be restored from; older removals are discarded.
RETENTION_S = 120.0


class _Removal(NamedTuple):
    removed_s: float
    left: bool
    paused_until_s: float


class RemovedIncarnations:
    """Removals that a restored store may not contain; times are monotonic seconds."""

    def __init__(self) -> None:
        self._removals: dict[Incarnation, _Removal] = {}

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._removals

    def add(
        self, incarnation: Incarnation, now: float, *, left: bool, paused_until_s: float = 0.0
    ) -> None:
        """Add an incarnation; with `left` it announced its leaving, so it cannot return."""
        self._removals.pop(incarnation, None)
        self._removals[incarnation] = _Removal(now, left, paused_until_s)

    def announced_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a removed incarnation had announced its leaving."""
        return self._removals[incarnation].left

    def paused_until_s(self, incarnation: Incarnation) -> float:
        """Return the end of the pause that an incarnation had requested, 0 without one."""
        removal = self._removals.get(incarnation)
        return 0.0 if removal is None else removal.paused_until_s

    def expire(self, now: float) -> None:
        """Discard removals older than the retention time."""
        while self._removals:
            oldest = next(iter(self._removals))
            if now - self._removals[oldest].removed_s < RETENTION_S:
                return
            del self._removals[oldest]
