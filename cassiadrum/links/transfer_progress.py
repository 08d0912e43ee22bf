"""Progress of large messages on a link, which counts as a sign of life."""

from cassiadrum.protocols import MIN_PART_BYTES

__all__ = ["TransferProgress"]


class TransferProgress:
    """Count of transferred bytes, by parts of MIN_PART_BYTES.

    A message larger than a link passes on within the silence limit holds up the heartbeats of its
    direction.
    """

    def __init__(self) -> None:
        self._counted_bytes = 0

    def has_advanced(self, transferred_bytes: int) -> bool:
        """Return whether a part has been transferred since the last time it was."""
        if transferred_bytes - self._counted_bytes < MIN_PART_BYTES:
            return False
        self._counted_bytes = transferred_bytes
        return True
