"""Measures of one request class in one run."""

from typing import NamedTuple

from bench.calls import Call, gap_percentile
from cassiadrum.documents import RequestClass

__all__ = ["ClassMeasure", "is_within_targets", "measure_class"]

# Results of requests that were refused or evicted before an endpoint completed them.
NOT_SERVED = frozenset({"overloaded", "evicted", "deadline", "no_endpoint"})


class ClassMeasure(NamedTuple):
    """Counts of the requests of a class that arrived in the measurement window.

    `served` excludes refused and evicted requests, `offered` includes them; requests whose
    caller disconnected are in neither. `met` counts the served requests within their targets.
    """

    served: int
    offered: int
    met: int
    longest_wait_s: float


def measure_class(cls: RequestClass, kind: str, calls: list[Call], end_s: float) -> ClassMeasure:
    """Return the measures of the calls of one class; `end_s` is the end time of the run."""
    calls = [call for call in calls if call.result != "cancelled"]
    served = [call for call in calls if call.result not in NOT_SERVED]
    met = sum(is_within_targets(cls, kind, call) for call in served)
    longest = max((wait_s(call, end_s) for call in calls), default=0.0)
    return ClassMeasure(len(served), len(calls), met, longest)


def is_within_targets(cls: RequestClass, kind: str, call: Call) -> bool:
    """Return whether the answer was complete and within the latency targets of its class."""
    if call.result != "done" or call.ended_at_s is None:
        return False
    if kind == "plain":
        return call.ended_at_s - call.req.arrived_s <= cls.target_total_s
    if call.first_token_at_s is None:
        return False
    first_s = call.first_token_at_s - call.req.arrived_s
    gap_s = gap_percentile(call.gaps, 0.95)
    return first_s <= cls.target_first_token_s and gap_s <= cls.target_inter_token_s + 1e-9


def wait_s(call: Call, end_s: float) -> float:
    """Return the seconds until an endpoint started the call, or until it ended unserved."""
    until_s = call.served_at_s if call.served_at_s is not None else call.ended_at_s
    return (end_s if until_s is None else until_s) - call.req.arrived_s
