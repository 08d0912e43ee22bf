"""Events of one start of a process."""

from typing import NamedTuple

from cassiadrum.events import Event, EventKind, GapKind
from cassiadrum.invariants.fleet_records import FleetRecord

__all__ = ["ProcessRecord", "process_records"]

END_KINDS = (EventKind.STOPPED, EventKind.DRAINING)


class ProcessRecord(NamedTuple):
    """Ordered events of one start of a process.

    `incomplete` is True if events before the last recorded one are missing. `crashed` is True if
    the last recorded event is not `stopped` and the process is not known to be running.
    """

    instance: str
    start_id: str
    role: str
    events: tuple[Event, ...]
    incomplete: bool
    crashed: bool

    @property
    def started_s(self) -> float:
        """Return the time of the first event, in seconds since the epoch."""
        return self.events[0].hlc.seconds

    def first(self, *kinds: EventKind) -> Event | None:
        """Return the first event of one of the kinds, or None."""
        return next((event for event in self.events if event.kind in kinds), None)

    def observed_until_s(self, record_end_s: float) -> float:
        """Return until when the process is known to have served, in seconds since the epoch."""
        end = self.first(*END_KINDS)
        if end is not None:
            return end.hlc.seconds
        return self.events[-1].hlc.seconds if self.crashed else record_end_s


def process_records(record: FleetRecord) -> list[ProcessRecord]:
    """Return the process records, sorted by instance and start id."""
    groups: dict[tuple[str, str], list[Event]] = {}
    for event in record.timeline.events:
        groups.setdefault((event.instance, event.start_id), []).append(event)
    incomplete = {(gap.instance, gap.start_id) for gap in record.timeline.gaps if gap.missing}
    crashed = {
        (gap.instance, gap.start_id)
        for gap in record.timeline.gaps
        if gap.kind is GapKind.NOT_STOPPED
    }
    return [
        ProcessRecord(*key, events[0].role, tuple(events), key in incomplete, key in crashed)
        for key, events in sorted(groups.items())
    ]
