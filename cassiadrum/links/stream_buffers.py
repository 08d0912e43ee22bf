"""Buffer for the answer of one attempt at the sidecar."""

from cassiadrum.links.errors import PositionUnavailable

__all__ = ["StreamBuffer"]


class StreamBuffer:
    """The tail of an answer, which can be sent again from any position in it.

    Positions count bytes of the whole answer. Acknowledged bytes are kept, up to `capacity` bytes
    in total, for a caller that reconnects through another entry instance. Unacknowledged bytes are
    always kept; the producer has to wait while there are `capacity` or more of them.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._data = bytearray()
        self._start = 0
        self._acked = 0

    @property
    def end(self) -> int:
        """Return the position after the last byte."""
        return self._start + len(self._data)

    @property
    def full(self) -> bool:
        """Return whether the producer has to wait for an acknowledgement."""
        return self.end - self._acked >= self._capacity

    def append(self, data: bytes) -> int:
        """Append bytes and return the position of the first."""
        position = self.end
        self._data += data
        self._trim()
        return position

    def ack(self, position: int) -> None:
        """Mark the bytes before `position` as delivered."""
        self._acked = max(self._acked, min(position, self.end))
        self._trim()

    def read_from(self, position: int) -> bytes:
        """Return the bytes from `position` on.

        Raises PositionUnavailable when the position is before or after the buffered bytes.
        """
        if not self._start <= position <= self.end:
            raise PositionUnavailable(
                f"position {position} is outside the buffered bytes {self._start} to {self.end}"
            )
        return bytes(self._data[position - self._start :])

    def _trim(self) -> None:
        excess = len(self._data) - self._capacity
        spare = min(excess, self._acked - self._start)
        if spare > 0:
            del self._data[:spare]
            self._start += spare
