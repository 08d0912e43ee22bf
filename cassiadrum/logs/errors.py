"""Errors of the logging configuration."""

from cassiadrum.errors import CassiadrumError

__all__ = ["LogError"]


class LogError(CassiadrumError):
    """The log format or log level is unknown."""
