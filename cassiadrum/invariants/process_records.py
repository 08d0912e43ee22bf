"""The events of one start of a process."""

from typing import NamedTuple

from cassiadrum.events import Event, EventKind, GapKind
from cassiadrum.invariants.fleet_records import FleetRecord

__all__ = ["ProcessRecord", "process_records"]

END_KINDS = (EventKind.STOPPED, EventKind.DRAINING)


class ProcessRecord(NamedTuple):
    """Hold the events of one start of a process in order.

    `lossy` tells that events are missing in between or before. `crashed` tells that the process
    ended without `stopped`.
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
        """Return the first event of these kinds, or None."""
        return next((event for event in self.events if event.kind in kinds), None)

    def observed_until_s(self, record_end_s: float) -> float:
        """Return until when the process is known to have worked, in seconds since the epoch."""
        end = self.first(*END_KINDS)
        if end is not None:
            return end.hlc.seconds
        return self.events[-1].hlc.seconds if self.crashed else record_end_s


def process_records(record: FleetRecord) -> list[ProcessRecord]:
    """Return the processes of the record by instance and start id."""
    groups: dict[tuple[str, str], list[Event]] = {}
    for event in record.timeline.events:
        groups.setdefault((event.instance, event.start_id), []).append(event)
    lossy = {(gap.instance, gap.start_id) for gap in record.timeline.gaps if gap.missing}
    crashed = {
        (gap.instance, gap.start_id)
        for gap in record.timeline.gaps
        if gap.kind is GapKind.NOT_STOPPED
    }
    return [
        ProcessRecord(*key, events[0].role, tuple(events), key in lossy, key in crashed)
        for key, events in sorted(groups.items())
    ]
