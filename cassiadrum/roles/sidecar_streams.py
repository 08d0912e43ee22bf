"""State of an attempt at a sidecar."""

import asyncio

from cassiadrum.decisions import QueuedRequest
from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, StreamBuffer
from cassiadrum.links.messages import End, Head, StartRequest
from cassiadrum.roles.sidecar_messages import CallHead
from cassiadrum.roles.stream_timings import StreamTiming

__all__ = ["SidecarStream"]


class SidecarStream:
    """An attempt, its buffered answer and the link that it is attached to.

    `tokens` counts the tokens that the endpoint has computed, delivered to the caller or not.
    `buffer_has_space` is clear while the buffer is full; the task that reads the endpoint's answer
    waits for it.
    """

    def __init__(self, start: StartRequest, queued: QueuedRequest, link: Link) -> None:
        self.start = start
        self.queued = queued
        self.link: Link | None = link
        self.buffer = StreamBuffer(LIMITS.STREAM_BUFFER_BYTES)
        self.call_head: CallHead | None = None
        self.head: Head | None = None
        self.end: End | None = None
        self.task: asyncio.Task[None] | None = None
        self.timing: StreamTiming | None = None
        self.buffer_has_space = asyncio.Event()
        self.buffer_has_space.set()
        self.cancelled = False
        self.paused = False
        # Seconds without a byte from the endpoint while one was expected.
        self.silent_s = 0.0
        self.silence_expired = False
        self.tokens = 0
        self.abandoned = False
        # Monotonic time of the detachment, None while a link is attached.
        self.detached_since_s: float | None = None
        self.end_acked = False

    def send(self, msg: Head | End) -> None:
        """Send a message if a link is attached."""
        if self.link is not None:
            self.link.send(msg)

    def unfinished(self, now: float) -> bool:
        """Return whether the call runs or an entry instance may still fetch its answer."""
        if self.end is None:
            return True
        if self.end_acked:
            return False
        # A detached entry instance may still reconnect within DETACHED_STREAM_TIMEOUT_S.
        waits_s = 0.0 if self.detached_since_s is None else now - self.detached_since_s
        return self.link is not None or waits_s < LIMITS.DETACHED_STREAM_TIMEOUT_S

    def abandon(self) -> None:
        """Let a call that must not be cancelled run to its end and discard its answer."""
        self.abandoned = True
        self.buffer.ack(self.buffer.end)
        self.buffer_has_space.set()

    def describe(self) -> str:
        """Return a line with the attempt, its service and class, and its state."""
        state = "running" if self.end is None else "answer not yet delivered"
        return f"{self.start.attempt_id} {self.start.service}/{self.start.class_name} {state}"
