"""A planned stop is graceful and does not cut off requests in flight.

Needs `draining` when a planned stop begins and `stopped` as the last event of the process,
`received` at entry instances, `started` at sidecars, and the end of each request with the field
`reason`, which is `draining` for requests that the stop cuts off.
"""

from collections.abc import Iterator
from typing import ClassVar

from cassiadrum.events import Event, EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.process_records import ProcessRecord, process_records
from cassiadrum.invariants.request_states import ends_request
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["PlannedStopRule"]


class PlannedStopRule(Rule):
    """Rule: planned stops complete and cut off no request."""

    name: ClassVar[str] = "planned_stop"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each request cut off early and each drain without `stopped`."""
        return [
            violation
            for process in process_records(record)
            if process.instance not in record.killed
            for violation in self._check_process(record, process)
        ]

    def _check_process(self, record: FleetRecord, process: ProcessRecord) -> Iterator[Violation]:
        draining = process.first(EventKind.DRAINING)
        if draining is None:
            return
        if process.crashed:
            yield self._violation(draining, "the process drained but did not record `stopped`")
        in_flight: dict[str, Event] = {}
        for event in process.events:
            if _begins_responsibility(event, draining):
                in_flight.setdefault(event.request_id, event)
            elif ends_request(event):
                start = in_flight.pop(event.request_id, None)
                if start and _is_cut_off_early(record, start, event):
                    yield self._violation(event, "cut off by a planned stop")
        stopped = process.first(EventKind.STOPPED)
        if stopped is not None and not process.incomplete:
            for event in in_flight.values():
                yield self._violation(event, "still in flight when the process stopped")

    def _violation(self, event: Event, detail: str) -> Violation:
        return Violation(self.name, detail, event.request_id, event.instance, event.hlc.seconds)


def _begins_responsibility(event: Event, draining: Event) -> bool:
    """Return whether the event makes the process responsible for ending the request."""
    received = event.kind is EventKind.RECEIVED and event.sequence < draining.sequence
    return received or event.kind is EventKind.STARTED


def _is_cut_off_early(record: FleetRecord, start: Event, end: Event) -> bool:
    if end.fields.get("reason") != "draining":
        return False
    cls = record.request_class(start.service, start.class_name)
    # The drain limit may end requests that have already missed their deadline.
    return cls is None or end.hlc.seconds - start.hlc.seconds < cls.deadline_s
