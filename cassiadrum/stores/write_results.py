"""Results of a write: done, not done (conflict, refused) and unknown."""

from typing import NamedTuple

from cassiadrum.stores.rows import Row

__all__ = ["Conflict", "Done", "Refused", "Unknown", "WriteResult"]


class Done(NamedTuple):
    """The write is durable; `versions` has one entry for each row written."""

    versions: tuple[int, ...] = ()

    @property
    def version(self) -> int:
        """Return the version of the first row."""
        return self.versions[0]


class Conflict(NamedTuple):
    """Not done: the write at `position` met the row `row`, or no row if that is None."""

    row: Row | None
    position: int = 0


class Refused(NamedTuple):
    """Not done: the store refused the write, or this process did not send it."""

    reason: str
    retry_after_s: float = 0.0


class Unknown(NamedTuple):
    """The write was sent and its outcome is unknown; it may still be applied later."""

    reason: str


WriteResult = Done | Conflict | Refused | Unknown
