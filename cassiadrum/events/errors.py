"""Errors raised when events are decoded."""

from cassiadrum.errors import CassiadrumError

__all__ = ["EventError"]


class EventError(CassiadrumError):
    """An encoded event does not have the expected shape."""
