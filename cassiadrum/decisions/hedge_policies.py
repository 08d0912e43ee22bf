"""Base class of the decision to send a second copy of a slow request."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["HedgePolicy"]


class HedgePolicy(ABC):
    """Bound the copies of requests by the work they waste."""

    @abstractmethod
    def may_hedge(self, req: QueuedRequest, waited_s: float, now: float) -> bool:
        """Tell whether a request without a first token since `waited_s` may get a copy."""

    @abstractmethod
    def record_hedge_started(self) -> None:
        """Count a copy that was sent; its waste is not known yet."""

    @abstractmethod
    def record_hedge_ended(self) -> None:
        """Count the end of a losing copy, after its waste was counted."""

    @abstractmethod
    def observe_first_token(self, class_name: str, waited_s: float) -> None:
        """Learn the seconds from the first dispatch of a request to its first token."""

    @abstractmethod
    def add_wasted_tokens(self, tokens: int) -> None:
        """Count tokens computed for a losing copy."""

    @abstractmethod
    def add_useful_tokens(self, tokens: int) -> None:
        """Count tokens of an answer that was delivered."""
