"""Selection of the sidecars of a service that an entry instance connects to."""

from bisect import bisect_left, insort
from typing import NamedTuple

import xxhash

from cassiadrum.stores.instances import Instance

__all__ = ["Subset"]

# Time after which a sidecar that refused the connection may be selected again, which is done only
# if too few others are left.
FULL_RETRY_S = 2.0


class _Rank(NamedTuple):
    """Sort key of a sidecar; the smallest is selected first."""

    other_zone: bool
    hash: int
    instance: str


class Subset:
    """The sidecars of one service in the order of rendezvous hashing, those in the own zone first.

    Within a zone, the rank depends only on the two names. So when a sidecar is added or removed,
    an entry instance that gains or loses it changes at most one other link, the last in rank.
    """

    def __init__(self, entry: str, zone: str, size: int) -> None:
        self._entry = entry
        self._zone = zone
        self._size = size
        self._ranks: list[_Rank] = []
        self._by_name: dict[str, _Rank] = {}
        self._leaving: set[str] = set()
        self._full: dict[str, float] = {}

    def resize(self, size: int) -> None:
        """Set the number of sidecars to connect to."""
        self._size = size

    def put(self, member: Instance) -> None:
        """Add a sidecar, or replace its entry."""
        self.remove(member.instance)
        key = xxhash.xxh64_intdigest(f"{self._entry}\0{member.instance}".encode())
        rank = _Rank(member.zone != self._zone, key, member.instance)
        self._by_name[member.instance] = rank
        insort(self._ranks, rank)

    def remove(self, instance: str) -> None:
        """Remove a sidecar."""
        rank = self._by_name.pop(instance, None)
        if rank is not None:
            del self._ranks[bisect_left(self._ranks, rank)]
        self._leaving.discard(instance)
        self._full.pop(instance, None)

    def set_leaving(self, instance: str, leaving: bool) -> None:
        """Exclude a sidecar that is leaving, or include it again."""
        if leaving:
            self._leaving.add(instance)
        else:
            self._leaving.discard(instance)

    def set_full(self, instance: str, now: float) -> None:
        """Exclude a sidecar that refused the connection because it is full."""
        if instance in self._by_name:
            self._full[instance] = now

    def select(self, now: float) -> list[str]:
        """Return the names of the sidecars to connect to, in rank order."""
        chosen = self._first_ranked()
        if len(chosen) < self._size and self._full:
            self._full = {name: at for name, at in self._full.items() if now - at < FULL_RETRY_S}
            chosen = self._first_ranked()
        return chosen

    def _first_ranked(self) -> list[str]:
        chosen: list[str] = []
        for rank in self._ranks:
            if len(chosen) == self._size:
                break
            if rank.instance not in self._leaving and rank.instance not in self._full:
                chosen.append(rank.instance)
        return chosen
