"""Time span of one request in one process."""

from collections import defaultdict
from typing import NamedTuple

from cassiadrum.events.event_kinds import REQUEST_END_KINDS
from cassiadrum.events.events import Event
from cassiadrum.events.timelines import Timeline

__all__ = ["Span", "make_spans"]


class Span(NamedTuple):
    """Ordered events of one request in one process, and the row in which the span is drawn.

    Times are in microseconds since the epoch. Spans of an instance that overlap in time have
    different rows, counted from 0. `ended` is False if no end of the request was recorded.
    """

    instance: str
    request_id: str
    start_us: int
    end_us: int
    row: int
    ended: bool
    events: tuple[Event, ...]


def make_spans(timeline: Timeline) -> list[Span]:
    """Return a span for each request and process, ordered by start time."""
    groups: dict[tuple[str, str, str], list[Event]] = defaultdict(list)
    for event in timeline.events:
        if event.request_id:
            groups[event.instance, event.start_id, event.request_id].append(event)
    spans = [_make_span(events) for events in groups.values()]
    spans.sort(key=lambda span: (span.start_us, span.instance, span.request_id))
    return _assign_rows(spans)


def _make_span(events: list[Event]) -> Span:
    first, last = events[0], events[-1]
    start_us, end_us = first.hlc.wall_us, last.hlc.wall_us
    ended = last.kind in REQUEST_END_KINDS
    return Span(first.instance, first.request_id, start_us, end_us, 0, ended, tuple(events))


def _assign_rows(spans: list[Span]) -> list[Span]:
    row_ends: dict[str, list[int]] = defaultdict(list)
    assigned = []
    for span in spans:
        ends = row_ends[span.instance]
        row = next((row for row, end_us in enumerate(ends) if end_us < span.start_us), len(ends))
        ends[row : row + 1] = [span.end_us]
        assigned.append(span._replace(row=row))
    return assigned
