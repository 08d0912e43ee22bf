"""A request that an entry instance has accepted but not answered yet."""

import asyncio

from cassiadrum.crash_evidence import Content
from cassiadrum.decisions import QueuedRequest
from cassiadrum.documents import RequestClass
from cassiadrum.frontends import EventSplitter
from cassiadrum.protocols import HttpRequest
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import CallerEvent
from cassiadrum.roles.request_contents import find_contents

__all__ = ["PendingRequest"]


class PendingRequest:
    """A request, its attempts and the queue to the task that serves the caller.

    The queue is bounded because a sidecar stops sending at STREAM_BUFFER_BYTES unacknowledged
    bytes. `target` is the request target at the endpoint. `silence_limit_s` bounds the time
    without a byte from the endpoint, 0 for no bound.
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
        # What the request has in common with others, by which those are found that end endpoints.
        self.contents = find_contents(queued, http, target)
        # The one among them with which the request is sent although it is blamed.
        self.tried_content: Content | None = None
        # Whether an endpoint had ended under such a request before the last attempt.
        self.resent = False
        # None means that the caller has disconnected.
        self.caller_events: asyncio.Queue[CallerEvent | None] = asyncio.Queue()
        self.attempts: dict[str, Attempt] = {}
        self.attempts_made = 0
        self.splitter = EventSplitter()
        # Whether a whole event was relayed to the caller.
        self.event_sent = False
        # Whether a failed attempt had begun an event that has not come since.
        self.next_event_exists = False
        self.head_sent = False
        # Id of the attempt whose head was sent.
        self.head_attempt_id = ""
        # Status of the head that was sent.
        self.status = 0
        # Whether the head that was sent announced an event stream.
        self.streaming = False
        self.caller_disconnected = False
        # Id of the attempt whose answer the caller receives; the answer of a slower hedge copy is
        # discarded.
        self.winner: str | None = None
        self.first_token_s: float | None = None

    def describe(self) -> str:
        """Return a line with the request's id and class and the sidecars of its attempts."""
        req = self.queued
        instances = ", ".join(attempt.instance for attempt in self.attempts.values())
        return f"{req.request_id} {req.service}/{req.class_name} at {instances or 'the queue'}"
