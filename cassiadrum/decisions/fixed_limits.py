"""Constant concurrency limit."""

from cassiadrum.decisions.concurrency_limits import ConcurrencyLimit

__all__ = ["FixedLimit"]


class FixedLimit(ConcurrencyLimit):
    """Concurrency limit that ignores measured latencies; a limit below 1 is raised to 1."""

    def __init__(self, limit: int) -> None:
        self._limit = max(1, limit)

    @property
    def limit(self) -> int:
        """Return the configured limit."""
        return self._limit

    def observe(
        self,
        first_token_s: float,
        inter_token_s: float,
        running: int,
        now: float,
        class_name: str = "",
    ) -> None:
        """Ignore the measured latencies."""
