"""The root of the exception tree; each package derives its own errors from it."""

__all__ = ["CassiadrumError"]


class CassiadrumError(Exception):
    """Base of every error that this project raises on purpose."""
