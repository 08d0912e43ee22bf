"""Limit on the memory that message bodies take."""

__all__ = ["MemoryBudget"]


class MemoryBudget:
    """Limit the total size of the bodies that are held in memory at one time.

    The first `exempt_bytes` of each body are not counted, so that large bodies cannot block small
    ones. All bytes beyond them count towards the shared `limit_bytes`.
    """

    def __init__(self, limit_bytes: int, exempt_bytes: int) -> None:
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._exempt_bytes = exempt_bytes

    def try_resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of one body; return False, without effect, above the shared limit."""
        added_bytes = self._shared_part(new_bytes) - self._shared_part(old_bytes)
        if self.used_bytes + added_bytes > self._limit_bytes:
            return False
        self.used_bytes += added_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Return the bytes of a body to the budget."""
        self.used_bytes -= self._shared_part(size_bytes)

    def _shared_part(self, size_bytes: int) -> int:
        return max(0, size_bytes - self._exempt_bytes)
