"""Base class of what a sidecar stands beside."""

from abc import ABC, abstractmethod

from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoint_loads import EndpointLoad
from cassiadrum.protocols import HttpResponse

__all__ = ["Endpoint"]


class Endpoint(ABC):
    """Speak to one endpoint; a new wire format is a new subclass in a file of its own."""

    # Whether a running stream can be paused and resumed without computing it again.
    can_pause: bool = False

    @abstractmethod
    async def call(self, call: EndpointCall) -> HttpResponse:
        """Start a call and return its response with the body as a stream.

        Raises EndpointUnreachable when the call did not run and EndpointResponseLost when that is
        unknown; reading the body raises AnswerLost when it ends early.
        """

    @abstractmethod
    async def cancel(self, call_id: str) -> None:
        """Stop computing an answer that nobody receives."""

    @abstractmethod
    async def pause(self, call_id: str) -> None:
        """Stop a stream and keep its KV cache."""

    @abstractmethod
    async def resume(self, call_id: str) -> None:
        """Go on with a paused stream."""

    @abstractmethod
    async def load(self) -> EndpointLoad:
        """Return the load as the endpoint reports it."""

    @abstractmethod
    async def order(self, action: str, subject: str, fencing: int) -> tuple[bool, str]:
        """Carry out an order; return whether it was accepted and the reason when not."""

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
