"""Buffer of one answer at the sidecar."""

from cassiadrum.links.errors import PositionUnavailable

__all__ = ["StreamBuffer"]


class StreamBuffer:
    """Keep the tail of an answer, so that it can be sent again from any kept position.

    Positions count bytes of the whole answer. At most `capacity` acknowledged bytes are kept
    for a caller that comes back through another entry instance; bytes not yet acknowledged are
    always kept, and the producer stops while there are more than `capacity` of them.
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
        """Tell whether the producer has to wait for an acknowledgement."""
        return self.end - self._acked >= self._capacity

    def append(self, data: bytes) -> int:
        """Add bytes and return the position of the first."""
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

        Raises PositionUnavailable when they are no longer or not yet there.
        """
        if not self._start <= position <= self.end:
            raise PositionUnavailable(
                f"position {position} is outside {self._start} to {self.end}"
            )
        return bytes(self._data[position - self._start :])

    def _trim(self) -> None:
        excess = len(self._data) - self._capacity
        spare = min(excess, self._acked - self._start)
        if spare > 0:
            del self._data[:spare]
            self._start += spare
