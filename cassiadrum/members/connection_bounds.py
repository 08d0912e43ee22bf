"""Limit on the entry instances connected to one sidecar."""

import math
from collections import Counter
from collections.abc import Iterable

from cassiadrum.defaults import LIMITS
from cassiadrum.stores.instances import Instance

__all__ = ["ConnectionBound", "links_per_service", "mean_connections"]

# Largest allowed ratio of a sidecar's connections to the mean.
MAX_IMBALANCE = 1.25


def mean_connections(listed: Iterable[Instance], service: str, subset_size: int) -> float:
    """Return the mean number of entry connections per sidecar of a service, 0 if unknown."""
    entries = 0
    sidecars: Counter[str] = Counter()
    for instance in listed:
        if instance.role == "entry":
            entries += 1
        else:
            sidecars[instance.service] += 1
    own = sidecars[service]
    size = links_per_service(subset_size, len(sidecars))
    return entries * min(size, own) / own if own else 0.0


def links_per_service(subset_size: int, services: int) -> int:
    """Return the number of links of an entry instance to each service.

    `subset_size` bounds the links to all services together, but LINKS_PER_SERVICE_MIN links to
    each of many services may exceed it.
    """
    share = max(LIMITS.LINKS_PER_SERVICE_MIN, subset_size // max(1, services))
    return min(subset_size, share)


class ConnectionBound:
    """Admission of up to 1.25 times the mean of entry instances, or all while that is unknown.

    An entry instance whose connection was lost keeps its place for DETACHED_STREAM_TIMEOUT_S,
    during which its streams wait for it. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        # Admitted entry instances and when their connection was lost, None while connected.
        self._admitted: dict[str, float | None] = {}

    def __len__(self) -> int:
        return len(self._admitted)

    @property
    def bound(self) -> int:
        """Return the largest allowed number of entry instances, 0 for no limit."""
        return math.ceil(MAX_IMBALANCE * self.mean)

    def admit(self, entry: str, now: float) -> bool:
        """Admit an entry instance unless the limit is reached; return whether it was admitted."""
        self._admitted = {
            name: lost_s
            for name, lost_s in self._admitted.items()
            if lost_s is None or now - lost_s < LIMITS.DETACHED_STREAM_TIMEOUT_S
        }
        if entry not in self._admitted and self.bound and len(self._admitted) >= self.bound:
            return False
        self._admitted[entry] = None
        return True

    def connection_lost(self, entry: str, now: float) -> None:
        """Record that the connection of an entry instance was lost."""
        if entry in self._admitted:
            self._admitted[entry] = now
