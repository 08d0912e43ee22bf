"""Command that explains the routing, waiting and outcome of a request."""

import re
from typing import Any, Final

from cassiadrum.commands.actions import Action, Session
from cassiadrum.commands.arguments import argument_parsers
from cassiadrum.commands.errors import CommandError
from cassiadrum.commands.event_collectors import EventCollector
from cassiadrum.commands.exit_codes import ExitCode
from cassiadrum.commands.explain_logs import explain_from_logs
from cassiadrum.commands.results import Result
from cassiadrum.events import Event, EventFilter, EventKind, Timeline

__all__ = ["explain", "explain_request"]

# The id in an answer is the request id followed by the number of the attempt and the sidecar.
ANSWER_ID_PATTERN: Final = re.compile(r"(?P<request>.+-[0-9a-f]{8}-\d+)(\.\d+.*)?")

REASONS: Final[dict[str, str]] = {
    "overloaded": "the queue was full and no request of a lower tier was queued",
    "evicted": "it was the newest request of the lowest tier when the queue was full",
    "deadline": "the predicted or actual wait exceeded deadline_s of its class",
    "no_endpoint": "no endpoint of the service was connected",
    "draining": "the process was shutting down",
    "store_unavailable": "the claim of a once-only call could not be written",
    "key_reused": "the Idempotency-Key was used for another request before",
    "in_progress": "a call with the same Idempotency-Key was running",
    "endpoint_failed": "the endpoint failed, and the class or its retry budget did not permit "
    "another attempt",
    "answer_lost": "the connection was lost before the end of the answer, so whether it ran is "
    "not known",
    "kept": "a call with the same Idempotency-Key had ended; its stored answer was sent",
    "caller_left": "the caller closed its connection",
}

EVENT_TEXTS: Final[dict[EventKind, str]] = {
    EventKind.RECEIVED: "received from customer {customer} as class {class_name}",
    EventKind.QUEUED: "waited for a free slot",
    EventKind.DISPATCHED: "attempt {attempt} sent to {to}, chosen by free slots, zone and cache",
    EventKind.HEDGED: "attempt {attempt} sent to {to} as a hedge, since the first token was slow",
    EventKind.STARTED: "started at the endpoint",
    EventKind.FIRST_TOKEN: "first bytes of the answer",
    EventKind.PAUSED: "paused for work of a higher tier",
    EventKind.RESUMED: "resumed",
    EventKind.RETRIED: "queued again for another attempt",
    EventKind.REATTACHED: "connection to the stream restored at byte {position}",
    EventKind.CLAIM_MADE: "claimed its Idempotency-Key before execution",
    EventKind.CLAIM_RESOLVED: "its claim was set to {state}",
    EventKind.CLAIM_REFUSED: "not run under its Idempotency-Key: {why}",
    EventKind.REJECTED: "returned by the sidecar as not run: {why}",
    EventKind.REFUSED: "refused (ran: {ran}): {why}",
    EventKind.EVICTED: "shed (ran: {ran}): {why}",
    EventKind.CANCELLED: "cancelled: {why}",
}


@argument_parsers()
def explain(request_id: str, *files: str) -> Action:
    """Explain how a request was routed and why it waited, failed or was refused.

    The id is in the header X-Request-Id of the answer, or in the body of the refusal. With log
    files, only the files are read, so the processes that wrote them need not run any more.

    Example: cassiadrum explain entry-1-5f0c2a9e-17
    Example: cassiadrum explain 9c41d07be2a35f68 gateway-*.log
    """

    async def run(session: Session) -> Result:
        if files:
            return explain_from_logs(request_id, files)
        match = ANSWER_ID_PATTERN.fullmatch(request_id)
        request = match["request"] if match else request_id
        collector = EventCollector(session.platform())
        merged = await collector.timeline()
        return explain_request(request, merged, collector.silent)

    return Action(run)


def explain_request(request_id: str, timeline: Timeline, silent: list[str]) -> Result:
    """Return the steps of a request from the merged events.

    Raises CommandError if there is no event of the request.
    """
    events = EventFilter(request_id).apply(timeline.events)
    notes = [f"no answer from {name}; its events are missing" for name in silent]
    if not events:
        notes += [f"events of {gap.instance} were lost: {gap.kind.value}" for gap in timeline.gaps]
        reason = "; ".join([f"no event of request {request_id}", *notes])
        code = ExitCode.UNREACHABLE if silent else ExitCode.BAD_INPUT
        raise CommandError(code, reason)
    first = events[0]
    steps = [
        {
            "at_ms": round((event.hlc.wall_us - first.hlc.wall_us) / 1e3, 1),
            "instance": event.instance,
            "kind": event.kind.value,
            "text": _event_text(event),
        }
        for event in events
    ]
    summary = _summary_lines(events)
    lines = [f"{request_id} ({first.service}, class {first.class_name})"]
    lines += [
        f"{step['at_ms']:>10.1f} ms  {step['instance']:<18} {step['text']}" for step in steps
    ]
    data = {"request_id": request_id, "steps": steps, "summary": summary, "notes": notes}
    code = ExitCode.UNREACHABLE if silent else ExitCode.OK
    return Result(data, [*lines, *summary, *notes], code)


def _event_text(event: Event) -> str:
    reason = str(event.fields.get("reason", ""))
    values: dict[str, Any] = {
        "customer": event.customer,
        "class_name": event.class_name,
        "attempt": "?",
        "to": "?",
        "position": "?",
        "state": "?",
        "ran": "unknown",
        **event.fields,
        "why": REASONS.get(reason, reason),
    }
    if event.kind is EventKind.REJECTED and reason == "overloaded":
        values["why"] = "the queue of the sidecar was full"
    if event.kind is EventKind.FINISHED:
        return _finished_text(event)
    if event.kind is EventKind.QUEUED and event.role == "sidecar":
        return "arrived at the sidecar"
    return EVENT_TEXTS.get(event.kind, event.kind.value).format_map(values)


def _finished_text(event: Event) -> str:
    reason = event.fields.get("reason")
    if event.role == "entry":
        return "complete answer sent to the caller"
    tokens = event.fields.get("tokens", 0)
    if not reason:
        return f"ended at the endpoint, {tokens} tokens"
    return (
        f"failed at the endpoint (ran: {event.fields.get('ran')}): {REASONS.get(reason, reason)}"
    )


def _summary_lines(events: list[Event]) -> list[str]:
    """Return the durations of the phases and the last event of the request."""
    at_s: dict[tuple[str, EventKind], float] = {}
    for event in events:
        at_s.setdefault((event.role, event.kind), event.hlc.seconds)
    lines = []
    received = at_s.get(("entry", EventKind.RECEIVED))
    dispatched = at_s.get(("entry", EventKind.DISPATCHED))
    started = at_s.get(("sidecar", EventKind.STARTED))
    first = at_s.get(("entry", EventKind.FIRST_TOKEN))
    for label, start, end in (
        ("waited at the entry instance", received, dispatched),
        ("transfer to the sidecar and wait there", dispatched, started),
        ("first bytes after the start", started, first),
    ):
        if start is not None and end is not None:
            lines.append(f"{label}: {(end - start) * 1e3:.1f} ms")
    last = [event for event in events if event.role == "entry"]
    if last:
        lines.append(f"last event at the entry instance: {_event_text(last[-1])}")
    return lines
