"""A leaving endpoint gets no new work after 3 s.

Needs `process_started` and `draining` at sidecars, `member_leaving` with the field `member` (an
instance), `connected` with the field `peer`, `dispatched` and `hedged` with the field `to` (an
instance), `started` at sidecars, and the endpoints' runs.

An entry instance that was paused may record `member_leaving` for a process that has already been
replaced by a restart of the same instance. Such a stale notice does not apply to the new process.
A notice is stale if the last `connected` event of its recorder is older than that restart.
"""

from collections.abc import Iterator
from typing import ClassVar

from cassiadrum.defaults import LIMITS
from cassiadrum.events import Event, EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["LeavingEndpointRule"]


class LeavingEndpointRule(Rule):
    """Rule: no work is sent to an endpoint more than LEAVING_LIMIT_S after it began to leave."""

    name: ClassVar[str] = "leaving_endpoint"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each late dispatch to, or late start at, a leaving endpoint."""
        leaving: dict[str, float] = {}
        stale_notices = _StaleNoticeDetector()
        periods: list[tuple[str, float, float]] = []
        violations: list[Violation] = []
        for event in record.timeline.events:
            if event.kind is EventKind.PROCESS_STARTED and event.instance in leaving:
                # An instance that is restarted under the same name takes work again.
                since_s = leaving.pop(event.instance)
                periods.append((event.instance, since_s, event.hlc.seconds))
            violations += self._check_event(event, leaving)
            name = _leaving_instance(event)
            stale_notices.track(event)
            if name and not stale_notices.is_stale(event, name):
                leaving.setdefault(name, event.hlc.seconds)
        periods += [(name, since_s, float("inf")) for name, since_s in leaving.items()]
        return violations + list(self._late_runs(record, periods))

    def _check_event(self, event: Event, leaving: dict[str, float]) -> Iterator[Violation]:
        if event.kind in (EventKind.DISPATCHED, EventKind.HEDGED):
            target = event.fields.get("to", "")
        elif event.kind is EventKind.STARTED:
            target = event.instance
        else:
            return
        if target in leaving:
            late_s = event.hlc.seconds - leaving[target]
            if late_s > LIMITS.LEAVING_LIMIT_S:
                detail = f"{event.kind.value} {late_s:.1f} s after {target} began to leave"
                yield Violation(
                    self.name, detail, event.request_id, event.instance, event.hlc.seconds
                )

    def _late_runs(
        self, record: FleetRecord, periods: list[tuple[str, float, float]]
    ) -> Iterator[Violation]:
        for run in record.runs:
            for name, since_s, until_s in periods:
                late_s = run.started_s - since_s
                if run.instance == name and LIMITS.LEAVING_LIMIT_S < late_s < until_s - since_s:
                    detail = f"the endpoint started it {late_s:.1f} s after {name} began to leave"
                    yield Violation(self.name, detail, run.request_id, name, run.started_s)


class _StaleNoticeDetector:
    """Detector of `member_leaving` events about a process that a restart has replaced."""

    def __init__(self) -> None:
        self._started_s: dict[str, float] = {}
        self._connected_s: dict[tuple[str, object], float] = {}

    def track(self, event: Event) -> None:
        if event.kind is EventKind.PROCESS_STARTED:
            self._started_s[event.instance] = event.hlc.seconds
        elif event.kind is EventKind.CONNECTED:
            self._connected_s[event.instance, event.fields.get("peer")] = event.hlc.seconds

    def is_stale(self, event: Event, name: str) -> bool:
        connected_s = self._connected_s.get((event.instance, name))
        if event.kind is not EventKind.MEMBER_LEAVING or connected_s is None:
            return False
        return connected_s < self._started_s.get(name, 0.0)


def _leaving_instance(event: Event) -> str:
    if event.kind is EventKind.DRAINING and event.role == "sidecar":
        return event.instance
    if event.kind is EventKind.MEMBER_LEAVING:
        return str(event.fields.get("member", ""))
    return ""
