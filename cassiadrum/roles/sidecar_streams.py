"""One attempt at a sidecar."""

import asyncio

from cassiadrum.decisions import QueuedRequest
from cassiadrum.defaults import LIMITS
from cassiadrum.links import Link, StreamBuffer
from cassiadrum.links.messages import End, Head, StartRequest
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
        # Monotonic time since when no link is attached.
        self.idle_since_s: float | None = None
        self.acked_end = False

    def send(self, msg: Head | End) -> None:
        """Send a message if a link is attached."""
        if self.link is not None:
            self.link.send(msg)
