"""Merge of the events of several processes."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from itertools import pairwise

from cassiadrum.events.event_kinds import EventKind
from cassiadrum.events.events import Event
from cassiadrum.events.gaps import Gap, GapKind
from cassiadrum.events.hybrid_timestamps import HybridTimestamp
from cassiadrum.events.timelines import Timeline

__all__ = ["merge_events"]


def merge_events(events: Iterable[Event], running_start_ids: Collection[str] = ()) -> Timeline:
    """Return the deduplicated events in causal order, with the gaps of each process.

    `running_start_ids` holds the start ids of processes that are still running and therefore need
    not have recorded `stopped`.
    """
    processes: dict[tuple[str, str], dict[int, Event]] = defaultdict(dict)
    for event in events:
        processes[event.instance, event.start_id].setdefault(event.sequence, event)
    keyed: list[tuple[HybridTimestamp, str, str, int, Event]] = []
    gaps: list[Gap] = []
    for (instance, start_id), by_sequence in sorted(processes.items()):
        ordered = [by_sequence[sequence] for sequence in sorted(by_sequence)]
        latest = HybridTimestamp(0, 0)
        for event in ordered:
            # Events of a process keep their sequence order even if their timestamps do not ascend.
            latest = max(latest, event.hlc)
            keyed.append((latest, instance, start_id, event.sequence, event))
        gaps += _find_gaps(ordered, start_id in running_start_ids)
    keyed.sort(key=lambda entry: entry[:4])
    return Timeline([entry[4] for entry in keyed], gaps)


def _find_gaps(ordered: list[Event], running: bool) -> list[Gap]:
    first, last = ordered[0], ordered[-1]
    gaps = []
    if first.sequence > 1:
        gaps.append(_make_gap(GapKind.OVERWRITTEN, first, first.sequence - 1, None, first.hlc))
    for before, after in pairwise(ordered):
        count = after.sequence - before.sequence - 1
        if count:
            gaps.append(_make_gap(GapKind.MISSING, before, count, before.hlc, after.hlc))
    if last.kind is not EventKind.STOPPED and not running:
        gaps.append(_make_gap(GapKind.NOT_STOPPED, last, 0, last.hlc, None))
    return gaps


def _make_gap(
    kind: GapKind,
    event: Event,
    count: int,
    since: HybridTimestamp | None,
    until: HybridTimestamp | None,
) -> Gap:
    return Gap(kind, event.instance, event.role, event.start_id, count, since, until)
