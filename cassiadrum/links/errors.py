"""Errors of the links between processes."""

from cassiadrum.errors import CassiadrumError

__all__ = ["BadCertificate", "BadFrame", "LinkError", "PositionUnavailable"]


class LinkError(CassiadrumError):
    """Base of the errors of the links."""


class BadCertificate(LinkError):
    """The files of certificate, key and CA cannot be loaded."""


class BadFrame(LinkError):
    """A frame is not a valid message."""


class PositionUnavailable(LinkError):
    """The requested position of an answer is no longer buffered."""
