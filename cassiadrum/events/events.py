"""Event recorded by a process."""

from typing import Any, NamedTuple

from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["Event"]


class Event(NamedTuple):
    """Event of one process, with its timestamp, source and the request it belongs to.

    `fields` holds plain values (None, bool, int, float, str, and lists and dicts of these).
    `sequence` counts from 1 in each process; `start_id` is unique for each start of a process.
    Strings that do not apply are empty.
    """

    hlc: HybridTimestamp
    instance: str
    role: str
    kind: EventKind
    request_id: str
    service: str
    class_name: str
    customer: str
    fields: dict[str, Any]
    sequence: int
    start_id: str
