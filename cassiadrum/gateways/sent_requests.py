"""Counts of the requests that a gateway sent to endpoints."""

from collections import Counter
from enum import Enum
from typing import NamedTuple

__all__ = ["RequestKind", "SentRequestSeries", "SentRequests"]


class RequestKind(Enum):
    """What a request to an endpoint is for."""

    CALL = "call"
    LOAD_PROBE = "load_probe"
    LIFE_CHECK = "life_check"


class SentRequestSeries(NamedTuple):
    """Labels of a count; `limited` tells whether the endpoint stated a request limit."""

    service: str
    kind: RequestKind
    limited: bool


class SentRequests:
    """Requests sent to endpoints, counted since the start of the process."""

    def __init__(self) -> None:
        self.counts: Counter[SentRequestSeries] = Counter()

    def record(self, service: str, kind: RequestKind, *, limited: bool) -> None:
        """Count a request."""
        self.counts[SentRequestSeries(service, kind, limited)] += 1
