"""Errors of the logging set-up."""

from cassiadrum.errors import CassiadrumError

__all__ = ["LogError"]


class LogError(CassiadrumError):
    """The format or level of the log is not known."""
