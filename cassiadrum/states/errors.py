"""Errors of the shared state."""

from cassiadrum.errors import CassiadrumError

__all__ = ["FencingRefused", "InvalidRecord", "LeaseLost", "StateError"]


class StateError(CassiadrumError):
    """Base of the errors of the shared state."""


class InvalidRecord(StateError):
    """A row or a peer's record cannot be used."""


class LeaseLost(StateError):
    """The lease is not held, or not known to be held, at this moment."""


class FencingRefused(StateError):
    """An order's fencing token is old, or the lease row could not be read."""
