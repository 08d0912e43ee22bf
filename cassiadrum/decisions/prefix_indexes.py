"""Estimated contents of the endpoints' prefix caches."""

from collections.abc import Collection
from itertools import islice

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """The `capacity` most recently used prefix keys of each endpoint.

    Cache events are late and incomplete, so the index is an estimate: dispatched prefixes count as
    cached, and the least recently used keys are evicted, as in an engine with limited memory.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        # Both inner dictionaries are ordered by last use, the most recent last.
        self._keys: dict[str, dict[int, None]] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def add(self, instance: str, keys: Collection[int]) -> None:
        """Add the keys as the most recently used ones of the endpoint."""
        held = self._keys.setdefault(instance, {})
        for key in keys:
            held.pop(key, None)
            held[key] = None
            holders = self._holders.setdefault(key, {})
            holders.pop(instance, None)
            holders[instance] = None
        while len(held) > self._capacity:
            oldest = next(iter(held))
            del held[oldest]
            self._remove_holder(oldest, instance)

    def remove(self, instance: str) -> None:
        """Remove an endpoint."""
        for key in self._keys.pop(instance, {}):
            self._remove_holder(key, instance)

    def holders(self, key: int, size: int) -> list[str]:
        """Return up to `size` endpoints that hold the key, the most recent user first."""
        return list(islice(reversed(self._holders.get(key, {})), size))

    def matched_keys(self, instance: str, keys: tuple[int, ...]) -> int:
        """Return the number of keys up to the longest one that the endpoint holds."""
        held = self._keys.get(instance)
        if not held:
            return 0
        return next((size for size in range(len(keys), 0, -1) if keys[size - 1] in held), 0)

    def __len__(self) -> int:
        return sum(len(held) for held in self._keys.values())

    def _remove_holder(self, key: int, instance: str) -> None:
        holders = self._holders[key]
        del holders[instance]
        if not holders:
            del self._holders[key]
