"""Interface of the wire format between callers, gateway and endpoints."""

from abc import ABC, abstractmethod

from cassiadrum.gateways.answer_heads import AnswerHead, LoadSample
from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_entries import EndpointEntry
from cassiadrum.protocols import Headers, HttpRequest

__all__ = ["CallProtocol"]


class CallProtocol(ABC):
    """Decode requests and answers, and encode what the gateway sends."""

    @abstractmethod
    def decode_call(self, req: HttpRequest) -> Call:
        """Return the call; raise BadMessage for a request without an id."""

    @abstractmethod
    def encode_call(
        self,
        call: Call,
        entry: EndpointEntry,
        *,
        customer: str,
        priority: int,
        timeout_s: float,
        last_event_id: str,
    ) -> Headers:
        """Return the headers of a call to an endpoint, without those that frame the body."""

    @property
    @abstractmethod
    def load_path(self) -> str:
        """Return the path at which a model engine reports its load."""

    @abstractmethod
    def decode_load(self, body: bytes, slots: int) -> LoadSample:
        """Return the load in a report; raise BadMessage."""

    @abstractmethod
    def decode_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
