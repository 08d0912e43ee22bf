"""Errors of links between processes."""

from cassiadrum.errors import CassiadrumError

__all__ = ["BadCertificate", "BadFrame", "LinkError", "PositionUnavailable"]


class LinkError(CassiadrumError):
    """Base class of link errors."""


class BadCertificate(LinkError):
    """The certificate, key or CA file cannot be loaded."""


class BadFrame(LinkError):
    """A frame violates the link protocol."""


class PositionUnavailable(LinkError):
    """The requested position of an answer is not in the buffer."""
