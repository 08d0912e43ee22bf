"""Progress of one dispatched request."""

from dataclasses import dataclass

__all__ = ["DispatchedStream"]


@dataclass(slots=True)
class DispatchedStream:
    """Progress of a request that this entry instance dispatched, updated with each token frame.

    Times are monotonic seconds. `uncached_tokens` counts the prompt tokens that were presumably
    not in the endpoint's cache at the time of the dispatch.
    """

    dispatched_s: float
    last_progress_s: float
    uncached_tokens: float = 0.0
    tokens: int = 0
