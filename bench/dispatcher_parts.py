"""The replaceable components of a dispatcher."""

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
    """The components that a dispatcher is built from.

    `uncancellable` names the classes whose requests are not cancellable. `streams_tokens` tells
    whether the service answers with a token stream.
    """

    queue: RequestQueue
    chooser: EndpointChooser
    admission: Admission
    estimator: LengthEstimator
    retry: RetryPolicy
    hedge: HedgePolicy
    uncancellable: frozenset[str]
    streams_tokens: bool
