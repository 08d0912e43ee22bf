"""The bound on the entry instances that connect to one sidecar."""

import math
from collections.abc import Iterable

from cassiadrum.defaults import LIMITS
from cassiadrum.stores.instances import Instance

__all__ = ["ConnectionBound", "mean_connections"]

# The design's bound on the imbalance of connections.
IMBALANCE = 1.25


def mean_connections(listed: Iterable[Instance], service: str, subset_size: int) -> float:
    """Return the mean number of entry connections of a service's sidecars, 0 when unknown."""
    entries = sidecars = 0
    for instance in listed:
        entries += instance.role == "entry"
        sidecars += instance.role == "sidecar" and instance.service == service
    return entries * min(subset_size, sidecars) / sidecars if sidecars else 0.0


class ConnectionBound:
    """Admit entry instances up to 1.25 times the mean; without a known mean admit all.

    An entry instance whose connection was lost keeps its place for as long as its streams wait
    for it. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        # Time of the loss of the connection, None while it is up.
        self._places: dict[str, float | None] = {}

    def __len__(self) -> int:
        return len(self._places)

    @property
    def bound(self) -> int:
        """Return the highest number of entry instances, 0 for no bound."""
        return math.ceil(IMBALANCE * self.mean)

    def admit(self, entry: str, now: float) -> bool:
        """Give an entry instance a place, unless all are taken."""
        self._places = {
            name: lost_s
            for name, lost_s in self._places.items()
            if lost_s is None or now - lost_s < LIMITS.DETACHED_STREAM_S
        }
        if entry not in self._places and self.bound and len(self._places) >= self.bound:
            return False
        self._places[entry] = None
        return True

    def lost(self, entry: str, now: float) -> None:
        """Take the loss of a connection."""
        if entry in self._places:
            self._places[entry] = now
