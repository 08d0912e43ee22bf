"""Base class of endpoints, the back ends that sidecars call."""

from abc import ABC, abstractmethod

from cassiadrum.endpoints.endpoint_calls import EndpointCall
from cassiadrum.endpoints.endpoint_loads import EndpointLoad
from cassiadrum.protocols import HttpResponse

__all__ = ["Endpoint"]


class Endpoint(ABC):
    """Client of one endpoint; each wire format has a subclass in its own file."""

    # Whether a running stream can be paused and resumed without being computed again.
    can_pause: bool = False

    @abstractmethod
    async def call(self, call: EndpointCall) -> HttpResponse:
        """Start a call and return its response with the body as a stream.

        Raises EndpointUnreachable when the call did not run and EndpointResponseLost when that is
        unknown; reading the body raises AnswerLost when it ends early.
        """

    @abstractmethod
    async def cancel(self, call_id: str) -> None:
        """Stop the computation of an answer that nobody receives."""

    @abstractmethod
    async def pause(self, call_id: str) -> None:
        """Pause a running stream; the endpoint keeps its KV cache."""

    @abstractmethod
    async def resume(self, call_id: str) -> None:
        """Resume a paused stream."""

    @abstractmethod
    async def has_ended(self) -> bool:
        """Return whether no process listens at the endpoint's address."""

    @abstractmethod
    async def lives(self) -> bool:
        """Return whether the endpoint answers a request that is sent now, whatever it answers."""

    @abstractmethod
    async def load(self) -> EndpointLoad:
        """Return the load as the endpoint reports it."""

    @abstractmethod
    async def order(self, action: str, subject: str, fencing: int) -> tuple[bool, str]:
        """Execute an order; return whether it was accepted, and the reason if not."""

    @abstractmethod
    def close(self) -> None:
        """Close idle connections."""
