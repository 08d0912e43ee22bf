"""Split a byte stream at the boundaries of server-sent events."""

import re

__all__ = ["EventSplitter", "has_event"]

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"
# A line, whole or not, that is not a comment: the beginning of an event.
EVENT_LINE = re.compile(rb"(?m)^[^:\r\n]")


def has_event(data: bytes) -> bool:
    """Return whether data that begins a line has an event or a part of one, besides comments."""
    return EVENT_LINE.search(data) is not None


class EventSplitter:
    """Splitter that passes on complete events only, so that another engine can resume the stream.

    `events` counts the events passed on, except comments and the final `[DONE]`. A resumed stream
    goes on after that many events, so one counted too much would be missing.
    """

    def __init__(self) -> None:
        self.events = 0
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        # The bytes before the new ones contain no separator, but may end with half of one.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += data
        end = self._buffer.rfind(EVENT_SEPARATOR, searched)
        if end < 0:
            return b""
        complete = bytes(self._buffer[: end + 2])
        del self._buffer[: end + 2]
        self.events += _count_events(complete)
        return complete

    def discard_partial_event(self) -> bool:
        """Drop the bytes after the last event; return whether an event had begun in them."""
        return has_event(self.take_rest())

    def take_rest(self) -> bytes:
        """Return and clear the bytes that are left at the end of the stream."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest


def _count_events(complete: bytes) -> int:
    # The loop costs several times as much as the count, and hardly any stream needs it.
    if (
        b"\n:" not in complete
        and b"\n\n\n" not in complete
        and DONE_EVENT not in complete
        and complete[:1] not in b":\n"
    ):
        return complete.count(EVENT_SEPARATOR)
    return sum(
        has_event(part) and part.strip(b"\n") != DONE_EVENT
        for part in complete.split(EVENT_SEPARATOR)
    )
