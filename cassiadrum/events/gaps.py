"""Gap in the recorded events of a process."""

from enum import StrEnum
from typing import NamedTuple

from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["Gap", "GapKind"]


class GapKind(StrEnum):
    """Reason why events are missing."""

    # Events between two recorded events of a process are missing.
    MISSING = "missing"
    # Events before the first recorded one are missing: the ring buffer overwrote them.
    OVERWRITTEN = "overwritten"
    # The last event is not `stopped`: the process crashed, or its last events were lost.
    NOT_STOPPED = "not_stopped"


class Gap(NamedTuple):
    """Gap in the events of one start of a process.

    `missing` is the number of missing events, or 0 if it is unknown. `since` is None for a gap
    before the first event, `until` is None for a gap after the last one.
    """

    kind: GapKind
    instance: str
    role: str
    start_id: str
    missing: int
    since: HybridTimestamp | None
    until: HybridTimestamp | None
