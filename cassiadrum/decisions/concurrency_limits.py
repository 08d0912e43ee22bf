"""Base class of concurrency limits."""

from abc import ABC, abstractmethod

__all__ = ["ConcurrencyLimit"]


class ConcurrencyLimit(ABC):
    """Limit on the number of requests that run on one endpoint at a time."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Return the current limit, at least 1."""

    @abstractmethod
    def observe(
        self,
        first_token_s: float,
        inter_token_s: float,
        running: int,
        now: float,
        class_name: str = "",
    ) -> None:
        """Record one stream's latencies, in seconds, measured while `running` streams ran."""
