"""A request that an entry instance has accepted and not answered yet."""

import asyncio

from cassiadrum.decisions import QueuedRequest
from cassiadrum.documents import RequestClass
from cassiadrum.frontends import EventSplitter
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import CallerEvent

__all__ = ["PendingRequest"]


class PendingRequest:
    """Hold a request, its attempts and the queue towards the task that answers the caller.

    The queue is bounded by the sidecar, which stops at STREAM_BUFFER_BYTES not acknowledged.
    """

    def __init__(
        self,
        queued: QueuedRequest,
        request_class: RequestClass,
        http: HttpRequest,
        target: str,
        idempotency_key: str,
        silence_limit_s: float = 0.0,
    ) -> None:
        self.queued = queued
        self.request_class = request_class
        self.http = http
        self.target = target
        self.idempotency_key = idempotency_key
        self.silence_limit_s = silence_limit_s
        # None tells that the caller is gone.
        self.caller_events: asyncio.Queue[CallerEvent | None] = asyncio.Queue()
        self.attempts: dict[str, Attempt] = {}
        self.attempts_made = 0
        self.splitter = EventSplitter()
        self.head_sent = False
        # Whether the head announced an event stream.
        self.streaming = False
        self.caller_disconnected = False
        # The attempt whose answer the caller receives; a hedge copy that answers later loses.
        self.winner: str | None = None
        self.first_token_s: float | None = None

    def describe(self) -> str:
        """Return the request, its class and where its attempts run."""
        req = self.queued
        places = ", ".join(attempt.instance for attempt in self.attempts.values())
        return f"{req.request_id} {req.service}/{req.class_name} at {places or 'the queue'}"
