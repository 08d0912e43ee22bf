"""Every accepted request ends, and every class is eventually served.

Needs at entry instances, with request id, service and class: `received`, `queued`, `dispatched`,
and one of `finished`, `refused`, `evicted` and `cancelled` at the end of each request. A
`cancelled` event with the reason `hedge_lost` ends only an attempt.
"""

import math
from collections import defaultdict
from collections.abc import Iterator
from typing import ClassVar, Final

from cassiadrum.documents import RequestClass
from cassiadrum.events import Event, EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.process_records import ProcessRecord, process_records
from cassiadrum.invariants.request_states import ends_request
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["EventualServiceRule"]

# A class that is due gets `min_share` of the dispatches, which is one in `1 / min_share`. The rule
# allows twice that many without one, since shares may be counted in tokens instead of requests.
SHARE_TOLERANCE_FACTOR: Final = 2

# Service and class name.
ClassKey = tuple[str, str]


class EventualServiceRule(Rule):
    """Rule: each request has a recorded end, and each class that is due is dispatched."""

    name: ClassVar[str] = "eventual_service"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each request without an end and each starved class."""
        violations: list[Violation] = []
        for process in process_records(record):
            violations += self._unended_requests(record, process)
            violations += _StarvationCheck(record, self.name).check(process)
        return violations

    def _unended_requests(
        self, record: FleetRecord, process: ProcessRecord
    ) -> Iterator[Violation]:
        if process.incomplete or process.instance in record.killed:
            return
        open_requests: dict[str, Event] = {}
        for event in process.events:
            if event.kind is EventKind.RECEIVED:
                open_requests[event.request_id] = event
            elif ends_request(event):
                open_requests.pop(event.request_id, None)
        for event in open_requests.values():
            yield _violation(self.name, event, "received and never ended")


class _StarvationCheck:
    def __init__(self, record: FleetRecord, rule: str) -> None:
        self._classes = record.class_index()
        self._rule = rule
        # Waiting requests of each class by request id, the head first.
        self._waiting: dict[ClassKey, dict[str, Event]] = defaultdict(dict)
        self._passed_over: dict[ClassKey, int] = {}

    def check(self, process: ProcessRecord) -> Iterator[Violation]:
        for event in process.events:
            key = (event.service, event.class_name)
            if event.kind is EventKind.QUEUED:
                self._waiting[key][event.request_id] = event
            elif event.kind is EventKind.DISPATCHED or ends_request(event):
                self._waiting[key].pop(event.request_id, None)
            if event.kind is EventKind.DISPATCHED:
                yield from self._check_dispatch(event, key)

    def _check_dispatch(self, dispatched: Event, served_key: ClassKey) -> Iterator[Violation]:
        self._passed_over.pop(served_key, None)
        served = self._classes.get(served_key)
        if served is None or served.protected:
            return
        for key, head, cls in self._due_classes(dispatched, served_key):
            self._passed_over[key] = self._passed_over.get(key, 0) + 1
            if self._passed_over[key] == SHARE_TOLERANCE_FACTOR * math.ceil(1 / cls.min_share) + 1:
                waited_s = dispatched.hlc.seconds - head.hlc.seconds
                detail = (
                    f"class {cls.name} got none of {self._passed_over[key]} dispatches while its "
                    f"head waited {waited_s:.1f} s, max_wait_s is {cls.max_wait_s:g}"
                )
                yield _violation(self._rule, head, detail)

    def _due_classes(
        self, dispatched: Event, served_key: ClassKey
    ) -> Iterator[tuple[ClassKey, Event, RequestClass]]:
        for key, waiting in self._waiting.items():
            cls = self._classes.get(key)
            if not waiting or cls is None or cls.protected or cls.min_share == 0:
                continue
            head = next(iter(waiting.values()))
            waited_s = dispatched.hlc.seconds - head.hlc.seconds
            if key != served_key and key[0] == served_key[0] and waited_s > cls.max_wait_s:
                yield key, head, cls


def _violation(rule: str, event: Event, detail: str) -> Violation:
    return Violation(rule, detail, event.request_id, event.instance, event.hlc.seconds)
