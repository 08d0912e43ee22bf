"""A fetch of the rest of an answer."""

import asyncio

from cassiadrum.links import Link
from cassiadrum.links.messages import Attach, Data, Message

__all__ = ["AnswerFetch"]


class AnswerFetch:
    """The part of an answer that has arrived; `position` counts its bytes.

    The queue of messages is bounded because a sidecar stops sending at STREAM_BUFFER_BYTES
    unacknowledged bytes.
    """

    def __init__(self, attempt_id: str, instance: str, position: int) -> None:
        self.attempt_id = attempt_id
        self.instance = instance
        self.position = position
        self.messages: asyncio.Queue[Message] = asyncio.Queue()
        self.ended = False
        self._link: Link | None = None

    @property
    def attached(self) -> bool:
        """Return whether the link that carries the answer is open."""
        return self._link is not None and not self._link.closed

    def attach(self, link: Link) -> None:
        """Request the rest of the answer over a link; messages already queued are kept."""
        self._link = link
        link.send(Attach(self.attempt_id, self.position))

    def send(self, msg: Message) -> None:
        """Send a message over the current link, if there is one."""
        if self._link is not None:
            self._link.send(msg)

    def new_bytes(self, msg: Data) -> bytes:
        """Return the bytes that have not arrived before and advance; after a gap, none."""
        _, position, data = msg.parts[0]
        if position > self.position:
            return b""
        data = data[self.position - position :]
        self.position += len(data)
        return data
