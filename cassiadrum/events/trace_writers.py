"""Export of a timeline in the Trace Event JSON format of trace viewers."""

import json
from typing import Any

from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap
from cassiadrum.events.spans import Span, make_spans
from cassiadrum.events.timelines import Timeline

__all__ = ["TraceWriter"]

# Thread id that shows the gaps of a process and the events that belong to no request.
PROCESS_TID = 0


class TraceWriter:
    """Writer of trace events: a process for each instance, a thread for each row of a timeline."""

    def write(self, timeline: Timeline) -> str:
        """Return the JSON text; times are in microseconds since the first event."""
        spans = make_spans(timeline)
        names = sorted(
            {event.instance for event in timeline.events} | {gap.instance for gap in timeline.gaps}
        )
        pids = {name: pid for pid, name in enumerate(names, 1)}
        walls_us = [event.hlc.wall_us for event in timeline.events]
        first_us, last_us = min(walls_us, default=0), max(walls_us, default=0)
        entries = [_process_name_entry(name, pid) for name, pid in pids.items()]
        entries += [
            _gap_entry(gap, pids[gap.instance], first_us, last_us) for gap in timeline.gaps
        ]
        for span in spans:
            entries += _span_entries(span, pids[span.instance], first_us)
        entries += [
            _instant_entry(event, pids[event.instance], PROCESS_TID, first_us)
            for event in timeline.events
            if not event.request_id
        ]
        return json.dumps({"traceEvents": entries, "displayTimeUnit": "ms"}, ensure_ascii=False)


def _process_name_entry(name: str, pid: int) -> dict[str, Any]:
    return {"ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": {"name": name}}


def _span_entries(span: Span, pid: int, first_us: int) -> list[dict[str, Any]]:
    tid = span.row + 1
    first = span.events[0]
    args = {
        "service": first.service,
        "class": first.class_name,
        "customer": first.customer,
        "end": span.events[-1].kind.value if span.ended else "not recorded",
    }
    complete_event = {
        "ph": "X",
        "cat": "request",
        "name": span.request_id,
        "pid": pid,
        "tid": tid,
        "ts": span.start_us - first_us,
        "dur": span.end_us - span.start_us,
        "args": args,
    }
    return [complete_event, *(_instant_entry(event, pid, tid, first_us) for event in span.events)]


def _instant_entry(event: Event, pid: int, tid: int, first_us: int) -> dict[str, Any]:
    return {
        "ph": "i",
        "s": "t",
        "cat": event.role,
        "name": event.kind.value,
        "pid": pid,
        "tid": tid,
        "ts": event.hlc.wall_us - first_us,
        "args": {"sequence": event.sequence, "request_id": event.request_id, **event.fields},
    }


def _gap_entry(gap: Gap, pid: int, first_us: int, last_us: int) -> dict[str, Any]:
    # A gap may extend beyond the selected events.
    start_us = min(max(gap.since.wall_us if gap.since else first_us, first_us), last_us)
    end_us = max(min(gap.until.wall_us if gap.until else last_us, last_us), start_us)
    return {
        "ph": "X",
        "cat": "gap",
        "name": f"gap: {gap.kind.value}",
        "pid": pid,
        "tid": PROCESS_TID,
        "ts": start_us - first_us,
        "dur": end_us - start_us,
        "args": {"missing": gap.missing, "start_id": gap.start_id},
    }
