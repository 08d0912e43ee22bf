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
    """Not done: the row at `position` of the writes is as in `row`, None when there is none."""

    row: Row | None
    position: int = 0


class Refused(NamedTuple):
    """Not done: the store or this process did not take the write."""

    reason: str
    retry_after_s: float = 0.0


class Unknown(NamedTuple):
    """The write was sent and its outcome is not known; it may still be applied later."""

    reason: str


WriteResult = Done | Conflict | Refused | Unknown
