"""Typed events of all processes: ring, hybrid logical clock, merge and encodings."""

from cassiadrum.events.codecs import decode_event, encode_event, read_json_lines, to_json_line
from cassiadrum.events.errors import EventError
from cassiadrum.events.event_filters import EventFilter
from cassiadrum.events.event_kinds import REQUEST_ENDS, EventKind
from cassiadrum.events.event_rings import EventRing
from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap, GapKind
from cassiadrum.events.hybrid_clocks import HybridClock
from cassiadrum.events.hybrid_times import HybridTime
from cassiadrum.events.merges import merge
from cassiadrum.events.spans import Span, make_spans
from cassiadrum.events.timeline_svg_writers import TimelineSvgWriter
from cassiadrum.events.timelines import Timeline
from cassiadrum.events.trace_writers import TraceWriter

__all__ = [
    "REQUEST_ENDS",
    "Event",
    "EventError",
    "EventFilter",
    "EventKind",
    "EventRing",
    "Gap",
    "GapKind",
    "HybridClock",
    "HybridTime",
    "Span",
    "Timeline",
    "TimelineSvgWriter",
    "TraceWriter",
    "decode_event",
    "encode_event",
    "make_spans",
    "merge",
    "read_json_lines",
    "to_json_line",
]
