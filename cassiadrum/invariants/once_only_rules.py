"""A once-only call runs at most once.

Needs the endpoints' runs, and the class and customer of each request from the callers' outcomes or
from `received`. A run whose class is unknown counts as once-only if it has an Idempotency-Key.
Requests of classes that are neither idempotent nor once-only run at most once per request id.
"""

from collections import defaultdict
from typing import ClassVar

from cassiadrum.events import EventKind
from cassiadrum.invariants.endpoint_runs import EndpointRun
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["OnceOnlyRule"]


class OnceOnlyRule(Rule):
    """Rule: no call runs twice, on any instance and whether or not it completed."""

    name: ClassVar[str] = "once_only"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each call that ran more than once."""
        known = _classes_and_customers(record)
        groups: dict[tuple[str, ...], list[EndpointRun]] = defaultdict(list)
        for run in record.runs:
            class_name, customer = known.get(run.request_id, ("", ""))
            cls = record.request_class(run.service, class_name)
            once_only = cls.once_only if cls else bool(run.key)
            if once_only and run.key:
                groups["key", run.service, customer, run.key].append(run)
            elif once_only or (cls and not cls.idempotent):
                groups["id", run.service, run.request_id].append(run)
        return [self._violation(group, runs) for group, runs in groups.items() if len(runs) > 1]

    def _violation(self, group: tuple[str, ...], runs: list[EndpointRun]) -> Violation:
        second = sorted(runs, key=lambda run: run.started_s)[1]
        places = ", ".join(sorted({run.instance for run in runs}))
        detail = f"{' '.join(group)} ran {len(runs)} times at {places}"
        return Violation(self.name, detail, second.request_id, second.instance, second.started_s)


def _classes_and_customers(record: FleetRecord) -> dict[str, tuple[str, str]]:
    known = {
        event.request_id: (event.class_name, event.customer)
        for event in record.timeline.events
        if event.kind is EventKind.RECEIVED
    }
    return known | {c.request_id: (c.class_name, c.customer) for c in record.callers}
