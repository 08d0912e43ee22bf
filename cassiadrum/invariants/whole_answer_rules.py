"""Each caller receives the complete answer to its own request.

Needs the callers' outcomes, and at entry instances, with the request id, `received` and
`cancelled` with the field `reason`, which is `caller_left` if the caller disconnected.
"""

from typing import ClassVar

from cassiadrum.events import EventKind
from cassiadrum.invariants.caller_outcomes import CallerOutcome
from cassiadrum.invariants.fleet_records import FleetRecord
from cassiadrum.invariants.request_states import CALLER_LEFT
from cassiadrum.invariants.rules import Rule
from cassiadrum.invariants.violations import Violation

__all__ = ["WholeAnswerRule"]


class WholeAnswerRule(Rule):
    """Rule: no answer is wrong, belongs to another request, or is truncated without a report."""

    name: ClassVar[str] = "whole_answer"

    def check(self, record: FleetRecord) -> list[Violation]:
        """Return a violation for each wrong, truncated or missing answer that is not excused."""
        owners = {c.expected_digest: c.request_id for c in record.callers if c.expected_digest}
        accepted, excused = _accepted_requests(record), _excused_requests(record)
        violations = []
        for caller in record.callers:
            request_id = caller.request_id
            is_excused = request_id in excused or (
                # The `received` event may have been lost with a killed instance.
                bool(record.killed) and request_id not in accepted
            )
            if caller.status == 0:
                unanswered = request_id in accepted and not is_excused
                detail = "accepted, but no answer was received" if unanswered else ""
            else:
                detail = _describe_fault(caller, owners, is_excused)
            if detail:
                violations.append(Violation(self.name, detail, caller.request_id))
        return violations


def _describe_fault(caller: CallerOutcome, owners: dict[str, str], excused: bool) -> str:
    if not 200 <= caller.status < 300:
        return ""
    if not caller.complete:
        return (
            ""
            if excused or caller.ran == "unknown"
            else "the answer was truncated but not reported as unknown"
        )
    if not caller.expected_digest or caller.body_digest == caller.expected_digest:
        return ""
    owner = owners.get(caller.body_digest)
    return (
        f"received the answer to {owner}" if owner else "the body differs from the expected answer"
    )


def _accepted_requests(record: FleetRecord) -> set[str]:
    events = record.timeline.events
    return {event.request_id for event in events if event.kind is EventKind.RECEIVED}


def _excused_requests(record: FleetRecord) -> set[str]:
    """Return the requests whose entry instance was killed or whose caller disconnected."""
    return {
        event.request_id
        for event in record.timeline.events
        if (event.kind is EventKind.RECEIVED and event.instance in record.killed)
        or (event.kind is EventKind.CANCELLED and event.fields.get("reason") == CALLER_LEFT)
    }
