"""One call to an endpoint."""

from typing import NamedTuple

from cassiadrum.protocols import Headers

__all__ = ["EndpointCall"]


class EndpointCall(NamedTuple):
    """Hold what an endpoint needs to know of a call.

    `delivered_events` counts the stream events of an earlier attempt that the caller has, from
    which an engine continues. `repeatable` is False for calls that may run once only.
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
