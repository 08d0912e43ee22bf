"""A part of the record that is missing."""

from enum import StrEnum
from typing import NamedTuple

from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["Gap", "GapKind"]


class GapKind(StrEnum):
    """Say why events are missing."""

    # Sequence numbers between two events of a process are missing.
    MISSING = "missing"
    # Sequence numbers before the first event are missing: the ring was overwritten.
    OVERWRITTEN = "overwritten"
    # The last event of a process is not `stopped`: it crashed, or its last events were lost.
    NOT_STOPPED = "not_stopped"


class Gap(NamedTuple):
    """Bound a gap in the record of one start of a process.

    `missing` is the number of missing events, 0 when unknown. `since` is None before the first
    event, `until` is None after the last.
    """

    kind: GapKind
    instance: str
    role: str
    start_id: str
    missing: int
    since: HybridTimestamp | None
    until: HybridTimestamp | None
