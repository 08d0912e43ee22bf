"""Base class of hedging policies."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["HedgePolicy"]


class HedgePolicy(ABC):
    """Decides whether a slow request gets a second copy, and accounts for the wasted work."""

    @abstractmethod
    def may_hedge(self, req: QueuedRequest, waited_s: float, now: float) -> bool:
        """Return whether a request that has waited `waited_s` for its first token may be hedged.

        `waited_s` is in seconds since the dispatch.
        """

    @abstractmethod
    def record_hedge_started(self) -> None:
        """Count a hedge that was sent, whose waste is not known yet."""

    @abstractmethod
    def record_hedge_ended(self) -> None:
        """Count the end of a losing copy; its wasted tokens must have been added before."""

    @abstractmethod
    def observe_first_token(self, class_name: str, waited_s: float) -> None:
        """Record the seconds from the first dispatch of a request to its first token."""

    @abstractmethod
    def add_wasted_tokens(self, tokens: int) -> None:
        """Add tokens that a losing copy computed."""

    @abstractmethod
    def add_useful_tokens(self, tokens: int) -> None:
        """Add tokens of a delivered answer."""
