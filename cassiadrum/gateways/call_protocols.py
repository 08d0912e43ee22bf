"""Interface of the wire format between callers, gateway and endpoints."""

from abc import ABC, abstractmethod

from cassiadrum.gateways.answer_heads import AnswerHead
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

    @abstractmethod
    def decode_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
