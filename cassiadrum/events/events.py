"""One recorded event."""

from typing import Any, NamedTuple

from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["Event"]


class Event(NamedTuple):
    """State what happened, when and where.

    `fields` holds plain values (None, bool, int, float, str, and lists and dicts of these).
    `sequence` counts from 1 in each process; `start_id` differs for each start of a process.
    Texts that do not apply are empty.
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
