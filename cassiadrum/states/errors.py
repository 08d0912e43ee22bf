"""Errors of state shared through the table service."""

from cassiadrum.errors import CassiadrumError

__all__ = ["FencingRefused", "InvalidRecord", "LeaseLost", "StateError"]


class StateError(CassiadrumError):
    """Base class of the errors of shared state."""


class InvalidRecord(StateError):
    """A row or a peer's record cannot be decoded or is invalid."""


class LeaseLost(StateError):
    """The lease is not held, or not known to be held, at this time."""


class FencingRefused(StateError):
    """An order's fencing token is outdated, or the lease row could not be read."""
