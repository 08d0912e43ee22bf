"""Errors of the store clients."""

from cassiadrum.errors import CassiadrumError

__all__ = ["NotApplied", "OutcomeLost", "StoreError", "StoreUnavailable"]


class StoreError(CassiadrumError):
    """Base class of the errors of the store clients."""


class StoreUnavailable(StoreError):
    """A read got no valid answer."""


class NotApplied(StoreError):
    """A request was certainly not applied; `retry_after_s` is 0 if unknown."""

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class OutcomeLost(StoreError):
    """A request may or may not have been applied."""
