"""The replaceable parts of a dispatcher."""

from typing import NamedTuple

from cassiadrum.decisions import (
    Admission,
    EndpointChooser,
    HedgePolicy,
    LengthEstimator,
    RequestQueue,
    RetryPolicy,
)

__all__ = ["DispatcherParts"]


class DispatcherParts(NamedTuple):
    """Hold what a dispatcher is built from."""

    queue: RequestQueue
    chooser: EndpointChooser
    admission: Admission
    estimator: LengthEstimator
    retry: RetryPolicy
    hedge: HedgePolicy
    uncancellable: frozenset[str]
    streams_tokens: bool
