"""Errors of calls to endpoints."""

from cassiadrum.errors import CassiadrumError

__all__ = ["EndpointError", "EndpointResponseLost", "EndpointUnreachable"]


class EndpointError(CassiadrumError):
    """Base class of endpoint errors."""


class EndpointUnreachable(EndpointError):
    """The call was not sent, so it certainly did not run."""


class EndpointResponseLost(EndpointError):
    """The call was sent but no complete answer arrived; whether it ran is unknown."""
