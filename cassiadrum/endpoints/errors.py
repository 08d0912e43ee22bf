"""Errors of the calls to endpoints."""

from cassiadrum.errors import CassiadrumError

__all__ = ["EndpointError", "EndpointResponseLost", "EndpointUnreachable"]


class EndpointError(CassiadrumError):
    """Base of the errors of endpoints."""


class EndpointUnreachable(EndpointError):
    """The call was certainly not sent, so it did not run."""


class EndpointResponseLost(EndpointError):
    """The call was sent and its answer did not arrive whole; whether it ran is unknown."""
