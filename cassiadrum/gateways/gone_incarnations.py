"""Incarnations of endpoints that are known to be gone."""

from typing import NamedTuple

from cassiadrum.gateways.endpoint_entries import Incarnation

__all__ = ["GoneIncarnations"]

# Age of the oldest copy that the store may come back from; older knowledge is forgotten.
MEMORY_S = 120.0


class _Gone(NamedTuple):
    gone_s: float
    left: bool


class GoneIncarnations:
    """Remember who is gone while a restored store may still name it; monotonic seconds."""

    def __init__(self) -> None:
        self._gone: dict[Incarnation, _Gone] = {}

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._gone

    def add(self, incarnation: Incarnation, now: float, *, left: bool) -> None:
        """Add an incarnation; `left` tells that it announced its leaving, so it cannot return."""
        self._gone.pop(incarnation, None)
        self._gone[incarnation] = _Gone(now, left)

    def left(self, incarnation: Incarnation) -> bool:
        """Return whether a gone incarnation had announced that it leaves."""
        return self._gone[incarnation].left

    def expire(self, now: float) -> None:
        """Forget who has been gone for long."""
        while self._gone:
            oldest = next(iter(self._gone))
            if now - self._gone[oldest].gone_s < MEMORY_S:
                return
            del self._gone[oldest]
