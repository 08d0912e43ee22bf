"""State machine of a lease, without I/O; times are monotonic seconds of this instance."""

from typing import NamedTuple

from cassiadrum.states.errors import LeaseLost
from cassiadrum.states.lease_records import LeaseRecord

__all__ = ["LeaseStateMachine", "LeaseWrite"]


class LeaseWrite(NamedTuple):
    """A record to write if the row has version `expected`, 0 if there must be no row."""

    record: LeaseRecord
    expected: int


class LeaseStateMachine:
    """The decisions when to renew, take over and stop using one lease.

    A candidate waits `margin_s` beyond the duration, which covers clock rates that differ by up
    to margin_s / duration_s.
    """

    def __init__(self, holder: str, *, duration_s: float, margin_s: float) -> None:
        self._holder = holder
        self._duration_s = duration_s
        self._margin_s = margin_s
        self._version: int | None = None
        self._record: LeaseRecord | None = None
        self._seen_at_s = 0.0
        self._valid_from_s: float | None = None
        self._renewal = 0
        self._sent_at_s: dict[int, float] = {}

    @property
    def is_holder(self) -> bool:
        """Return whether the last row seen names this holder, expired or not."""
        return self._record is not None and self._record.holder == self._holder

    @property
    def needs_read(self) -> bool:
        """Return whether the row must be read before the next decision."""
        return not self.is_holder or bool(self._sent_at_s)

    def check(self, now: float) -> int:
        """Return the fencing token for an action that starts right now; raise LeaseLost.

        The validity counts from before the renewal was sent, so the check detects a pause of any
        length between renewal and check.
        """
        if self._record is None or not self.is_holder or self._valid_from_s is None:
            raise LeaseLost("the lease is not held")
        if now >= self._valid_from_s + self._duration_s:
            raise LeaseLost(
                f"the lease expired; its last renewal was {now - self._valid_from_s:.3f} s ago"
            )
        return self._record.fencing

    def observe(self, version: int, record: LeaseRecord | None, now: float) -> None:
        """Record the row as read; `version` is 0 and `record` None if there is no row."""
        if version != self._version:
            self._version = version
            self._record = record
            self._seen_at_s = now
            sent_at_s = self._sent_at_s.get(record.renewal) if record else None
            self._valid_from_s = sent_at_s if self.is_holder else None
        self._sent_at_s.clear()

    def next_write(self, now: float) -> LeaseWrite | None:
        """Return the write that is due (first row, renewal or takeover), None if there is none."""
        if self._version is None:
            return None
        if self._record is None:
            return self._renewal_write(1, now)
        if self.is_holder:
            return (
                self._renewal_write(self._record.fencing, now)
                if self._is_renewal_due(now)
                else None
            )
        waited_s = now - self._seen_at_s
        # The duration in the holder's row applies: settings may differ while they change.
        if self._record.holder and waited_s < self._record.duration_s + self._margin_s:
            return None
        return self._renewal_write(self._record.fencing + 1, now)

    def on_written(self, write: LeaseWrite, version: int) -> None:
        """Record that a write was applied."""
        self._version = version
        self._record = write.record
        self._valid_from_s = self._sent_at_s.get(write.record.renewal)
        self._sent_at_s.clear()

    def on_refused(self, write: LeaseWrite) -> None:
        """Record that a write was not applied and never will be."""
        self._sent_at_s.pop(write.record.renewal, None)

    def release(self) -> LeaseWrite | None:
        """Stop using the lease; return the write that lets others take it at once."""
        self._valid_from_s = None
        if self._record is None or not self.is_holder or self._version is None:
            return None
        self._renewal += 1
        record = self._record._replace(holder="", renewal=self._renewal)
        return LeaseWrite(record, self._version)

    def _is_renewal_due(self, now: float) -> bool:
        return self._valid_from_s is None or now >= self._valid_from_s + self._duration_s / 3

    def _renewal_write(self, fencing: int, now: float) -> LeaseWrite:
        self._renewal += 1
        self._sent_at_s[self._renewal] = now
        record = LeaseRecord(self._holder, fencing, self._renewal, self._duration_s)
        return LeaseWrite(record, self._version or 0)
