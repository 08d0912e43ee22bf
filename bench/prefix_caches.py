"""Prefix cache of a fake engine."""

from collections import OrderedDict

__all__ = ["PrefixCache"]


class PrefixCache:
    """LRU cache of prompt blocks, bounded by their number."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(self, keys: tuple[int, ...]) -> tuple[int, list[int]]:
        """Look up and insert a prompt's blocks.

        Returns the number of leading blocks found and the keys that were added.
        """
        found = 0
        for key in keys:
            if key not in self._blocks:
                break
            found += 1
        # A block is usable only with all blocks before it, so the last blocks are evicted first.
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return found, list(keys[found:])

    def clear(self) -> None:
        """Remove all blocks, as a crash does."""
        self._blocks.clear()
