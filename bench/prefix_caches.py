"""Prefix cache of a fake engine."""

from collections import OrderedDict

__all__ = ["PrefixCache"]


class PrefixCache:
    """Keep the most recently used prompt blocks, bounded by their number."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(self, keys: tuple[int, ...]) -> tuple[int, list[int]]:
        """Return the number of leading blocks found, and the keys that were added."""
        found = 0
        for key in keys:
            if key not in self._blocks:
                break
            found += 1
        # A block without those before it is useless, so the last ones are to be evicted first.
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return found, list(keys[found:])

    def clear(self) -> None:
        """Forget everything, as a crash does."""
        self._blocks.clear()
