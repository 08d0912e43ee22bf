"""Protected work is never shed or preempted to make room for lower-tier work.

Needs, with request id, service and class: `queued` (at the entry instance and at the sidecar),
`dispatched`, `started`, `paused`, `resumed`, `finished`, `evicted`, and `refused`, `rejected` and
`cancelled` with the field `reason`, which is `preempted` for preempted requests. `queued` may have
the field `model`; requests for different models do not compete.
"""

from collections.abc import Iterable, Iterator
from typing import ClassVar, Final

from cassiadrum.documents import RequestClass
from cassiadrum.events import Event, EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.process_records import process_records
from cassiadrum.invariants.request_states import PREEMPTED, RequestStates
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["TierSafetyRule"]

SHED_REASONS: Final = frozenset({"overloaded", "evicted"})


class TierSafetyRule(Rule):
    """Rule: no protected work is shed, preempted or late for the sake of lower tiers."""

    name: ClassVar[str] = "tier_safety"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each protected request that was displaced by lower-tier work."""
        return [
            violation
            for process in process_records(record)
            for violation in _DisplacementCheck(record, self.name).check(process.events)
        ]


class _DisplacementCheck:
    def __init__(self, record: FleetRecord, rule: str) -> None:
        self._classes = record.class_index()
        self._rule = rule
        self._state = RequestStates()
        # Protected requests that have been queued and may still be waiting.
        self._protected: dict[str, RequestClass] = {}
        # First dispatch of lower-tier work while the protected request was waiting.
        self._overtaken: dict[str, Event] = {}
        self._dispatched: set[str] = set()

    def check(self, events: Iterable[Event]) -> Iterator[Violation]:
        for event in events:
            cls = self._class(event)
            if cls is not None:
                yield from self._check_event(event, cls)
                self._track(event, cls)
            self._state.apply(event)

    def _check_event(self, event: Event, cls: RequestClass) -> Iterator[Violation]:
        if event.kind in (EventKind.STARTED, EventKind.RESUMED):
            yield from self._check_paused_requests(event, cls)
        if not cls.protected:
            return
        reason = event.fields.get("reason", "")
        if _is_shed(event, reason):
            yield from self._check_displacement(event, cls, "shed", self._state.waiting)
        elif event.kind is EventKind.PAUSED or (
            event.kind is EventKind.CANCELLED and reason == PREEMPTED
        ):
            yield from self._check_displacement(event, cls, "preempted", self._state.running)
        elif event.kind is EventKind.REFUSED and reason == "deadline":
            other = self._overtaken.get(event.request_id)
            if other is not None:
                detail = f"missed its deadline after {other.request_id} was dispatched"
                yield self._violation(event, detail)

    def _check_displacement(
        self, event: Event, cls: RequestClass, action: str, candidates: dict[str, Event]
    ) -> Iterator[Violation]:
        other = next(
            (other for other in candidates.values() if self._is_lower(other, event, cls)), None
        )
        if other is not None:
            yield self._violation(event, f"{action} while lower-tier {other.request_id} was kept")

    def _check_paused_requests(self, event: Event, cls: RequestClass) -> Iterator[Violation]:
        for paused in self._state.paused.values():
            paused_cls = self._class(paused)
            if paused_cls is None or not paused_cls.protected or paused_cls.tier >= cls.tier:
                continue
            if paused.request_id != event.request_id:
                yield self._violation(paused, f"paused while {event.request_id} was started")

    def _track(self, event: Event, cls: RequestClass) -> None:
        if event.kind is EventKind.QUEUED and cls.protected:
            self._protected[event.request_id] = cls
        elif event.kind is EventKind.DISPATCHED:
            # A retry may exclude an endpoint that lower-tier work can still use.
            self._protected.pop(event.request_id, None)
            self._dispatched.add(event.request_id)
            self._track_overtaken(event)

    def _track_overtaken(self, event: Event) -> None:
        queued = self._state.waiting.get(event.request_id, event)
        for request_id, cls in list(self._protected.items()):
            waiting = self._state.waiting.get(request_id)
            if waiting is None:
                del self._protected[request_id]
            elif request_id not in self._dispatched and self._is_lower(queued, waiting, cls):
                self._overtaken.setdefault(request_id, event)

    def _is_lower(self, other: Event, event: Event, cls: RequestClass) -> bool:
        other_cls = self._class(other)
        if other_cls is None or other_cls.tier <= cls.tier or other.service != event.service:
            return False
        queued = self._state.waiting.get(event.request_id, event)
        models = (other.fields.get("model"), queued.fields.get("model"))
        return None in models or models[0] == models[1]

    def _class(self, event: Event) -> RequestClass | None:
        return self._classes.get((event.service, event.class_name))

    def _violation(self, event: Event, detail: str) -> Violation:
        text = f"protected class {event.class_name}: {detail}"
        return Violation(self._rule, text, event.request_id, event.instance, event.hlc.seconds)


def _is_shed(event: Event, reason: str) -> bool:
    return event.kind is EventKind.EVICTED or (
        event.kind in (EventKind.REFUSED, EventKind.REJECTED) and reason in SHED_REASONS
    )
