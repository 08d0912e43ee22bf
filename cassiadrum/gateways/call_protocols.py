"""Interface of the wire protocol between callers, the gateway and endpoints."""

from abc import ABC, abstractmethod

from cassiadrum.gateways.answer_heads import AnswerHead, LoadSample
from cassiadrum.gateways.calls import Call
from cassiadrum.gateways.endpoint_entries import EndpointEntry
from cassiadrum.protocols import Headers, HttpRequest

__all__ = ["CallProtocol"]


class CallProtocol(ABC):
    """The wire format of requests and answers, towards callers and endpoints."""

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
        """Return the headers of a call to an endpoint, without the framing of the body."""

    @property
    @abstractmethod
    def load_path(self) -> str:
        """Return the path of a model engine's load report."""

    @abstractmethod
    def decode_load(self, body: bytes, slots: int) -> LoadSample:
        """Return the load in a report; raise BadMessage if it is malformed."""

    @abstractmethod
    def decode_started_ms(self, body: bytes) -> int | None:
        """Return when the endpoint of a load report started, None if it does not state it.

        The time is in milliseconds since 1970.
        """

    @abstractmethod
    def decode_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
