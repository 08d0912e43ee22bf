"""The bound on the entry instances that connect to one sidecar."""

import math
from collections import Counter
from collections.abc import Iterable

from cassiadrum.defaults import LIMITS
from cassiadrum.stores.instances import Instance

__all__ = ["ConnectionBound", "links_per_service", "mean_connections"]

# The design's bound on the imbalance of connections.
MAX_IMBALANCE = 1.25


def mean_connections(listed: Iterable[Instance], service: str, subset_size: int) -> float:
    """Return the mean number of entry connections of a service's sidecars, 0 when unknown."""
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
    """Return how many of an entry instance's links go to each service.

    `subset_size` is the bound on all its links, which a few small services may exceed.
    """
    share = max(LIMITS.LINKS_PER_SERVICE_MIN, subset_size // max(1, services))
    return min(subset_size, share)


class ConnectionBound:
    """Admit entry instances up to 1.25 times the mean; without a known mean admit all.

    An entry instance whose connection was lost keeps its place for as long as its streams wait
    for it. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        # Time of the loss of the connection, None while it is up.
        self._lost_at_s: dict[str, float | None] = {}

    def __len__(self) -> int:
        return len(self._lost_at_s)

    @property
    def bound(self) -> int:
        """Return the highest number of entry instances, 0 for no bound."""
        return math.ceil(MAX_IMBALANCE * self.mean)

    def admit(self, entry: str, now: float) -> bool:
        """Give an entry instance a place, unless all are taken."""
        self._lost_at_s = {
            name: lost_s
            for name, lost_s in self._lost_at_s.items()
            if lost_s is None or now - lost_s < LIMITS.DETACHED_STREAM_S
        }
        if entry not in self._lost_at_s and self.bound and len(self._lost_at_s) >= self.bound:
            return False
        self._lost_at_s[entry] = None
        return True

    def connection_lost(self, entry: str, now: float) -> None:
        """Take the loss of a connection."""
        if entry in self._lost_at_s:
            self._lost_at_s[entry] = now
