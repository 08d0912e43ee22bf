"""Typed events of all processes: ring buffer, hybrid logical clock, merge and encodings."""

from cassiadrum.events.codecs import decode_event, encode_event, read_json_lines, to_json_line
from cassiadrum.events.errors import EventError
from cassiadrum.events.event_filters import EventFilter
from cassiadrum.events.event_kinds import REQUEST_END_KINDS, EventKind
from cassiadrum.events.event_rings import EventRing
from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap, GapKind
from cassiadrum.events.hybrid_logical_clocks import HybridLogicalClock
from cassiadrum.events.hybrid_timestamps import HybridTimestamp
from cassiadrum.events.merges import merge_events
from cassiadrum.events.spans import Span, make_spans
from cassiadrum.events.timeline_svg_writers import TimelineSvgWriter
from cassiadrum.events.timelines import Timeline
from cassiadrum.events.trace_writers import TraceWriter

__all__ = [
    "REQUEST_END_KINDS",
    "Event",
    "EventError",
    "EventFilter",
    "EventKind",
    "EventRing",
    "Gap",
    "GapKind",
    "HybridLogicalClock",
    "HybridTimestamp",
    "Span",
    "Timeline",
    "TimelineSvgWriter",
    "TraceWriter",
    "decode_event",
    "encode_event",
    "make_spans",
    "merge_events",
    "read_json_lines",
    "to_json_line",
]
