"""Client of plain HTTP services."""

from cassiadrum.endpoints.endpoint_loads import EndpointLoad
from cassiadrum.endpoints.http_endpoints import HttpEndpoint

__all__ = ["PlainEndpoint"]


class PlainEndpoint(HttpEndpoint):
    """A plain HTTP service, which has no control interface.

    A call that was sent runs to its end: closing its connection would not undo its effect.
    """

    async def cancel(self, call_id: str) -> None:
        """Do nothing: the sidecar closes the connection."""

    async def pause(self, call_id: str) -> None:
        """Do nothing: `can_pause` is False."""

    async def resume(self, call_id: str) -> None:
        """Do nothing: `can_pause` is False."""

    async def load(self) -> EndpointLoad:
        """Return an empty load, since a plain service reports none."""
        return EndpointLoad()

    async def order(self, action: str, subject: str, fencing: int) -> tuple[bool, str]:
        """Refuse: plain services take no orders."""
        return False, "a plain service takes no orders"
