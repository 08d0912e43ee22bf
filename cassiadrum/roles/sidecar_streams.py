"""One attempt at a sidecar."""

import asyncio

from cassiadrum.decisions import QueuedRequest
from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, StreamBuffer
from cassiadrum.links.messages import End, Head, StartRequest
from cassiadrum.roles.sidecar_messages import CallHead
from cassiadrum.roles.stream_timings import StreamTiming

__all__ = ["SidecarStream"]


class SidecarStream:
    """Hold an attempt, its buffered answer and the link that it is attached to.

    `tokens` counts what the endpoint computed so far, known or not to the caller.
    `room` is clear while the buffer is full, which stops the task that reads the endpoint.
    """

    def __init__(self, start: StartRequest, queued: QueuedRequest, link: Link) -> None:
        self.start = start
        self.queued = queued
        self.link: Link | None = link
        self.buffer = StreamBuffer(LIMITS.STREAM_BUFFER_BYTES)
        self.answered: CallHead | None = None
        self.head: Head | None = None
        self.end: End | None = None
        self.task: asyncio.Task[None] | None = None
        self.timing: StreamTiming | None = None
        self.room = asyncio.Event()
        self.room.set()
        self.cancelled = False
        self.paused = False
        # Time without a byte from the endpoint while one was expected, in seconds.
        self.silent_s = 0.0
        self.given_up = False
        self.tokens = 0
        self.abandoned = False
        # Monotonic time since when no link is attached.
        self.idle_since_s: float | None = None
        self.acked_end = False

    def send(self, msg: Head | End) -> None:
        """Send a message if a link is attached."""
        if self.link is not None:
            self.link.send(msg)

    def unfinished(self, now: float) -> bool:
        """Tell whether the call runs or an entry instance may still fetch its answer."""
        if self.end is None:
            return True
        if self.acked_end:
            return False
        # Without a link the entry instance may be dialling again.
        waits_s = 0.0 if self.idle_since_s is None else now - self.idle_since_s
        return self.link is not None or waits_s < LIMITS.DETACHED_STREAM_TIMEOUT_S

    def abandon(self) -> None:
        """Let a call that may not be cut run to its end without a receiver."""
        self.abandoned = True
        self.buffer.ack(self.buffer.end)
        self.room.set()

    def describe(self) -> str:
        """Return the attempt, its class and what it waits for."""
        state = "running" if self.end is None else "waiting for its delivery"
        return f"{self.start.attempt_id} {self.start.service}/{self.start.class_name} {state}"
