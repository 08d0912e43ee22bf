"""Splitting of a byte stream into whole server-sent events."""

__all__ = ["EventSplitter"]

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"


class EventSplitter:
    """Pass on whole events only, so that another engine can continue after the last one.

    `events` counts the content events passed on; the closing `[DONE]` is not counted.
    """

    def __init__(self) -> None:
        self.events = 0
        self._rest = b""

    @property
    def held_bytes(self) -> int:
        """Return the size of the unfinished event."""
        return len(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events among them."""
        self._rest += data
        end = self._rest.rfind(SEPARATOR)
        if end < 0:
            return b""
        whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
        self.events += whole.count(SEPARATOR) - whole.count(DONE)
        return whole

    def restart(self) -> None:
        """Drop the part of an event that a failed attempt left."""
        self._rest = b""

    def rest(self) -> bytes:
        """Return what is left at the end of the stream."""
        rest, self._rest = self._rest, b""
        return rest
