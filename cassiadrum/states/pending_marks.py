"""States of claims that could not be written yet."""

from collections import OrderedDict
from typing import NamedTuple

from cassiadrum.states.claim_keys import ClaimKey
from cassiadrum.states.claim_records import ClaimRecord

__all__ = ["PendingMark", "PendingMarks"]

# An estimate of the memory of a mark without its answer's body.
MARK_BYTES = 1024


class PendingMark(NamedTuple):
    """A claim's record to write when the store is back."""

    key: ClaimKey
    record: ClaimRecord

    def size(self) -> int:
        """Return the approximate size in bytes."""
        return MARK_BYTES + (len(self.record.answer.body) if self.record.answer else 0)


class PendingMarks:
    """Keep marks by operation id up to a size in bytes; the oldest are dropped first.

    A claim whose mark is dropped becomes `unknown` when it expires.
    """

    def __init__(self, limit_bytes: int = 2 * 1024 * 1024) -> None:
        self._limit_bytes = limit_bytes
        self._marks: OrderedDict[str, PendingMark] = OrderedDict()
        self._bytes = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._marks)

    def add(self, mark: PendingMark) -> None:
        """Add a mark, or replace the one of the same operation."""
        self.remove(mark.record.operation_id)
        self._marks[mark.record.operation_id] = mark
        self._bytes += mark.size()
        while self._bytes > self._limit_bytes:
            self.remove(next(iter(self._marks)))
            self.dropped += 1

    def remove(self, operation_id: str) -> None:
        """Remove the mark of an operation, if there is one."""
        mark = self._marks.pop(operation_id, None)
        if mark is not None:
            self._bytes -= mark.size()

    def snapshot(self) -> list[PendingMark]:
        """Return the marks, oldest first."""
        return list(self._marks.values())
