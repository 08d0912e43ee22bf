"""Measures of one class in one run."""

from typing import NamedTuple

from bench.calls import Call, gap_percentile
from cassiadrum.documents import RequestClass

__all__ = ["ClassMeasure", "is_within_targets", "measure_class"]

# Reasons for which a request was refused before any endpoint ran it to an end.
NOT_SERVED = frozenset({"overloaded", "evicted", "deadline", "no_endpoint"})


class ClassMeasure(NamedTuple):
    """Count the requests of a class that arrived while measured.

    `served` leaves out what was refused or evicted, `offered` does not; callers that went away
    are in neither.
    """

    served: int
    offered: int
    met: int
    longest_wait_s: float


def measure_class(cls: RequestClass, kind: str, calls: list[Call], end_s: float) -> ClassMeasure:
    """Return the measures of the calls of one class; `end_s` is when the run stopped."""
    calls = [call for call in calls if call.result != "cancelled"]
    served = [call for call in calls if call.result not in NOT_SERVED]
    met = sum(is_within_targets(cls, kind, call) for call in served)
    longest = max((wait_s(call, end_s) for call in calls), default=0.0)
    return ClassMeasure(len(served), len(calls), met, longest)


def is_within_targets(cls: RequestClass, kind: str, call: Call) -> bool:
    """Tell whether an answer was complete and within its class's latency targets."""
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
    """Return the seconds until an endpoint started the call, or until it ended without."""
    until_s = call.served_at_s if call.served_at_s is not None else call.ended_at_s
    return (end_s if until_s is None else until_s) - call.req.arrived_s
