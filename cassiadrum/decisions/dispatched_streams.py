"""A dispatched request as the entry instance sees it."""

from dataclasses import dataclass

__all__ = ["DispatchedStream"]


@dataclass(slots=True)
class DispatchedStream:
    """Count the progress of one own request; it changes with each frame of tokens.

    Times are monotonic seconds; `uncached_tokens` is the part of the prompt that the endpoint
    was not believed to hold at the time of the dispatch.
    """

    dispatched_s: float
    last_progress_s: float
    uncached_tokens: float = 0.0
    tokens: int = 0
