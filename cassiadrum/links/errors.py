"""Errors of the links between processes."""

from cassiadrum.errors import CassiadrumError

__all__ = ["BadFrame", "BytesGone", "LinkError"]


class LinkError(CassiadrumError):
    """Base of the errors of the links."""


class BadFrame(LinkError):
    """A frame is not a valid message."""


class BytesGone(LinkError):
    """The requested position of an answer is no longer buffered."""
