"""Splitting of a byte stream into whole server-sent events."""

__all__ = ["EventSplitter"]

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"


class EventSplitter:
    """Pass on whole events only, so that another engine can continue after the last one.

    `events` counts the content events passed on; the closing `[DONE]` is not counted.
    """

    def __init__(self) -> None:
        self.events = 0
        self._buffer = b""

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the unfinished event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events among them."""
        self._buffer += data
        end = self._buffer.rfind(EVENT_SEPARATOR)
        if end < 0:
            return b""
        whole, self._buffer = self._buffer[: end + 2], self._buffer[end + 2 :]
        self.events += whole.count(EVENT_SEPARATOR) - whole.count(DONE_EVENT)
        return whole

    def discard_partial_event(self) -> None:
        """Drop the part of an event that a failed attempt left."""
        self._buffer = b""

    def take_rest(self) -> bytes:
        """Return what is left at the end of the stream."""
        rest, self._buffer = self._buffer, b""
        return rest
