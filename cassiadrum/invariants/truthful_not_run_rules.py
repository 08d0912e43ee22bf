"""A request refused as "not run" did not run.

Needs the callers' outcomes, the endpoints' runs, and `refused` with the field `ran` (`no`, `yes`
or `unknown`) and the request id.
"""

from typing import ClassVar

from cassiadrum.events import EventKind
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["TruthfulNotRunRule"]


class TruthfulNotRunRule(Rule):
    """Rule: a request whose refusal states `ran: no` was run by no endpoint."""

    name: ClassVar[str] = "truthful_not_run"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each run of a request that was reported as not run."""
        reported_not_run = {caller.request_id for caller in record.callers if caller.ran == "no"}
        reported_not_run |= {
            event.request_id
            for event in record.timeline.events
            if event.kind in (EventKind.REFUSED, EventKind.EVICTED)
            and event.fields.get("ran") == "no"
        }
        return [
            Violation(
                self.name,
                'refused as "not run" but ran',
                run.request_id,
                run.instance,
                run.started_s,
            )
            for run in record.runs
            if run.request_id in reported_not_run
        ]
