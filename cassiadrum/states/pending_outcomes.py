"""Outcomes of claims that could not be written yet."""

from collections import OrderedDict
from typing import NamedTuple

from cassiadrum.states.claim_keys import ClaimKey
from cassiadrum.states.claim_records import ClaimRecord

__all__ = ["PendingOutcome", "PendingOutcomes"]

# Estimated memory of an outcome without its answer's body.
OUTCOME_OVERHEAD_BYTES = 1024


class PendingOutcome(NamedTuple):
    """A claim's record to write when the store is available again."""

    key: ClaimKey
    record: ClaimRecord

    def size(self) -> int:
        """Return the approximate size in bytes."""
        return OUTCOME_OVERHEAD_BYTES + (len(self.record.answer.body) if self.record.answer else 0)


class PendingOutcomes:
    """Buffer of outcomes by operation id up to a size in bytes; the oldest are dropped first.

    A claim whose outcome is dropped becomes `unknown` when it expires.
    """

    def __init__(self, limit_bytes: int = 2 * 1024 * 1024) -> None:
        self._limit_bytes = limit_bytes
        self._outcomes: OrderedDict[str, PendingOutcome] = OrderedDict()
        self._bytes = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._outcomes)

    def add(self, outcome: PendingOutcome) -> None:
        """Add an outcome, or replace the one of the same operation."""
        self.remove(outcome.record.operation_id)
        self._outcomes[outcome.record.operation_id] = outcome
        self._bytes += outcome.size()
        while self._bytes > self._limit_bytes:
            self.remove(next(iter(self._outcomes)))
            self.dropped += 1

    def remove(self, operation_id: str) -> None:
        """Remove the outcome of an operation, if there is one."""
        outcome = self._outcomes.pop(operation_id, None)
        if outcome is not None:
            self._bytes -= outcome.size()

    def snapshot(self) -> list[PendingOutcome]:
        """Return the outcomes, oldest first."""
        return list(self._outcomes.values())
