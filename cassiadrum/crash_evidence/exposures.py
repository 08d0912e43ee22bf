"""How requests were exposed to the end of an endpoint."""

from typing import NamedTuple

__all__ = ["Exposure"]


class Exposure(NamedTuple):
    """The time of a whole request at an endpoint that ended.

    `held_s` is the longest time in seconds for which such a request was there, None if it is not
    known. `resent` tells whether one was sent there after an earlier crash under it was known,
    `begun` whether all of them had whole events of their answers.
    """

    held_s: float | None = None
    resent: bool = False
    begun: bool = False

    def merged(self, other: "Exposure") -> "Exposure":
        """Return the exposure of both."""
        held = [found for found in (self.held_s, other.held_s) if found is not None]
        return Exposure(
            max(held, default=None), self.resent or other.resent, self.begun and other.begun
        )
