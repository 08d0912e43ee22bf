"""Base class of all errors; each package derives its own errors from it."""

__all__ = ["CassiadrumError"]


class CassiadrumError(Exception):
    """Base class of the errors that this project raises."""
