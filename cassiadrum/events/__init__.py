"""Typed events of all processes: ring, hybrid logical clock, merge and encodings."""

from cassiadrum.events.codecs import decode_event, encode_event, read_json_lines, to_json_line
from cassiadrum.events.errors import EventError
from cassiadrum.events.event_filters import EventFilter
from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.event_rings import EventRing
from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap, GapKind
from cassiadrum.events.hybrid_clocks import HybridClock
from cassiadrum.events.hybrid_times import HybridTime
from cassiadrum.events.merges import merge
from cassiadrum.events.timelines import Timeline

__all__ = [
    "Event",
    "EventError",
    "EventFilter",
    "EventKind",
    "EventRing",
    "Gap",
    "GapKind",
    "HybridClock",
    "HybridTime",
    "Timeline",
    "decode_event",
    "encode_event",
    "merge",
    "read_json_lines",
    "to_json_line",
]
