"""Bound on the memory that request bodies take in one server."""

__all__ = ["BodyBudget"]


class BodyBudget:
    """Count the bytes of all bodies that are being read or served.

    Each request has `free_bytes` of its own, so that large bodies cannot keep a small request
    out; the rest comes from `limit_bytes`, which all share.
    """

    def __init__(self, limit_bytes: int, exempt_bytes: int) -> None:
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._exempt_bytes = exempt_bytes

    def try_resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Let one body grow; return False when the shared limit does not allow it."""
        more = self._shared_part(new_bytes) - self._shared_part(old_bytes)
        if self.used_bytes + more > self._limit_bytes:
            return False
        self.used_bytes += more
        return True

    def release(self, size_bytes: int) -> None:
        """Give back what a body has taken."""
        self.used_bytes -= self._shared_part(size_bytes)

    def _shared_part(self, size_bytes: int) -> int:
        return max(0, size_bytes - self._exempt_bytes)
