"""Calls to endpoints."""

from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["EndpointCall"]


class EndpointCall(NamedTuple):
    """A call to an endpoint.

    `delivered_events` counts the stream events of an earlier attempt that the caller already has;
    an engine continues after them. `repeatable` is False for calls that may run only once.
    """

    call_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    tier: int = 0
    key: str = ""
    delivered_events: int = 0
    repeatable: bool = True
