"""An accepted configuration is in force everywhere within 11 s and never reverts.

Needs `configuration_accepted` with the service and the fields `version` and `operation_id`, and
`configuration_applied` at every entry instance and sidecar with the service and the fields
`version` and, if known, `digest` (of the service document's text).
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import ClassVar, Final

from cassiadrum.events import Event, EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.process_records import ProcessRecord, process_records
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["ConfigurationMonotonicRule"]

PROPAGATION_LIMIT_S: Final = 11.0
ROLES: Final = frozenset({"entry", "sidecar"})


class ConfigurationMonotonicRule(Rule):
    """Rule: no version reverts, is applied late, or identifies two different texts."""

    name: ClassVar[str] = "configuration_monotonic"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each reverted, late or ambiguous version."""
        processes = [process for process in process_records(record) if process.role in ROLES]
        violations = list(self._ambiguous(record))
        for process in processes:
            violations += self._reverted(process)
            if not process.incomplete:
                violations += self._late(record, process)
        return violations

    def _ambiguous(self, record: FleetRecord) -> Iterator[Violation]:
        seen: dict[tuple[str, str, int], object] = {}
        identity_fields = {
            EventKind.CONFIGURATION_ACCEPTED: "operation_id",
            EventKind.CONFIGURATION_APPLIED: "digest",
        }
        for event in record.timeline.events:
            field = identity_fields.get(event.kind)
            value = event.fields.get(field) if field else None
            if field is None or value is None:
                continue
            first = seen.setdefault((event.service, field, _version(event)), value)
            if first != value:
                detail = f"{event.service} {_version(event)} has {field} {value} and {first}"
                yield self._violation(event, detail)

    def _reverted(self, process: ProcessRecord) -> Iterator[Violation]:
        in_force: dict[str, int] = defaultdict(int)
        for event in process.events:
            if event.kind is not EventKind.CONFIGURATION_APPLIED:
                continue
            version, before = _version(event), in_force[event.service]
            if version <= before:
                yield self._violation(event, f"{event.service} {version} applied after {before}")
            in_force[event.service] = max(version, before)

    def _late(self, record: FleetRecord, process: ProcessRecord) -> Iterator[Violation]:
        events = record.timeline.events
        until_s = process.observed_until_s(events[-1].hlc.seconds)
        for accepted in events:
            if accepted.kind is not EventKind.CONFIGURATION_ACCEPTED:
                continue
            due_s = _due_time_s(record, process, accepted)
            if due_s <= until_s and not _is_applied(process, accepted, due_s):
                detail = f"{accepted.service} {_version(accepted)} is not in force at its deadline"
                yield Violation(self.name, detail, "", process.instance, due_s)

    def _violation(self, event: Event, detail: str) -> Violation:
        return Violation(self.name, detail, "", event.instance, event.hlc.seconds)


def _version(event: Event) -> int:
    return int(event.fields.get("version", 0))


def _due_time_s(record: FleetRecord, process: ProcessRecord, accepted: Event) -> float:
    """Return the deadline of a version, in seconds since the epoch.

    The limit starts again at the end of an outage of the instance that accepted or applies it.
    """
    start_s = max(accepted.hlc.seconds, process.started_s)
    for outage in sorted(record.outages, key=lambda outage: outage.since_s):
        affected = outage.instance in ("", process.instance, accepted.instance)
        if affected and outage.since_s < start_s + PROPAGATION_LIMIT_S:
            start_s = max(start_s, outage.until_s)
    return start_s + PROPAGATION_LIMIT_S


def _is_applied(process: ProcessRecord, accepted: Event, due_s: float) -> bool:
    return any(
        event.kind is EventKind.CONFIGURATION_APPLIED
        and event.service == accepted.service
        and _version(event) >= _version(accepted)
        and event.hlc.seconds <= due_s
        for event in process.events
    )
