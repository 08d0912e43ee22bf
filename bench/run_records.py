"""Calls, counters and downtimes collected during a run."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bench.calls import Call

__all__ = ["RunRecords"]


@dataclass
class RunRecords:
    """Calls and counters of one run.

    `wasted` is the wasted work and `refusals` the number of refused requests, each by service and
    reason. `unsafe` counts sheds and preemptions of protected work while lower-tier work holds
    the resources that it needs.
    """

    calls: list[Call] = field(default_factory=list)
    wasted: defaultdict[tuple[str, str], float] = field(default_factory=lambda: defaultdict(float))
    refusals: Counter[tuple[str, str]] = field(default_factory=Counter)
    unsafe: Counter[str] = field(default_factory=Counter)
    rejects: Counter[str] = field(default_factory=Counter)
    pauses: int = 0
    open_calls: int = 0
    # Start and end of each engine downtime in seconds, by service; excluded from the capacity.
    downtimes_s: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    stragglers: list[str] = field(default_factory=list)
