"""Counts that a run collects as it goes."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bench.calls import Call

__all__ = ["RunRecords"]


@dataclass
class RunRecords:
    """Collect what the calls themselves do not show.

    `wasted` is work and `refusals` requests, each by service and reason. `unsafe` counts the sheds
    and preemptions of protected work while lower-tier work holds what it needs.
    """

    calls: list[Call] = field(default_factory=list)
    wasted: defaultdict[tuple[str, str], float] = field(default_factory=lambda: defaultdict(float))
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    unsafe: Counter[str] = field(default_factory=Counter)
    rejects: Counter[str] = field(default_factory=Counter)
    pauses: int = 0
    open_calls: int = 0
    # Seconds in which an engine was down, by service; that is no capacity.
    downtimes_s: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    stragglers: list[str] = field(default_factory=list)
