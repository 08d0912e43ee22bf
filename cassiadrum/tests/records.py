"""Constructed fleet records for tests of the invariant rules."""

from pathlib import Path
from typing import Any

from cassiadrum.documents import parse_document
from cassiadrum.events import EventKind, EventRing, HybridLogicalClock, merge_events
from cassiadrum.invariants import CallerOutcome, EndpointRun, FleetRecord

EXAMPLES = Path(__file__).parents[2] / "examples"
DOCUMENTS = tuple(
    parse_document((EXAMPLES / f"{name}.toml").read_text())
    for name in ("permit-register", "drafting-desk")
)
SERVICE = "permit-register"
Step = tuple[float, str, str, str, str, dict[str, Any]]


def step(at_s: float, instance: str, kind: str, request: str = "", **fields: Any) -> Step:
    """Return one event of a record.

    `request` is `ID:CLASS`. The role of the instance is its name up to the first hyphen.
    """
    request_id, _, class_name = request.partition(":")
    return at_s, instance, kind, request_id, class_name, fields


def make_record(*steps: Step, alive: bool = True, **parts: Any) -> FleetRecord:
    """Return a record of the steps, each at its own time on the clock of its instance.

    With `alive` all processes still run, so a missing `stopped` event is no gap.
    """
    rings: dict[str, EventRing] = {}
    clock_s = [0.0]
    for at_s, instance, kind, request_id, class_name, fields in steps:
        clock_s[0] = at_s
        if instance not in rings:
            clock = HybridLogicalClock(lambda: clock_s[0])
            rings[instance] = EventRing(clock, instance, instance.split("-")[0], f"{instance}-1")
        rings[instance].record(EventKind(kind), request_id, SERVICE, class_name, "c", **fields)
    events = [event for ring in rings.values() for event in ring.read_after(0, len(ring))]
    timeline = merge_events(events, [f"{name}-1" for name in rings] if alive else [])
    return FleetRecord(timeline, documents=DOCUMENTS, **parts)


def make_caller(request_id: str, **fields: Any) -> CallerOutcome:
    caller = CallerOutcome(
        request_id, SERVICE, "status-check", "c", "", 200, "", "d1", "d1", 1.0, True
    )
    return caller._replace(**fields)


def make_run(request_id: str, started_s: float = 1.0, **fields: Any) -> EndpointRun:
    run = EndpointRun(request_id, SERVICE, "sidecar-1", "", started_s, started_s + 1, 1, True)
    return run._replace(**fields)
